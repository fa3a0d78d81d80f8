import * as core from "@peridotloft/core";
import { err } from "neverthrow";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createFairQueue } from "../../src/FairQueue.js";
import { createWantSender } from "../../src/WantSender.js";

const pool = core.poolId("assistant");
const coordinator = core.vmId("vm-2");

/** Like the system clock and unlike a virtual clock, it returns a later time on each call. */
function createMovingClock(): core.Clock {
    let nowMs = 0;
    return { nowMs: () => nowMs += 0.01, wallMs: () => nowMs, setTimer: () => () => undefined };
}

describe("WantSender", () => {
    it("sends a want at once if the clock advances between two reads (guards against a want that is never sent)", () => {
        const receivers: core.VmId[] = [];
        const clock = createMovingClock();
        const wants = createWantSender({
            clock,
            random: () => 0.5,
            sender: {
                call: async to => {
                    receivers.push(to);
                    return err({ kind: "timeout", message: "no reply" });
                },
            },
            coordinators: () => [coordinator],
            isInSameZone: () => true,
            maxCoordinators: 24,
            wantLifetimeMs: 2_500,
        });
        const queue = createFairQueue({ virtualTime: () => 0, onLengthChange: () => undefined });
        queue.add({
            request: { customer: core.customerId("north"), pool, estimatedCost: 1, deadlineMs: 60_000, exclude: [] },
            enqueuedMs: clock.nowMs(),
            deadlineMs: 60_000,
            resolve: () => undefined,
        });
        wants.update(pool, queue);
        assert.deepEqual(receivers, [coordinator]);
        wants.dispose();
    });
});
