import type * as core from "@peridotloft/core";
import { createDecayingSum } from "./LoadModel.js";
import { loadOf } from "./Placement.js";

/** Load of all engines, estimated from the trackers' answers to this VM. */
export interface TrackedLoad {
    /**
     * Records the load of a session's primary engine, which is as representative as a randomly sampled engine.
     *
     * @param waitMs queue wait in ms.
     * @param slotShare share of the slots in use, 0 to 1.
     */
    record(waitMs: number, slotShare: number): void;
    /** 0 to 1. */
    value(): number;
}

/** Time constant in ms of the decay of an answer; at 20 requests/s per VM the estimate covers about 20 answers. */
const timeConstantMs = 1_000;
/** Additional answers of idle engines in the average, so that a single answer does not determine the load. */
const assumedIdleAnswers = 3;

export function createTrackedLoad(clock: core.Clock): TrackedLoad {
    const waits = createDecayingSum(timeConstantMs);
    const slotShares = createDecayingSum(timeConstantMs);
    const answers = createDecayingSum(timeConstantMs);
    return {
        record(waitMs, slotShare) {
            const nowMs = clock.nowMs();
            waits.add(waitMs, nowMs);
            slotShares.add(slotShare, nowMs);
            answers.add(1, nowMs);
        },
        value() {
            const nowMs = clock.nowMs();
            const count = answers.value(nowMs) + assumedIdleAnswers;
            return loadOf(waits.value(nowMs) / count, slotShares.value(nowMs) / count);
        },
    };
}
