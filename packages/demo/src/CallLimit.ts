/** Limits calls in a sliding second, as the platform's configuration service does. */
export interface CallLimit {
    /** Counts a call and returns true, or returns false if it would exceed the limit. */
    tryCall(): boolean;
    /** Counts a waiting watch as one call in every second, until the returned function is called. */
    addWaitingWatch(): () => void;
}

const windowMs = 1_000;

export function createCallLimit(callsPerS: number, nowMs: () => number): CallLimit {
    const calls: number[] = [];
    let waitingWatches = 0;
    return {
        tryCall() {
            const now = nowMs();
            const firstRecentIndex = calls.findIndex(time => time > now - windowMs);
            calls.splice(0, firstRecentIndex < 0 ? calls.length : firstRecentIndex);
            if (calls.length + waitingWatches >= callsPerS) {
                return false;
            }
            calls.push(now);
            return true;
        },
        addWaitingWatch() {
            waitingWatches++;
            return () => void waitingWatches--;
        },
    };
}
