import type { Fleet, Trace } from "./Fleet.js";

/** Cost of the customer's requests that started in (fromMs, toMs], divided by its weight. */
export function serviceOf(traces: readonly Trace[], customer: string, weight: number, fromMs: number, toMs: number) {
    return traces
        .filter(trace => trace.customer === customer && (trace.startedMs ?? Infinity) <= toMs)
        .filter(trace => (trace.startedMs ?? 0) > fromMs)
        .reduce((sum, trace) => sum + trace.cost, 0) / weight;
}

/** Largest service gap in cost units between two customers over every interval between samples 50 ms apart. */
export function largestGap(
    fleet: Fleet,
    left: { id: string; weight: number; },
    right: { id: string; weight: number; },
    fromMs: number,
    toMs: number,
): number {
    const stepMs = 50;
    let difference = 0;
    const differences = [0];
    for (let atMs = fromMs; atMs < toMs; atMs += stepMs) {
        const part = fleet.traces.filter(({ startedMs }) =>
            startedMs !== undefined && startedMs > atMs && startedMs <= atMs + stepMs
        );
        difference += serviceOf(part, left.id, left.weight, atMs, atMs + stepMs);
        difference -= serviceOf(part, right.id, right.weight, atMs, atMs + stepMs);
        differences.push(difference);
    }
    return Math.max(...differences) - Math.min(...differences);
}

export function percentile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}

export const waitsOf = (traces: readonly Trace[]): number[] =>
    traces.flatMap(trace => trace.startedMs === undefined ? [] : [trace.startedMs - trace.askedMs]);
