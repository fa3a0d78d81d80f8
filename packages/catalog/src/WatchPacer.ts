/** Spaces the watches of the store: changes that are made in the meantime arrive together. */
export interface WatchPacer {
    /** Records a watch that returned changes; returns the time in ms to wait before the next one. */
    recordWatch(nowMs: number): number;
}

/**
 * @param intervalMs mean interval in ms between watches once the burst is used up.
 * @param burst number of watches that may follow each other without a wait.
 */
export function createWatchPacer(intervalMs: number, burst: number, nowMs: number): WatchPacer {
    let tokens = burst;
    let updatedMs = nowMs;
    return {
        recordWatch(atMs) {
            tokens = Math.min(burst, tokens + (atMs - updatedMs) / intervalMs) - 1;
            updatedMs = atMs;
            return Math.max(0, -tokens * intervalMs);
        },
    };
}
