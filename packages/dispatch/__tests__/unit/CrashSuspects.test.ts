import type * as fleets from "@peridotloft/fleet";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createCrashSuspects } from "../../src/CrashSuspects.js";

/** Time in ms after which a mark counts, with a margin. */
const settledMs = 500;

function createFixture() {
    const suspects = createCrashSuspects();
    const quarantined = new Set<number>();

    function recordCrash(mark: fleets.CrashMark, otherResponses: number): void {
        suspects.recordCrash(mark, mark.atMs);
        Array.from({ length: otherResponses }, (_, index) => {
            suspects.countResponse(mark.atMs + 300);
            suspects.recordResponse([900 + index], mark.atMs + 300);
        });
    }

    return {
        suspects,
        /** Records a crash, and afterwards responses to requests with other parts. */
        crash(suspectHash: number, runHash: number, atMs: number, depth = 0, otherResponses = 3): void {
            recordCrash({ suspectHash, runHash, depth, atMs, runMs: undefined }, otherResponses);
        },
        /** The same for a suspect whose response began `runMs` before the crash. */
        crashBegun(suspectHash: number, runHash: number, atMs: number, runMs: number): void {
            recordCrash({ suspectHash, runHash, depth: 0, atMs, runMs }, 3);
        },
        /** Quarantines all suspects with sufficient evidence and returns them. */
        quarantine(nowMs: number): readonly number[] {
            const found: number[] = [];
            for (;;) {
                const decision = suspects.findNextToQuarantine(nowMs, hash => quarantined.has(hash));
                if (!decision) {
                    return found;
                }
                quarantined.add(decision.suspectHash);
                found.push(decision.suspectHash);
            }
        },
    };
}

describe("CrashSuspects", () => {
    it("quarantines a request that was in flight at three crashes, once, and no other request", () => {
        const { crash, quarantine } = createFixture();
        [1, 2, 3].forEach(run => {
            assert.deepEqual(quarantine(run * 2_000), []);
            crash(77, run, run * 2_000);
            crash(100 + run, run, run * 2_000);
        });
        assert.deepEqual(quarantine(6_000 + settledMs), [77]);
        assert.deepEqual(quarantine(7_000), []);
    });

    it("counts a crash once if several VMs report it, and counts the crash of the next run separately", () => {
        const { crash, quarantine } = createFixture();
        Array.from({ length: 6 }, (_, index) => crash(7, 1, index * 100));
        crash(7, 2, 10_000);
        assert.deepEqual(quarantine(15_000), []);
        crash(7, 3, 20_000);
        assert.deepEqual(quarantine(20_000 + settledMs), [7]);
    });

    it("discards marks after a minute", () => {
        const { suspects, crash, quarantine } = createFixture();
        [1, 2].forEach(run => crash(7, run, run));
        crash(7, 3, 62_000);
        assert.deepEqual(quarantine(62_000 + settledMs), []);
        assert.ok(suspects.hasRecentMarks(63_000));
        assert.ok(!suspects.hasRecentMarks(122_001));
    });

    it("does not quarantine on broken connections to an upstream that goes on responding", () => {
        const { suspects, crash, quarantine } = createFixture();
        [1, 2, 3, 4, 5].forEach(run => {
            crash(7, run, run * 1_000);
            suspects.recordResponse([run], run * 1_000 + 250);
        });
        assert.deepEqual(quarantine(10_000), []);
    });

    it("takes the last bytes of a crashed upstream for no sign of life", () => {
        const { suspects, crash, quarantine } = createFixture();
        [1, 2, 3].forEach(run => {
            crash(7, run, run * 1_000);
            suspects.recordResponse([run], run * 1_000 + 50);
        });
        assert.deepEqual(quarantine(5_000), [7]);
    });

    it("clears a part by a response to any prompt with it", () => {
        const { suspects, crash, quarantine } = createFixture();
        [1, 2].forEach(run => crash(7, run, run * 1_000));
        assert.deepEqual(suspects.recordResponse([7, 8], 2_500), [7]);
        crash(7, 3, 3_000);
        assert.deepEqual(quarantine(5_000), []);
    });

    it("waits for responses that contradict a crash before it quarantines", () => {
        const { suspects, crash, quarantine } = createFixture();
        [1, 2, 3].forEach(run => crash(7, run, run));
        assert.deepEqual(quarantine(300), []);
        suspects.recordResponse([7], 300);
        assert.deepEqual(quarantine(5_000), []);
    });

    it("quarantines at once if the earlier crashes have had time to be contradicted", () => {
        const { crash, quarantine } = createFixture();
        [1, 2].forEach(run => crash(7, run, run * 200));
        crash(7, 3, 1_500);
        assert.deepEqual(quarantine(1_500), [7]);
    });

    it("quarantines only the most specific part of those that were in flight at the same crashes", () => {
        const { crash, quarantine } = createFixture();
        [1, 2, 3].forEach(run => [10, 11, 12].forEach((part, depth) => crash(part, run, run, depth)));
        assert.deepEqual(quarantine(5_000), [12]);
    });

    it("quarantines a less specific part at the second crash without the more specific one", () => {
        const { crash, quarantine } = createFixture();
        [1, 2, 3].forEach(run => [10, 11].forEach((part, depth) => crash(part, run, run, depth)));
        assert.deepEqual(quarantine(5_000), [11]);
        crash(10, 4, 6_000, 0);
        assert.deepEqual(quarantine(6_000 + settledMs), []);
        crash(10, 5, 7_000, 0);
        assert.deepEqual(quarantine(7_000 + settledMs), [10]);
    });

    it("does not quarantine a part that had responses before an outage of all upstreams", () => {
        const { suspects, crash, quarantine } = createFixture();
        suspects.recordResponse([7], 900);
        [1, 2, 3, 4, 5, 6].forEach(run => crash(7, run, 1_000));
        assert.deepEqual(quarantine(5_000), []);
    });

    it("does not quarantine on an outage of all upstreams at once, but on crashes one after the other", () => {
        const outage = createFixture();
        [1, 2, 3, 4, 5, 6].forEach(run => outage.crash(7, run, 1_000, 0, 0));
        assert.deepEqual(outage.quarantine(10_000), []);
        const { crash, quarantine } = createFixture();
        [1, 2, 3].forEach(run => crash(7, run, run * 300, 0, 0));
        assert.deepEqual(quarantine(10_000), [7]);
    });

    // Requests with a first event were never marked.
    it("quarantines a request that crashes upstreams after its responses have begun, at the fourth crash", () => {
        const { crashBegun, quarantine } = createFixture();
        [1, 2, 3].forEach(run => crashBegun(7, run, run * 1_000, 30));
        assert.deepEqual(quarantine(3_000 + settledMs), []);
        crashBegun(7, 4, 4_000, 30);
        assert.deepEqual(quarantine(4_000 + settledMs), [7]);
    });

    it("requires a fifth crash of a request whose responses ran for seconds", () => {
        const { crashBegun, quarantine } = createFixture();
        [1, 2, 3, 4].forEach(run => crashBegun(7, run, run * 4_000, 2_000));
        assert.deepEqual(quarantine(16_000 + settledMs), []);
        crashBegun(7, 5, 20_000, 2_000);
        assert.deepEqual(quarantine(20_000 + settledMs), [7]);
    });

    it("does not quarantine a long response that was in flight at several of many crashes", () => {
        const { crashBegun, quarantine } = createFixture();
        Array.from(
            { length: 30 },
            (_, index) => crashBegun(index % 3 === 0 ? 7 : 100 + index, index, index * 500, 1_500),
        );
        assert.deepEqual(quarantine(16_000), []);
    });

    it("does not count the crashes of a quarantined request against a long response that was in flight there", () => {
        const { crash, crashBegun, quarantine } = createFixture();
        Array.from({ length: 6 }, (_, index) => {
            crash(7, index, index * 1_000);
            crashBegun(8, index, index * 1_000, 900);
        });
        assert.deepEqual(quarantine(6_000 + settledMs), [7]);
        [11, 12].forEach(run => crashBegun(8, run, run * 1_000, 900));
        assert.deepEqual(quarantine(12_000 + settledMs), []);
    });

    it("takes the crash of a request with two responses for one before the first event, if one of them had not begun", () => {
        const { crash, crashBegun, quarantine } = createFixture();
        [1, 2, 3].forEach(run => {
            crashBegun(7, run, run * 1_000, 30);
            crash(7, run, run * 1_000);
        });
        assert.deepEqual(quarantine(3_000 + settledMs), [7]);
    });

    it("requires more crashes of a part that was not in flight at all of them", () => {
        const { crash, quarantine } = createFixture();
        [1, 2, 3].forEach(run => crash(7, run, run * 1_000));
        crash(8, 4, 2_500);
        assert.deepEqual(quarantine(3_000 + settledMs), []);
        crash(7, 5, 4_000);
        assert.deepEqual(quarantine(4_000 + settledMs), [7]);
    });

    it("does not quarantine a part that was in flight at a few of many crashes", () => {
        const { crash, quarantine } = createFixture();
        Array.from({ length: 60 }, (_, index) => crash(index % 10 === 0 ? 7 : 100 + index, index, index * 500));
        assert.deepEqual(quarantine(40_000), []);
    });

    it("quarantines two parts that crash upstreams at the same time", () => {
        const { crash, quarantine } = createFixture();
        Array.from({ length: 8 }, (_, index) => crash(index % 2 === 0 ? 7 : 8, index, index * 500));
        assert.deepEqual([...quarantine(5_000)].sort(), [7, 8]);
    });

    it("quarantines a part that had responses before, once it crashes upstreams while others have responses", () => {
        const { suspects, crash, quarantine } = createFixture();
        suspects.recordResponse([7], 900);
        [1, 2, 3, 4].forEach(run => {
            crash(7, run, run * 1_000);
        });
        assert.deepEqual(quarantine(5_000), [7]);
    });

    it("quarantines a suspect whose quarantine has expired at its next crash", () => {
        const { suspects, crash, quarantine } = createFixture();
        [7, 8].forEach(suspect => suspects.requireSingleCrash(suspect));
        suspects.recordResponse([8], 500);
        [7, 8].forEach(suspect => crash(suspect, suspect, 1_000));
        assert.deepEqual(quarantine(2_000), [7]);
    });
});
