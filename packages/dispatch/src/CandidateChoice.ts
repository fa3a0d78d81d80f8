import type * as core from "@peridotloft/core";
import { baseFirstEventMs } from "./Placement.js";

/** An engine that may take a prompt, as far as this VM knows its queue. */
export interface CandidateQueue {
    /** Believed wait in ms; undefined if nothing recent is known. */
    readonly waitMs: number | undefined;
    /** Time in ms that the prefill of the prompt takes there. */
    readonly prefillMs: number;
}

/** Time that a prompt has for its first event. */
export interface FirstEventTime {
    readonly objectiveMs: number;
    /** Time in ms since the request headers arrived. */
    readonly elapsedMs: number;
}

/**
 * Share of the time that a prompt can spare which it may wait where it is offered first. Queues that are kept this short leave
 * room for the next prompts, whose engines are not theirs to choose.
 */
const firstWaitShare = 0.15;
/** Least gain in ms for which a prompt moves: queues are not known better. */
export const minGainMs = 25;

/** The longest wait in ms for which a prompt stays with the engine to which it is offered first; at least 0. */
export function firstWaitLimitMs({ objectiveMs, elapsedMs }: FirstEventTime, prefillMs: number): number {
    return Math.max(0, objectiveMs - elapsedMs - baseFirstEventMs - prefillMs) * firstWaitShare;
}

/**
 * Chooses the engine to which a prompt is offered first: the primary one, which is the first candidate, unless the first event is
 * expected much sooner at another one. Many VMs know the same queues and choose at the same moment, so a prompt moves with a
 * probability that grows with the gain rather than always.
 *
 * It answers the load at which the queues of single engines are long while others are short.
 *
 * @returns the index of the candidate.
 */
export function chooseFirstCandidate(
    candidates: readonly CandidateQueue[],
    time: FirstEventTime,
    random: core.Random,
): number {
    const [primary] = candidates;
    if (primary?.waitMs === undefined || primary.waitMs <= firstWaitLimitMs(time, primary.prefillMs)) {
        return 0;
    }
    const primaryMs = primary.waitMs + primary.prefillMs;
    const best = candidates
        .map(({ waitMs, prefillMs }, index) => ({ index, gainMs: primaryMs - (waitMs ?? primaryMs) - prefillMs }))
        .slice(1)
        .reduce((found, next) => next.gainMs > found.gainMs ? next : found, { index: 0, gainMs: 0 });
    return best.gainMs >= minGainMs && random() < best.gainMs / (best.gainMs + baseFirstEventMs) ? best.index : 0;
}

/**
 * Chooses the engine to which a prompt is offered after one has refused it, of those that are not known to be longer busy.
 *
 * @returns the index of the candidate; undefined if there is none.
 */
export function chooseNextCandidate(
    candidates: readonly CandidateQueue[],
    refused: { readonly index: number; readonly waitMs: number; },
): number | undefined {
    return candidates
        .map(({ waitMs }, index) => ({ index, waitMs: waitMs ?? 0 }))
        .filter(({ index, waitMs }) => index !== refused.index && waitMs <= refused.waitMs - minGainMs)
        .reduce<{ index: number; waitMs: number; } | undefined>(
            (found, next) => found && found.waitMs <= next.waitMs ? found : next,
            undefined,
        )?.index;
}
