/** Learns the speed of an engine's responses after their first event, relative to the mean of their routes. */
export interface GenerationSpeed {
    /** @param runMs measured time in ms from the first event to the end, and the expected one. */
    record(runMs: number, expectedRunMs: number): void;
    /** Undefined if there were too few responses. */
    value(): number | undefined;
}

/** Reports from which a speed is learned, and the weight of the newest one once there are more. */
const minReports = 12;
const newestWeight = 0.04;
/** Maximum natural logarithm of the ratio by which one report deviates, so that a stalled response counts as a slow one. */
const maxDeviation = 0.5;
/** Maximum natural logarithm of the speed. */
const maxLogSpeed = Math.log(4);

export function createGenerationSpeed(): GenerationSpeed {
    let logSpeed = 0;
    let reports = 0;
    return {
        record(runMs, expectedRunMs) {
            if (runMs <= 0 || expectedRunMs <= 0) {
                return;
            }
            reports++;
            const deviation = Math.log(expectedRunMs / runMs) - logSpeed;
            const change = Math.min(maxDeviation, Math.max(-maxDeviation, deviation))
                * Math.max(newestWeight, 1 / (reports + 1));
            logSpeed = Math.min(maxLogSpeed, Math.max(-maxLogSpeed, logSpeed + change));
        },
        value: () => reports < minReports ? undefined : Math.exp(logSpeed),
    };
}
