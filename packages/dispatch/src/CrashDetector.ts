/** Distinguishes the crash of an upstream from single connections that break. */
export interface CrashDetector {
    /** Records that the connection of a request in flight broke; returns true if the upstream has probably crashed. */
    recordBrokenConnection(running: number, nowMs: number): boolean;
}

/** Time window in ms in which the connections to a crashed upstream break. */
const crashWindowMs = 200;
/** Share of the requests in flight whose connections must break within the window. */
const crashShare = 0.5;

export function createCrashDetector(): CrashDetector {
    let breakTimesMs: number[] = [];
    return {
        recordBrokenConnection(running, nowMs) {
            breakTimesMs = [...breakTimesMs.filter(atMs => nowMs - atMs <= crashWindowMs), nowMs];
            // `running` counts the requests still in flight, including the one whose connection just broke.
            const runningBefore = breakTimesMs.length - 1 + running;
            return breakTimesMs.length >= runningBefore * crashShare;
        },
    };
}
