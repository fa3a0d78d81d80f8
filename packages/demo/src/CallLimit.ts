/** Counts calls in a sliding second, as the configuration service limits them. */
export interface CallLimit {
    /** Notes a call; false when it exceeds the limit. */
    tryCall(): boolean;
    /** Counts a waiting watch as a call in every second; returns a function that ends it. */
    addWaiting(): () => void;
}

const windowMs = 1_000;

export function createCallLimit(callsPerS: number, nowMs: () => number): CallLimit {
    const calls: number[] = [];
    let waiting = 0;
    return {
        tryCall() {
            const now = nowMs();
            const firstRecent = calls.findIndex(time => time > now - windowMs);
            calls.splice(0, firstRecent < 0 ? calls.length : firstRecent);
            if (calls.length + waiting >= callsPerS) {
                return false;
            }
            calls.push(now);
            return true;
        },
        addWaiting() {
            waiting++;
            return () => void waiting--;
        },
    };
}
