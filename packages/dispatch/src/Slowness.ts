/** Weight of the newest request in the moving average, and the bounds of the average. */
const newestWeight = 0.15;
const minSlowness = 0.7;
const maxSlowness = 8;
/** Half-life in ms with which the slowness of an upstream without requests returns to 1. */
const slownessHalfLifeMs = 1_500;

/** Ratio of the recently observed time to first event of an upstream to the expected one. */
export interface Slowness {
    record(tookMs: number, expectedMs: number, nowMs: number): void;
    value(nowMs: number): number;
}

export function createSlowness(): Slowness {
    let ratio = 1;
    let updatedMs = Number.NEGATIVE_INFINITY;
    const valueAt = (nowMs: number): number =>
        Number.isFinite(updatedMs) ? 1 + (ratio - 1) * 0.5 ** ((nowMs - updatedMs) / slownessHalfLifeMs) : 1;
    return {
        record(tookMs, expectedMs, nowMs) {
            const observed = Math.min(maxSlowness, Math.max(minSlowness, tookMs / Math.max(1, expectedMs)));
            const previous = valueAt(nowMs);
            // The expected time already includes the previous slowness, so the observed ratio corrects that value.
            ratio = Math.min(maxSlowness, Math.max(minSlowness, previous * (1 + newestWeight * (observed - 1))));
            updatedMs = nowMs;
        },
        value: valueAt,
    };
}
