import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createQuarantine } from "../../src/Quarantine.js";

const suspectHash = 7;

describe("Quarantine", () => {
    it("expires after a minute, and lasts twice as long each time", () => {
        const quarantine = createQuarantine();
        quarantine.add(suspectHash, false, 0);
        assert.deepEqual(quarantine.removeExpired(59_000), []);
        assert.deepEqual(quarantine.removeExpired(60_001), [suspectHash]);
        assert.ok(!quarantine.has(suspectHash));
        quarantine.add(suspectHash, false, 61_000);
        assert.deepEqual(quarantine.removeExpired(180_000), []);
        assert.deepEqual(quarantine.removeExpired(181_001), [suspectHash]);
    });

    it("adopts the quarantines of other VMs for the time that is left", () => {
        const quarantine = createQuarantine();
        assert.ok(quarantine.adopt({ suspectHash, atMs: 0, count: 1, isConfirmed: false }, 50_000));
        assert.ok(!quarantine.adopt({ suspectHash, atMs: 0, count: 1, isConfirmed: false }, 50_100));
        assert.deepEqual(quarantine.marks(), [{ suspectHash, atMs: 0, count: 1, isConfirmed: false }]);
        assert.deepEqual(quarantine.removeExpired(60_001), [suspectHash]);
        assert.ok(
            !quarantine.adopt({ suspectHash, atMs: 0, count: 1, isConfirmed: false }, 60_100),
            "an expired quarantine was adopted",
        );
    });

    it("adopts the confirmation of a quarantine that it has already", () => {
        const quarantine = createQuarantine();
        quarantine.add(suspectHash, false, 0);
        assert.ok(!quarantine.adopt({ suspectHash, atMs: 10, count: 1, isConfirmed: true }, 100));
        assert.equal(quarantine.get(suspectHash)?.isConfirmed, true);
    });

    it("keeps a bounded number of quarantines, the most recent ones", () => {
        const quarantine = createQuarantine();
        Array.from({ length: 1_000 }, (_, index) => quarantine.add(index, false, index));
        assert.ok(!quarantine.has(0));
        assert.ok(quarantine.has(999));
        assert.ok(quarantine.marks().length <= 16);
        assert.equal(quarantine.marks().at(-1)?.suspectHash, 999);
    });
});
