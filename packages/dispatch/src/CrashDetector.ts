/** Tells a crash of an upstream from single connections that break. */
export interface CrashDetector {
    /** Notes that a running request's connection broke; true if the upstream seems to have crashed. */
    noteBroken(running: number, nowMs: number): boolean;
}

/** Time in ms within which connections break together when an upstream crashes. */
const togetherMs = 200;
/** Part of the running requests that must break together. */
const crashShare = 0.5;

export function createCrashDetector(): CrashDetector {
    let breaks: number[] = [];
    return {
        noteBroken(running, nowMs) {
            breaks = [...breaks.filter(atMs => nowMs - atMs <= togetherMs), nowMs];
            // `running` counts the requests that are still open, the broken one included.
            const total = breaks.length - 1 + running;
            return breaks.length >= total * crashShare;
        },
    };
}
