import type * as core from "@peridotloft/core";
import { createDecayingSum, type DecayingSum } from "./LoadModel.js";
import { loadFromSlotShare, loadFromWaitMs } from "./Placement.js";

/** Load of all engines, estimated from the trackers' answers to this VM. */
export interface TrackedLoad {
    /**
     * Records the load of a session's primary engine, which is as representative as a randomly sampled engine.
     *
     * @param waitMs queue wait in ms.
     * @param slotShare share of the slots in use, 0 to 1.
     */
    record(waitMs: number, slotShare: number): void;
    /** Load of the engines, 0 to 1: that of their queues for prefill or of their slots, whichever is larger. */
    value(): number;
    /** Load of the slots, 0 to 1. */
    slotLoad(): number;
}

/** Time constant in ms of the decay of an answer; at 20 requests/s per VM the estimate covers about 20 answers. */
const timeConstantMs = 1_000;
/** Additional answers of idle engines in the average, so that a single answer does not determine the load. */
const assumedIdleAnswers = 3;

export function createTrackedLoad(clock: core.Clock): TrackedLoad {
    const waits = createDecayingSum(timeConstantMs);
    const slotShares = createDecayingSum(timeConstantMs);
    const answers = createDecayingSum(timeConstantMs);
    const meanOf = (sum: DecayingSum): number => {
        const nowMs = clock.nowMs();
        return sum.value(nowMs) / (answers.value(nowMs) + assumedIdleAnswers);
    };
    const slotLoad = (): number => loadFromSlotShare(meanOf(slotShares));
    return {
        record(waitMs, slotShare) {
            const nowMs = clock.nowMs();
            waits.add(waitMs, nowMs);
            slotShares.add(slotShare, nowMs);
            answers.add(1, nowMs);
        },
        value: () => Math.max(loadFromWaitMs(meanOf(waits)), slotLoad()),
        slotLoad,
    };
}
