/** Bounds a rate of requests. */
export interface TokenBucket {
    /** Takes a token; false if there is none. */
    tryTake(nowMs: number): boolean;
    /** Whether there is a token to take. */
    hasToken(nowMs: number): boolean;
    /** Returns a token that was not used. */
    giveBack(): void;
}

/**
 * @param ratePerS tokens per second, at least 0; read at each refill.
 * @param capacity maximum number of tokens, at least 1.
 * @param initialTokens at least 0, at most `capacity`.
 */
export function createTokenBucket(
    ratePerS: () => number,
    capacity: number,
    nowMs: number,
    initialTokens = 0,
): TokenBucket {
    let tokens = initialTokens;
    let lastRefillMs = nowMs;
    const hasToken = (atMs: number): boolean => {
        tokens = Math.min(capacity, tokens + (Math.max(0, atMs - lastRefillMs) * ratePerS()) / 1_000);
        lastRefillMs = atMs;
        return tokens >= 1;
    };
    return {
        hasToken,
        tryTake(atMs) {
            const has = hasToken(atMs);
            tokens -= has ? 1 : 0;
            return has;
        },
        giveBack() {
            tokens = Math.min(capacity, tokens + 1);
        },
    };
}
