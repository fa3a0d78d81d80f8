import * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import type { DeadlineEstimate } from "./DeadlineEstimate.js";
import type { SlotLease, UpstreamOutcome } from "./Scheduler.js";
import { isFailure, type UpstreamHealth } from "./UpstreamHealth.js";

export interface LeaseTerms {
    readonly upstream: documents.Upstream;
    readonly pool: core.PoolId;
    /** Epoch of the upstream's phase at the start. */
    readonly epoch: number;
    readonly deadlineMs: number;
    readonly onEnd: (actualCost: number, failed: boolean) => void;
}

/** Requests that this VM runs now. */
export interface RunningLeases {
    start(terms: LeaseTerms): SlotLease;
    inFlight(upstream: core.UpstreamId): number;
}

export interface RunningLeasesOptions {
    readonly clock: core.Clock;
    readonly health: UpstreamHealth;
    readonly estimateOf: (pool: core.PoolId) => DeadlineEstimate;
}

export function createRunningLeases({ clock, health, estimateOf }: RunningLeasesOptions): RunningLeases {
    const counts = new Map<core.UpstreamId, number>();
    const count = (upstream: core.UpstreamId, change: number): void =>
        void counts.set(upstream, (counts.get(upstream) ?? 0) + change);

    return {
        start({ upstream, pool, epoch, deadlineMs, onEnd }) {
            const startedMs = clock.nowMs();
            let wasSlow = false;
            let isReleased = false;
            count(upstream.id, 1);
            return {
                upstream,
                deadlineMs,
                noteFirstByte(delayMs) {
                    wasSlow ||= health.noteFirstByte(upstream, pool, epoch, delayMs) === "slow";
                },
                release(outcome: UpstreamOutcome, actualCost: number) {
                    core.invariant(!isReleased, "a slot lease is released once");
                    isReleased = true;
                    count(upstream.id, -1);
                    estimateOf(pool).noteDuration(clock.nowMs() - startedMs);
                    health.noteOutcome(upstream, epoch, outcome, wasSlow);
                    onEnd(actualCost, isFailure(outcome));
                },
            };
        },
        inFlight: upstream => counts.get(upstream) ?? 0,
    };
}
