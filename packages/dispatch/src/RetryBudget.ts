/**
 * Bounds the retries of a pool's requests.
 *
 * A token bucket: each first attempt adds a fraction of a token and each retry takes one. Every VM counts only its own
 * requests, so the fleet as a whole keeps the ratio without messages and without knowing the number of VMs.
 */
export interface RetryBudget {
    /** Records a first attempt. */
    addRequest(): void;
    /** Takes one retry; false if the budget is used up. */
    tryTakeRetry(): boolean;
}

/**
 * Retries per request. It is below the platform's limit of 0.2, which applies per time window: retries may fall into a window
 * with fewer requests.
 */
const defaultRetryRatio = 0.1;
/** Capacity of the bucket. The sum over many VMs must stay within the platform's allowance of about 50 retries. */
const maxTokens = 5;

export function createRetryBudget(retryRatio: number = defaultRetryRatio): RetryBudget {
    let tokens = 1;
    return {
        addRequest() {
            tokens = Math.min(maxTokens, tokens + retryRatio);
        },
        tryTakeRetry() {
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        },
    };
}
