/** Input of the decision whether a prompt is admitted to an engine. */
export interface EngineAdmissionInput {
    /** Expected time in ms that the prompt waits at the engine before its prefill begins. */
    readonly waitMs: number;
    /** Time in ms since the request headers arrived. */
    readonly elapsedMs: number;
    /** Latency objective in ms for the first event. */
    readonly objectiveMs: number;
    /** Usage of the customer relative to that of the heaviest customer, 0 to 1. */
    readonly relativeUsage: number;
    /** Mean load of all engines, 0 to 1. */
    readonly meanLoad: number;
}

/** Input of the bound on slots. */
export interface SlotBoundInput {
    readonly relativeUsage: number;
    /** Mean load of the slots of all engines, 0 to 1. Queues for prefill do not count: they have a bound of their own. */
    readonly slotLoad: number;
}

/** Share of the objective that may be spent waiting. The rest is for the prefill and for estimation errors. */
const maxWaitShare = 0.6;
/**
 * Share by which the allowed wait, and the slots, of the heaviest customer are reduced under full load, so that it is refused
 * first.
 */
const heaviestCustomerReduction = 0.85;
/**
 * Exponent of the relative usage in this reduction. With 1, a customer with half of the largest usage is held back as well, and
 * one that asks more often stays ahead of it.
 */
const usageExponent = 3;
/** Wait in ms up to which every prompt is admitted: it corresponds to one or two prompts in prefill. */
const alwaysAdmittedWaitMs = 60;

/** Share by which a bound of a customer is reduced, given the load of the resource that it bounds, 0 to 1. */
function reductionOf(relativeUsage: number, load: number): number {
    return heaviestCustomerReduction * relativeUsage ** usageExponent * load;
}

/**
 * The longest expected wait in ms at an engine for which a prompt is admitted. Without this bound, a load above the
 * engines' prefill capacity fills their queues and every request misses its objective.
 *
 * The bound applies to the wait and not to the time to first event, so long prompts are admitted as often as short ones.
 * It is lower the larger the customer's usage, so under load the heaviest customers are refused until their usage is
 * equal, and the others are served. It does not depend on usage while engines are idle, since no customer then takes
 * capacity from another.
 */
export function maxWaitMs(
    { elapsedMs, objectiveMs, relativeUsage, meanLoad }: Omit<EngineAdmissionInput, "waitMs">,
): number {
    const allowedMs = Math.max(0, objectiveMs * maxWaitShare - elapsedMs - alwaysAdmittedWaitMs);
    return alwaysAdmittedWaitMs + allowedMs * (1 - reductionOf(relativeUsage, meanLoad));
}

/**
 * The share of an engine's slots, above 0 and at most 1, that may be in use for a prompt to be admitted. Engines with few slots
 * run out of them before prompts wait for their prefill. Without this bound, the slots that become free go to whoever asks
 * first, so customers are served in proportion to what they ask for.
 */
export function maxSlotShare({ relativeUsage, slotLoad }: SlotBoundInput): number {
    return 1 - reductionOf(relativeUsage, slotLoad);
}

/** Whether a prompt that is refused would be admitted if its customer had no usage. */
export function isRefusedForUsage(input: EngineAdmissionInput, freeSlots: number): boolean {
    return freeSlots > 0 && input.waitMs <= maxWaitMs({ ...input, relativeUsage: 0 });
}

/** Relative usage, weighted by load, up to which a prompt may spill over when its primary engine has no capacity. */
const maxSpillUsage = 0.3;

/**
 * Whether a prompt may spill over to an engine that must prefill its prefix again, when the engine that has it cached has
 * no capacity. Light customers may, so that they are not refused because of the load of one engine. For heavy customers
 * under load, the repeated prefill would cost the capacity of more requests than the one that it serves.
 */
export function maySpill(
    { relativeUsage, meanLoad }: Pick<EngineAdmissionInput, "relativeUsage" | "meanLoad">,
): boolean {
    return relativeUsage * meanLoad <= maxSpillUsage;
}

/** Wait in ms up to which an engine counts as idle: about half the prefill time of a long prefix. */
const idleWaitMs = 45;

/**
 * The longest expected wait in ms at another engine for which a prompt spills over when its primary engine has no
 * capacity. An idle engine also admits heavy customers: the repeated prefill then takes capacity from no other customer.
 */
export function maxSpillWaitMs(input: Omit<EngineAdmissionInput, "waitMs">): number {
    return maySpill(input) ? maxWaitMs(input) : Math.min(idleWaitMs, maxWaitMs(input));
}

/** Mean load from which engines are rarely idle. */
const rarelyIdleLoad = 0.5;

/**
 * Whether to ask the trackers of other engines when the primary engine has no capacity. Under load most refused requests
 * are of heavy customers, which only an idle engine admits, and each question costs CPU time on two VMs.
 */
export function isSpillWorthwhile(input: Pick<EngineAdmissionInput, "relativeUsage" | "meanLoad">): boolean {
    return maySpill(input) || input.meanLoad < rarelyIdleLoad;
}

/** Bounds in ms of the Retry-After time. */
const minRetryMs = 150;
const maxRetryMs = 1_500;

/** Time in ms after which a refused caller may retry: the time in which the excess wait drains, with random jitter. */
export function computeRetryAfterMs(input: EngineAdmissionInput, random: () => number): number {
    const excessMs = Math.max(0, input.waitMs - maxWaitMs(input));
    return Math.min(maxRetryMs, minRetryMs + excessMs * (1 + random()));
}
