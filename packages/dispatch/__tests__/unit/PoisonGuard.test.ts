import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createCrashDetector } from "../../src/CrashDetector.js";
import { createPoisonGuard } from "../../src/PoisonGuard.js";

describe("PoisonGuard", () => {
    it("quarantines a request that was in flight at three crashes, and no other request", () => {
        const guard = createPoisonGuard();
        [1, 2, 3].forEach(crash => {
            assert.ok(!guard.isPoisonous(77, crash * 2_000));
            guard.record({ fingerprint: 77, upstreamHash: crash }, crash * 2_000);
            guard.record({ fingerprint: 100 + crash, upstreamHash: crash }, crash * 2_000);
        });
        assert.ok(guard.isPoisonous(77, 7_000));
        assert.ok(![101, 102, 103].some(other => guard.isPoisonous(other, 7_000)));
    });

    it("counts a crash once if several VMs report it, and counts the next crash of the same upstream separately", () => {
        const guard = createPoisonGuard();
        Array.from({ length: 6 }, (_, index) => guard.record({ fingerprint: 7, upstreamHash: 1 }, index * 100));
        assert.ok(!guard.isPoisonous(7, 1_000));
        guard.record({ fingerprint: 7, upstreamHash: 1 }, 10_000);
        assert.equal(guard.record({ fingerprint: 7, upstreamHash: 1 }, 20_000), true);
        assert.equal(
            guard.record({ fingerprint: 7, upstreamHash: 1 }, 30_000),
            false,
            "the quarantine is signalled again",
        );
    });

    it("expires marks after a minute", () => {
        const guard = createPoisonGuard();
        [1, 2, 3].forEach(crash => guard.record({ fingerprint: 7, upstreamHash: crash }, crash));
        assert.ok(guard.isPoisonous(7, 1_000));
        assert.ok(!guard.isPoisonous(7, 70_000));
        assert.ok(!guard.hasRecentMarks(70_000));
    });
});

describe("CrashDetector", () => {
    it("detects a crash when the connections of most requests in flight break together", () => {
        const detector = createCrashDetector();
        const results = [5, 4, 3, 2, 1].map((running, index) => detector.recordBrokenConnection(running, index));
        assert.equal(results.at(-1), true);
    });

    it("does not report a crash for a single broken connection among many requests in flight", () => {
        const detector = createCrashDetector();
        assert.equal(detector.recordBrokenConnection(8, 0), false);
        assert.equal(detector.recordBrokenConnection(8, 1_000), false);
    });
});
