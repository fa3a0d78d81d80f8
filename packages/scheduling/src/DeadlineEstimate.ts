import type * as core from "@peridotloft/core";

/** Estimates how long a new request would wait, from how fast its customer's queue has moved lately. */
export interface DeadlineEstimate {
    /** Notes that a request left the queue for a slot while `waitingBehind` others of its customer waited. */
    noteGrant(customer: core.CustomerId, waitingBehind: number): void;
    /** Notes how long a request ran, in ms. */
    noteDuration(durationMs: number): void;
    /** Shortest expected time in ms until a request with `ahead` others of its customer before it would have ended. */
    expectedMs(customer: core.CustomerId, ahead: number): number;
}

interface Pace {
    lastGrantMs: number | undefined;
    intervalMs: number | undefined;
}

const smoothing = 1 / 8;

export function createDeadlineEstimate(clock: core.Clock): DeadlineEstimate {
    const paces = new Map<core.CustomerId, Pace>();
    let durationMs: number | undefined;
    const smooth = (mean: number | undefined, value: number): number =>
        mean === undefined ? value : mean + (value - mean) * smoothing;

    return {
        noteGrant(customer, waitingBehind) {
            const pace = paces.get(customer) ?? { lastGrantMs: undefined, intervalMs: undefined };
            paces.set(customer, pace);
            const nowMs = clock.nowMs();
            if (pace.lastGrantMs !== undefined) {
                pace.intervalMs = smooth(pace.intervalMs, nowMs - pace.lastGrantMs);
            }
            // An interval counts only between grants of one backlog.
            pace.lastGrantMs = waitingBehind > 0 ? nowMs : undefined;
        },
        noteDuration: value => void (durationMs = smooth(durationMs, value)),
        expectedMs(customer, ahead) {
            const intervalMs = paces.get(customer)?.intervalMs;
            if (ahead === 0 || intervalMs === undefined) {
                return 0;
            }
            return ahead * intervalMs + (durationMs ?? 0);
        },
    };
}
