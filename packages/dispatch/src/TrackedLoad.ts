import type * as core from "@peridotloft/core";
import { createDecayingSum } from "./LoadModel.js";
import { loadFromWaitMs } from "./Placement.js";

/** Load of all engines, estimated from the trackers' answers to this VM. */
export interface TrackedLoad {
    /** @param waitMs queue wait in ms at a session's primary engine, which is as representative as a randomly sampled engine. */
    record(waitMs: number): void;
    /** 0 to 1. */
    value(): number;
}

/** Time constant in ms of the decay of an answer; at 20 requests/s per VM the estimate covers about 20 answers. */
const timeConstantMs = 1_000;
/** Additional answers with a wait of 0 in the average, so that a single answer does not determine the load. */
const assumedIdleAnswers = 3;

export function createTrackedLoad(clock: core.Clock): TrackedLoad {
    const waits = createDecayingSum(timeConstantMs);
    const answers = createDecayingSum(timeConstantMs);
    return {
        record(waitMs) {
            const nowMs = clock.nowMs();
            waits.add(waitMs, nowMs);
            answers.add(1, nowMs);
        },
        value() {
            const nowMs = clock.nowMs();
            return loadFromWaitMs(waits.value(nowMs) / (answers.value(nowMs) + assumedIdleAnswers));
        },
    };
}
