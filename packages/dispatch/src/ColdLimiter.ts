/** Bounds the requests per second that this VM sends to one cold upstream. */
export interface ColdLimiter {
    tryTake(nowMs: number): boolean;
}

/** @param ratePerS this VM's share of the rate that the upstream tolerates. */
export function createColdLimiter(ratePerS: number, nowMs: number): ColdLimiter {
    // The token bucket has a capacity of one: with a larger one, several VMs could send their bursts in the same second.
    let tokens = 0;
    let lastRefillMs = nowMs;
    return {
        tryTake(atMs) {
            tokens = Math.min(1, tokens + (Math.max(0, atMs - lastRefillMs) * ratePerS) / 1_000);
            lastRefillMs = atMs;
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        },
    };
}
