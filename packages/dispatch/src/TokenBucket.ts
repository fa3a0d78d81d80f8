/** Bounds a rate of requests. */
export interface TokenBucket {
    /** Takes a token; false if there is none. */
    tryTake(nowMs: number): boolean;
}

/**
 * Creates an empty bucket.
 *
 * @param ratePerS tokens per second, at least 0; read at each refill.
 * @param capacity maximum number of tokens, at least 1.
 */
export function createTokenBucket(ratePerS: () => number, capacity: number, nowMs: number): TokenBucket {
    let tokens = 0;
    let lastRefillMs = nowMs;
    return {
        tryTake(atMs) {
            tokens = Math.min(capacity, tokens + (Math.max(0, atMs - lastRefillMs) * ratePerS()) / 1_000);
            lastRefillMs = atMs;
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        },
    };
}
