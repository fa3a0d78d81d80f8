/** An admitted request with its actual cost. */
export interface TracedCost {
    readonly atMs: number;
    readonly cost: number;
}

/**
 * Returns the largest excess, in cost units, of any interval over rate·t + burst; negative if every interval is below it.
 *
 * Exact over all intervals in one pass: the backlog is the maximum, over the intervals that end at the current entry, of
 * the sum of costs minus the accrual. Entries must be in chronological order.
 */
export function findWorstExcess(trace: readonly TracedCost[], ratePerMs: number, burst: number): number {
    let backlog = 0;
    let worstExcess = -burst;
    let lastMs = trace[0]?.atMs ?? 0;
    for (const { atMs, cost } of trace) {
        backlog = Math.max(0, backlog - (atMs - lastMs) * ratePerMs) + cost;
        lastMs = atMs;
        worstExcess = Math.max(worstExcess, backlog - burst);
    }
    return worstExcess;
}

/** Reference implementation: the single token bucket that a fleet shares, initially full. */
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
