import type * as core from "@peridotloft/core";
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
    traces.flatMap(trace => trace.startedMs === undefined ? [] : [trace.startedMs - trace.submittedMs]);

/** Time in ms until every VM knows of a cold start: one exchange period, the minimum gap between messages and one call. */
const propagationMs = 200 + 20 + 5;

/**
 * Number of requests that started beyond the cold slots of an upstream after every VM could know of its last cold start.
 * Requests that started earlier may continue.
 *
 * @param connectedMs Time since which all VMs can reach each other.
 */
export function coldExcess(fleet: Fleet, upstream: core.UpstreamId, coldSlots: number, connectedMs: number): number {
    const span = fleet.engines.get(upstream)?.coldSpans.at(-1);
    if (!span || span.firstByteMs === undefined) {
        return 0;
    }
    const knownMs = Math.max(span.firstByteMs, connectedMs) + propagationMs;
    const started = fleet.traces.filter(trace =>
        trace.upstream === upstream && (trace.startedMs ?? 0) > knownMs
        && (trace.startedMs ?? 0) < (span.endMs ?? Infinity)
    );
    return started.filter(({ startedMs = 0 }) =>
        started.filter(other => (other.startedMs ?? 0) <= startedMs && (other.stoppedMs ?? Infinity) > startedMs).length
            > coldSlots
    ).length;
}
