import type * as core from "@peridotloft/core";
import * as constants from "./SchedulingConstants.js";

/** Limits retries to a share of the requests in a sliding window. */
export interface RetryBudget {
    recordRequest(): void;
    /** Takes one retry; false when the budget is used up. */
    tryTakeRetry(): boolean;
}

interface Period {
    readonly startMs: number;
    requests: number;
    retries: number;
}

const periodsPerWindow = 10;

export function createRetryBudget(clock: core.Clock, ratio = constants.retryRatio): RetryBudget {
    const periodMs = constants.retryWindowMs / periodsPerWindow;
    let periods: Period[] = [];

    const currentPeriod = (): Period => {
        const nowMs = clock.nowMs();
        periods = periods.filter(period => nowMs - period.startMs < constants.retryWindowMs);
        const last = periods.at(-1);
        if (last && nowMs - last.startMs < periodMs) {
            return last;
        }
        const period = { startMs: nowMs, requests: 0, retries: 0 };
        periods.push(period);
        return period;
    };

    return {
        recordRequest() {
            currentPeriod().requests++;
        },
        tryTakeRetry() {
            const period = currentPeriod();
            const requests = periods.reduce((sum, each) => sum + each.requests, 0);
            const retries = periods.reduce((sum, each) => sum + each.retries, 0);
            if (retries + 1 > ratio * requests) {
                return false;
            }
            period.retries++;
            return true;
        },
    };
}
