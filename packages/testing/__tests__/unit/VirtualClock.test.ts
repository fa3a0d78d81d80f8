import fc from "fast-check";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as testing from "../../src/index.js";

const seed = 20261204;

describe("VirtualClock", () => {
    it("runs timers by due time, then in creation order, and skips cancelled ones (guards the timer heap)", async () => {
        const timer = fc.record({ delayMs: fc.nat(20), cancelled: fc.boolean() });
        await fc.assert(
            fc.asyncProperty(fc.array(timer, { maxLength: 40 }), async timers => {
                const clock = testing.createVirtualClock();
                const ran: number[] = [];
                const cancels = timers.map(({ delayMs }, index) => clock.setTimer(delayMs, () => ran.push(index)));
                cancels.filter((_cancel, index) => timers[index]!.cancelled).forEach(cancel => cancel());
                await clock.advance(20);
                const expected = timers
                    .map((entry, index) => ({ ...entry, index }))
                    .filter(({ cancelled }) => !cancelled)
                    .sort((left, right) => left.delayMs - right.delayMs || left.index - right.index)
                    .map(({ index }) => index);
                assert.deepEqual(ran, expected);
            }),
            { seed, numRuns: 60 },
        );
    });

    it("advances slightly at each reading (guards against faults that equal readings would hide)", async () => {
        const clock = testing.createVirtualClock(5);
        const readings = Array.from({ length: 1_000 }, () => clock.nowMs());
        assert.ok(
            readings.every((reading, index) => reading > (readings[index - 1] ?? 5)),
            "the clock did not advance",
        );
        assert.ok(readings.at(-1)! < 5.01, `${readings.at(-1)} after 1,000 readings`);
        const repeated = testing.createVirtualClock(5);
        assert.deepEqual(Array.from({ length: 1_000 }, () => repeated.nowMs()), readings);
    });

    it("does not run backwards when a timer is due before the last reading", async () => {
        const clock = testing.createVirtualClock();
        let earliestMs = Number.POSITIVE_INFINITY;
        clock.setTimer(0, () => earliestMs = clock.nowMs());
        const lastMs = Array.from({ length: 100 }, () => clock.nowMs()).at(-1)!;
        await clock.advance(0);
        assert.ok(earliestMs > lastMs, `${earliestMs} after ${lastMs}`);
    });
});
