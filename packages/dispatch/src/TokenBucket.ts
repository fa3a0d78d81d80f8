/** Bounds a rate of requests. */
export interface TokenBucket {
    /** Takes a token; false if there is none. */
    tryTake(nowMs: number): boolean;
    /** Time in ms until a token is available. */
    waitMs(nowMs: number): number;
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
    const refill = (atMs: number): void => {
        tokens = Math.min(capacity, tokens + (Math.max(0, atMs - lastRefillMs) * ratePerS()) / 1_000);
        lastRefillMs = atMs;
    };
    return {
        tryTake(atMs) {
            refill(atMs);
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        },
        waitMs(atMs) {
            refill(atMs);
            return tokens >= 1 ? 0 : ((1 - tokens) * 1_000) / ratePerS();
        },
    };
}
