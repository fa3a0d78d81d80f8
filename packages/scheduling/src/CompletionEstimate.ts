import type * as core from "@peridotloft/core";

/** Estimates when a new request would complete, from the recent rate of grants to its customer. */
export interface CompletionEstimate {
    /** Records that a request got a slot while `waitingBehind` other requests of its customer remained in the queue. */
    recordGrant(customer: core.CustomerId, waitingBehind: number): void;
    /** Records how long a request ran, in ms. */
    recordDuration(durationMs: number): void;
    /**
     * Expected time in ms until the end of a request that has `ahead` requests of its customer in front of it; 0 if there are
     * none or if the rate of grants is unknown.
     */
    expectedCompletionMs(customer: core.CustomerId, ahead: number): number;
}

interface GrantInterval {
    lastGrantMs: number | undefined;
    intervalMs: number | undefined;
}

const smoothing = 1 / 8;

export function createCompletionEstimate(clock: core.Clock): CompletionEstimate {
    const grantIntervals = new Map<core.CustomerId, GrantInterval>();
    let durationMs: number | undefined;
    const movingAverage = (mean: number | undefined, value: number): number =>
        mean === undefined ? value : mean + (value - mean) * smoothing;

    return {
        recordGrant(customer, waitingBehind) {
            const grantInterval = grantIntervals.get(customer) ?? { lastGrantMs: undefined, intervalMs: undefined };
            grantIntervals.set(customer, grantInterval);
            const nowMs = clock.nowMs();
            if (grantInterval.lastGrantMs !== undefined) {
                grantInterval.intervalMs = movingAverage(grantInterval.intervalMs, nowMs - grantInterval.lastGrantMs);
            }
            // Only intervals between two grants of the same backlog are measured.
            grantInterval.lastGrantMs = waitingBehind > 0 ? nowMs : undefined;
        },
        recordDuration: value => void (durationMs = movingAverage(durationMs, value)),
        expectedCompletionMs(customer, ahead) {
            const intervalMs = grantIntervals.get(customer)?.intervalMs;
            if (ahead === 0 || intervalMs === undefined) {
                return 0;
            }
            return ahead * intervalMs + (durationMs ?? 0);
        },
    };
}
