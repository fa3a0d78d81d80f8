/** Prompt tokens queued for prefill at one engine, modelled as a fluid that drains at a constant rate. */
export interface Backlog {
    add(tokens: number, nowMs: number): void;
    tokens(nowMs: number): number;
}

export function createBacklog(drainRatePerMs: () => number): Backlog {
    let queuedTokens = 0;
    let updatedMs = Number.NEGATIVE_INFINITY;
    const drainTo = (nowMs: number): number => {
        queuedTokens = Number.isFinite(updatedMs)
            ? Math.max(0, queuedTokens - (nowMs - updatedMs) * drainRatePerMs())
            : queuedTokens;
        updatedMs = nowMs;
        return queuedTokens;
    };
    return {
        add(tokens, nowMs) {
            queuedTokens = drainTo(nowMs) + tokens;
        },
        tokens: drainTo,
    };
}

/** An exponentially decaying sum. */
export interface DecayingSum {
    add(amount: number, nowMs: number): void;
    value(nowMs: number): number;
}

/** @param timeConstantMs time in ms in which an addition decays to 1/e. */
export function createDecayingSum(timeConstantMs: number): DecayingSum {
    let sum = 0;
    let updatedMs = Number.NEGATIVE_INFINITY;
    const decayTo = (nowMs: number): number => {
        sum = Number.isFinite(updatedMs) ? sum * Math.exp(-Math.max(0, nowMs - updatedMs) / timeConstantMs) : sum;
        updatedMs = nowMs;
        return sum;
    };
    return {
        add(amount, nowMs) {
            sum = decayTo(nowMs) + amount;
        },
        value: decayTo,
    };
}
