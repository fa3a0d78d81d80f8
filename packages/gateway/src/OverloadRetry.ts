import type * as core from "@peridotloft/core";

/** What this VM knows of the load of another one. */
export interface PeerLoad {
    readonly isSameZone: boolean;
    /** Share of new connections that it refuses for lack of processor time, 0 to 1. */
    readonly refusedShare: number;
    readonly ageMs: number;
}

/** When callers that are refused for lack of processor time may retry, and what this was decided by. */
export interface OverloadRetryPlan {
    /** Range of the wait in ms; undefined for the default if the loads of other VMs are not known. */
    readonly rangeMs: readonly [min: number, max: number] | undefined;
    /** Number of the other VMs whose load is known, and of those that refuse nothing. */
    readonly knownPeers: number;
    readonly freePeers: number;
    /** Age in ms of the oldest of these loads; undefined if none is known. */
    readonly oldestLoadMs: number | undefined;
}

/** When one of these callers may retry. */
export interface OverloadRetry extends Omit<OverloadRetryPlan, "rangeMs"> {
    /** Undefined for the default. */
    readonly retryAfterMs: number | undefined;
}

/** Age in ms up to which a load counts: a few heartbeats. */
const maxLoadAgeMs = 2_000;
/** Share of the VMs that must refuse nothing for a retry to be worthwhile at once. */
const minFreeShare = 0.5;
/** Range in ms of the waits if another VM probably serves the retry. */
const promptRetryMs = [25, 75] as const;
/** Waits in ms if the other VMs refuse next to nothing and everything. */
const minBusyRetryMs = 150;
const maxBusyRetryMs = 385;
/** Largest share by which such a wait is extended, so that callers do not retry at the same time. */
const busyRetrySpread = 0.3;

/** Time in ms for which a plan is used: there are many refusals and VMs. */
const planIntervalMs = 100;

/**
 * Plans when refused callers may retry. A retry stays in the zone: it reaches another VM once the load balancer has taken this one
 * out, so the other zones count only if nothing is known of this one.
 */
export function planOverloadRetry(loads: readonly PeerLoad[]): OverloadRetryPlan {
    const recent = loads.filter(({ ageMs }) => ageMs <= maxLoadAgeMs);
    const inZone = recent.filter(({ isSameZone }) => isSameZone);
    const known = inZone.length > 0 ? inZone : recent;
    if (known.length === 0) {
        return { rangeMs: undefined, knownPeers: 0, freePeers: 0, oldestLoadMs: undefined };
    }
    const freePeers = known.filter(({ refusedShare }) => refusedShare === 0).length;
    return {
        rangeMs: freePeers >= known.length * minFreeShare ? promptRetryMs : busyRetryMs(known),
        knownPeers: known.length,
        freePeers,
        oldestLoadMs: Math.round(Math.max(...known.map(({ ageMs }) => ageMs))),
    };
}

function busyRetryMs(known: readonly PeerLoad[]): readonly [number, number] {
    const refusedShare = known.reduce((sum, load) => sum + load.refusedShare, 0) / known.length;
    const minMs = minBusyRetryMs + (maxBusyRetryMs - minBusyRetryMs) * refusedShare;
    return [minMs, minMs * (1 + busyRetrySpread)];
}

export interface OverloadRetryOptions {
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly peerLoads: () => readonly PeerLoad[];
}

/** Returns a function that decides when a refused caller may retry; waits are spread over the range of the plan. */
export function createOverloadRetryChooser({ clock, random, peerLoads }: OverloadRetryOptions): () => OverloadRetry {
    let plan: OverloadRetryPlan | undefined;
    let plannedMs = Number.NEGATIVE_INFINITY;
    return () => {
        const nowMs = clock.nowMs();
        if (!plan || nowMs - plannedMs >= planIntervalMs) {
            plan = planOverloadRetry(peerLoads());
            plannedMs = nowMs;
        }
        const { rangeMs, ...evidence } = plan;
        return { ...evidence, retryAfterMs: rangeMs && Math.round(rangeMs[0] + (rangeMs[1] - rangeMs[0]) * random()) };
    };
}
