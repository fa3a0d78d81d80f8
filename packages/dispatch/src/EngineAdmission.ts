/** What decides whether a prompt may be sent to the engine that was chosen for it. */
export interface EngineAdmissionInput {
    /** Expected time in ms from now to the first event. */
    readonly expectedMs: number;
    /** Time in ms since the request's head arrived. */
    readonly elapsedMs: number;
    /** Time in ms within which the first event is on time. */
    readonly objectiveMs: number;
    /** Usage of the customer as a part of that of the largest one, 0 to 1. */
    readonly relativeUsage: number;
}

/** Part of the objective that may be used; the rest covers what the expectation does not know. */
const objectiveShare = 0.85;
/** Part of the allowed wait that the customer with the largest usage loses, so that it is the first to be refused. */
const largestUserCut = 0.6;
/** Expected time in ms at an idle engine, which no customer is refused for. */
const idleExpectedMs = 150;

/**
 * Decides whether a prompt is sent or refused. Answers loads above what the engines can read: without it every request
 * waits in the engines' queues and all are late.
 *
 * Each customer has its own bound on the expected wait. That of the customer with the largest usage is the lowest, so
 * under load the largest users are refused until their usage is equal, and the others are served.
 */
export function admitsPrompt(input: EngineAdmissionInput): boolean {
    const { expectedMs, elapsedMs, objectiveMs, relativeUsage } = input;
    const allowedMs = objectiveMs * objectiveShare - elapsedMs;
    const boundMs = idleExpectedMs + Math.max(0, allowedMs - idleExpectedMs) * (1 - largestUserCut * relativeUsage);
    return expectedMs <= boundMs;
}

/** Bounds in ms of the time after which a refused caller may come back. */
const minRetryMs = 150;
const maxRetryMs = 1_500;

/** Time in ms after which a refused caller may come back: when the excess has drained, spread by chance. */
export function retryAfterOf(input: EngineAdmissionInput, random: () => number): number {
    const excessMs = Math.max(0, input.expectedMs - input.objectiveMs * objectiveShare * (1 - largestUserCut));
    return Math.min(maxRetryMs, minRetryMs + excessMs * (1 + random()));
}
