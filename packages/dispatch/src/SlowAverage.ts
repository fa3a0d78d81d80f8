/** Time constant in ms with which a known value follows what is learned, so that passing trouble does not count as speed. */
const followMs = 30_000;

/** The geometric mean of what is learned, which at first weighs all values equally, and later follows slowly. */
export interface SlowAverage {
    /**
     * Adds a learned value.
     *
     * @param before the value known before the first one was learned here, from which the average starts.
     */
    follow(learned: number, before: number | undefined, nowMs: number): number;
    /** Whether a value has been learned here. */
    hasLearned(): boolean;
}

export function createSlowAverage(): SlowAverage {
    let logValue: number | undefined;
    let updatedMs = 0;
    let count = 0;
    return {
        follow(learned, before, nowMs) {
            if (logValue === undefined) {
                logValue = Math.log(before ?? learned);
                // A value that was known before has been averaged already.
                count = before === undefined ? 0 : Number.POSITIVE_INFINITY;
                updatedMs = nowMs;
            }
            count++;
            const weight = Math.max(1 / count, 1 - Math.exp((updatedMs - nowMs) / followMs));
            logValue += weight * (Math.log(learned) - logValue);
            updatedMs = nowMs;
            return Math.exp(logValue);
        },
        hasLearned: () => logValue !== undefined,
    };
}
