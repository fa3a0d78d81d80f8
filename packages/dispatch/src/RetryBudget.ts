/**
 * Bounds how many requests of a pool are sent to a second upstream.
 *
 * Each first request earns a part of a retry. Every VM spends only what its own requests earned, so the sum over the
 * fleet keeps the ratio without messages and without knowing how many VMs there are.
 */
export interface RetryBudget {
    earn(): void;
    /** Takes one retry; false if the budget is used up. */
    trySpend(): boolean;
}

/** Retries per request; below the platform's limit of 0.2, which counts windows that may hold fewer requests. */
const defaultRatio = 0.1;
/** Retries that an idle VM may save up. The sum over many VMs must stay within the platform's slack of about 50. */
const maxSaved = 5;

export function createRetryBudget(ratio: number = defaultRatio): RetryBudget {
    let saved = 1;
    return {
        earn() {
            saved = Math.min(maxSaved, saved + ratio);
        },
        trySpend() {
            if (saved < 1) {
                return false;
            }
            saved--;
            return true;
        },
    };
}
