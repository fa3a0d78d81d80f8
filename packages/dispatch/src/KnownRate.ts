import type * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";
import type { LearnedRate } from "@peridotloft/fleet";
import { speedOfStep } from "./SpeedStep.js";

/** The most recent rate of one run of an engine that this VM was told, or has learned as the tracker of the engine. */
export interface KnownRate {
    readonly runHash: number;
    current(): LearnedRate | undefined;
    /** Adopts a rate of this run if it is more recent than the current one. */
    adopt(rate: LearnedRate | undefined): void;
    /** Speeds relative to the other engines of the pool; 1 if they are not known or about the same. */
    prefillSpeed(): number;
    generationSpeed(): number;
}

export function createKnownRate({ startedWallMs }: catalog.KnownUpstream): KnownRate {
    const runHash = core.hash32(String(startedWallMs));
    let current: LearnedRate | undefined;
    return {
        runHash,
        current: () => current,
        adopt(rate) {
            if (rate?.runHash === runHash && rate.atMs > (current?.atMs ?? Number.NEGATIVE_INFINITY)) {
                current = rate;
            }
        },
        prefillSpeed: () => speedOfStep(current?.prefillStep ?? 0),
        generationSpeed: () => speedOfStep(current?.generationStep ?? 0),
    };
}

/** Whether two rates state the same. */
export function isSameRate(left: LearnedRate | undefined, right: LearnedRate | undefined): boolean {
    return left?.runHash === right?.runHash && left?.prefillStep === right?.prefillStep
        && left?.generationStep === right?.generationStep
        && isSameValue(left?.prefillTokensPerMs, right?.prefillTokensPerMs)
        && isSameValue(left?.generationSpeed, right?.generationSpeed);
}

/** Rates are sent with the precision of 32-bit numbers. */
function isSameValue(left: number | undefined, right: number | undefined): boolean {
    return left === right || (left !== undefined && right !== undefined && Math.fround(left) === Math.fround(right));
}
