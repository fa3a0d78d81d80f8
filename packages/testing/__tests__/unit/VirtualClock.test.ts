import fc from "fast-check";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as testing from "../../src/index.js";

const seed = 20261204;

describe("VirtualClock", () => {
    it("runs timers in the order in which they are due, then set, and no cancelled one (guards the heap)", async () => {
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
});
