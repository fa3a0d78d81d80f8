/** Prompt tokens that wait to be read by one engine, as a fluid that drains at a steady rate. */
export interface Backlog {
    add(tokens: number, nowMs: number): void;
    tokens(nowMs: number): number;
}

export function createBacklog(drainTokensPerMs: () => number): Backlog {
    let level = 0;
    let lastMs = Number.NEGATIVE_INFINITY;
    const drainTo = (nowMs: number): number => {
        level = Number.isFinite(lastMs) ? Math.max(0, level - (nowMs - lastMs) * drainTokensPerMs()) : level;
        lastMs = nowMs;
        return level;
    };
    return {
        add(tokens, nowMs) {
            level = drainTo(nowMs) + tokens;
        },
        tokens: drainTo,
    };
}

/** A sum that fades: each addition counts less as it ages. */
export interface FadingSum {
    add(amount: number, nowMs: number): void;
    value(nowMs: number): number;
}

/** @param meanAgeMs mean time in ms for which an addition counts. */
export function createFadingSum(meanAgeMs: number): FadingSum {
    let sum = 0;
    let lastMs = Number.NEGATIVE_INFINITY;
    const fadeTo = (nowMs: number): number => {
        sum = Number.isFinite(lastMs) ? sum * Math.exp(-Math.max(0, nowMs - lastMs) / meanAgeMs) : sum;
        lastMs = nowMs;
        return sum;
    };
    return {
        add(amount, nowMs) {
            sum = fadeTo(nowMs) + amount;
        },
        value: fadeTo,
    };
}
