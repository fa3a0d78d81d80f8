import * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import type { CompletionEstimate } from "./CompletionEstimate.js";
import type { SlotLease, UpstreamOutcome } from "./Scheduler.js";
import { isFailure, type UpstreamHealth } from "./UpstreamHealth.js";

export interface LeaseTerms {
    readonly upstream: documents.Upstream;
    readonly pool: core.PoolId;
    /** Epoch of the upstream's phase when the lease starts. */
    readonly epoch: number;
    readonly deadlineMs: number;
    readonly onEnd: (actualCost: number, failed: boolean) => void;
}

/** Leases under which this VM runs requests. */
export interface RunningLeases {
    startLease(terms: LeaseTerms): SlotLease;
    inFlight(upstream: core.UpstreamId): number;
}

export interface RunningLeasesOptions {
    readonly clock: core.Clock;
    readonly health: UpstreamHealth;
    readonly completionEstimateOf: (pool: core.PoolId) => CompletionEstimate;
}

export function createRunningLeases(
    { clock, health, completionEstimateOf: estimateOf }: RunningLeasesOptions,
): RunningLeases {
    const inFlightCounts = new Map<core.UpstreamId, number>();
    const addInFlight = (upstream: core.UpstreamId, change: number): void =>
        void inFlightCounts.set(upstream, (inFlightCounts.get(upstream) ?? 0) + change);

    return {
        startLease({ upstream, pool, epoch, deadlineMs, onEnd }) {
            const startedMs = clock.nowMs();
            let wasSlow = false;
            let isReleased = false;
            addInFlight(upstream.id, 1);
            return {
                upstream,
                deadlineMs,
                recordFirstByte(delayMs) {
                    wasSlow ||= health.recordFirstByte(upstream, pool, epoch, delayMs) === "slow";
                },
                release(outcome: UpstreamOutcome, actualCost: number) {
                    core.invariant(!isReleased, "a slot lease is released only once");
                    isReleased = true;
                    addInFlight(upstream.id, -1);
                    estimateOf(pool).recordDuration(clock.nowMs() - startedMs);
                    health.recordOutcome(upstream, epoch, outcome, wasSlow);
                    onEnd(actualCost, isFailure(outcome));
                },
            };
        },
        inFlight: upstream => inFlightCounts.get(upstream) ?? 0,
    };
}
