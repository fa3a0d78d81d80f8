/** A request that was admitted, with the cost it turned out to have. */
export interface TracedCost {
    readonly atMs: number;
    readonly cost: number;
}

/**
 * The largest excess in cost units of any interval over rate·t + burst, negative when every interval stays below.
 *
 * Exact over all intervals in one pass: the level is the largest sum of costs less accrual of an interval that ends
 * at the current entry. Entries must be in order of time.
 */
export function findWorstExcess(trace: readonly TracedCost[], ratePerMs: number, burst: number): number {
    let level = 0;
    let worst = -burst;
    let lastMs = trace[0]?.atMs ?? 0;
    for (const { atMs, cost } of trace) {
        level = Math.max(0, level - (atMs - lastMs) * ratePerMs) + cost;
        lastMs = atMs;
        worst = Math.max(worst, level - burst);
    }
    return worst;
}

/** The single token bucket that a fleet stands for, full at first. */
export function createReferenceBucket(ratePerMs: number, burst: number): (request: TracedCost) => boolean {
    let tokens = burst;
    let lastMs: number | undefined;
    return ({ atMs, cost }) => {
        tokens = Math.min(burst, tokens + (atMs - (lastMs ?? atMs)) * ratePerMs);
        lastMs = atMs;
        const admitted = cost <= tokens;
        tokens -= admitted ? cost : 0;
        return admitted;
    };
}
