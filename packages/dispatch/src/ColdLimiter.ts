/** Bounds the requests per second that this VM sends to one cold upstream. */
export interface ColdLimiter {
    tryTake(nowMs: number): boolean;
}

/** @param ratePerS this VM's part of what the upstream bears. */
export function createColdLimiter(ratePerS: number, nowMs: number): ColdLimiter {
    // The bucket holds one request: a VM that saved up more could send its whole saving in the same second as others.
    let tokens = 0;
    let lastMs = nowMs;
    return {
        tryTake(atMs) {
            tokens = Math.min(1, tokens + (Math.max(0, atMs - lastMs) * ratePerS) / 1_000);
            lastMs = atMs;
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        },
    };
}
