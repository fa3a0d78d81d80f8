import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createCrashDetector } from "../../src/CrashDetector.js";
import { createPoisonGuard } from "../../src/PoisonGuard.js";

describe("PoisonGuard", () => {
    it("stops a request after it was there at three crashes, and no other request", () => {
        const guard = createPoisonGuard();
        [1, 2, 3].forEach(crash => {
            assert.ok(!guard.isPoisonous(77, crash * 2_000));
            guard.note({ fingerprint: 77, upstreamHash: crash }, crash * 2_000);
            guard.note({ fingerprint: 100 + crash, upstreamHash: crash }, crash * 2_000);
        });
        assert.ok(guard.isPoisonous(77, 7_000));
        assert.ok(![101, 102, 103].some(other => guard.isPoisonous(other, 7_000)));
    });

    it("counts one crash once, however many VMs tell of it, and the same upstream's next crash again", () => {
        const guard = createPoisonGuard();
        Array.from({ length: 6 }, (_, index) => guard.note({ fingerprint: 7, upstreamHash: 1 }, index * 100));
        assert.ok(!guard.isPoisonous(7, 1_000));
        guard.note({ fingerprint: 7, upstreamHash: 1 }, 10_000);
        assert.equal(guard.note({ fingerprint: 7, upstreamHash: 1 }, 20_000), true);
        assert.equal(guard.note({ fingerprint: 7, upstreamHash: 1 }, 30_000), false, "it is told once");
    });

    it("forgets after a minute", () => {
        const guard = createPoisonGuard();
        [1, 2, 3].forEach(crash => guard.note({ fingerprint: 7, upstreamHash: crash }, crash));
        assert.ok(guard.isPoisonous(7, 1_000));
        assert.ok(!guard.isPoisonous(7, 70_000));
        assert.ok(!guard.isWatching(70_000));
    });
});

describe("CrashDetector", () => {
    it("takes the break of most running requests at once for a crash", () => {
        const detector = createCrashDetector();
        const seen = [5, 4, 3, 2, 1].map((running, index) => detector.noteBroken(running, index));
        assert.equal(seen.at(-1), true);
    });

    it("takes a single break beside many running requests for the connection's own", () => {
        const detector = createCrashDetector();
        assert.equal(detector.noteBroken(8, 0), false);
        assert.equal(detector.noteBroken(8, 1_000), false);
    });
});
