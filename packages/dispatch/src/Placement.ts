import type * as core from "@peridotloft/core";

/** Expected time in ms to the first event of a short prompt at an idle engine. */
export const baseFirstEventMs = 80;
/** Time in ms by which each running request delays the next step of an engine. */
const delayPerRunningMs = 0.1;
/** Mean queue wait in ms at which engines count as fully loaded. */
const fullLoadWaitMs = 150;
/** Mean share of the slots in use up to which slots do not count as loaded, and from which they count as fully loaded. */
const idleSlotShare = 0.5;
const fullLoadSlotShare = 0.75;

/** Load of an engine at the time when a prompt is dispatched to it. The names are those of `TrackerAnswer`. */
export interface EngineLoad {
    /** Prompt tokens queued for prefill. */
    readonly unreadTokens: number;
    /** Tokens of this request's prompt that the engine has not cached and must prefill. */
    readonly newTokens: number;
    /** Requests in flight. */
    readonly running: number;
    /** Ratio of the recently observed time to first event to the expected one; 1 is as expected. */
    readonly slowness: number;
}

/** Expected time in ms that a prompt waits at an engine before its prefill begins. */
export function expectedWaitMs({ unreadTokens, slowness }: EngineLoad, prefillTokensPerMs: number): number {
    return (unreadTokens / prefillTokensPerMs) * slowness;
}

/** Expected time in ms from sending a prompt to its first event. */
export function expectedFirstEventMs(load: EngineLoad, prefillTokensPerMs: number): number {
    const { unreadTokens, newTokens, running, slowness } = load;
    return (baseFirstEventMs + (unreadTokens + newTokens) / prefillTokensPerMs + running * delayPerRunningMs)
        * slowness;
}

/** Load, 0 to 1, of engines whose mean queue wait is `waitMs`. */
export function loadFromWaitMs(waitMs: number): number {
    return Math.min(1, waitMs / fullLoadWaitMs);
}

/** Load, 0 to 1, of the slots of engines of which a mean share, 0 to 1, is in use. */
export function loadFromSlotShare(slotShare: number): number {
    return Math.min(1, Math.max(0, (slotShare - idleSlotShare) / (fullLoadSlotShare - idleSlotShare)));
}

/** Load and health of one upstream of a plain service. */
export interface ServiceCandidate {
    /** Requests of this VM in flight at the upstream. */
    readonly running: number;
    readonly slots: number;
    /** Share of recent requests that failed, 0 to 1. */
    readonly failureShare: number;
}

/** Expected response time in ms of a plain service. */
export const expectedServiceMs = 100;

/**
 * Chooses the upstream with the smallest share of its slots in use by this VM, plus its failure share; ties are broken at
 * random.
 */
export function chooseService<T extends ServiceCandidate>(
    candidates: readonly T[],
    random: core.Random,
): T | undefined {
    return minBy(
        candidates,
        ({ running, slots, failureShare }) => running / Math.max(1, slots) + failureShare + random() * 0.01,
    );
}

function minBy<T>(items: readonly T[], valueOf: (item: T) => number): T | undefined {
    return items
        .map(item => ({ item, value: valueOf(item) }))
        .reduce<{ item: T; value: number; } | undefined>(
            (smallest, next) => smallest && smallest.value <= next.value ? smallest : next,
            undefined,
        )?.item;
}
