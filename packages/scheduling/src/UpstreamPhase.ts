import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import type { UpstreamPhase } from "./Scheduler.js";
import * as constants from "./SchedulingConstants.js";

/** State of one upstream's ramp as VMs exchange it. The higher epoch wins, and within an epoch fewer usable slots. */
export interface PhaseState {
    readonly upstream: core.UpstreamId;
    readonly epoch: number;
    readonly usableSlots: number;
    /** Epoch in which the current cold start began. */
    readonly coldEpoch: number;
}

/** Tracks how many slots of each upstream are usable. Only slots with a lower index than that number are assigned. */
export interface PhaseTable {
    usableSlots(upstream: documents.Upstream): number;
    phaseOf(upstream: documents.Upstream): UpstreamPhase;
    epochOf(upstream: core.UpstreamId): number;
    coldEpochOf(upstream: core.UpstreamId): number;
    /** Merges the state of a peer; returns whether the local state changed. */
    merge(upstream: documents.Upstream, state: PhaseState): boolean;
    /** Returns the upstream to the cold phase, with its cold slots only. The coordinator also starts a new epoch. */
    fallBack(upstream: documents.Upstream, isCoordinator: boolean): void;
    /**
     * Only on the coordinator: counts a successful request that started in `epoch`; returns whether the ramp advanced.
     */
    recordSuccess(upstream: documents.Upstream, epoch: number): boolean;
    /** Starts a backoff during which the upstream gets no new requests. It doubles with each consecutive failure. */
    recordFailure(upstream: core.UpstreamId): void;
    /** Ends the backoff and resets the count of consecutive failures. */
    clearBackoff(upstream: core.UpstreamId): void;
    isBackingOff(upstream: core.UpstreamId): boolean;
    states(): readonly PhaseState[];
    /** Takes up to `limit` states that are due for a gossip message. */
    takeUpdates(limit: number): readonly PhaseState[];
    /** Marks all states for sending, for a peer that may have missed some. */
    markAllForResend(): void;
}

interface PhaseEntry {
    state: PhaseState;
    successes: number;
    failures: number;
    backoffUntilMs: number;
    sendsLeft: number;
    lastSentMs: number;
}

/** Next number of usable slots, after as many successful requests as there were usable slots. */
export type Ramp = (usableSlots: number) => number;

export const doublingRamp: Ramp = usableSlots => usableSlots * 2;

export function createPhaseTable(clock: core.Clock, ramp: Ramp = doublingRamp): PhaseTable {
    const entries = new Map<core.UpstreamId, PhaseEntry>();
    const coldSlots = (upstream: documents.Upstream): number => Math.min(upstream.coldSlots, upstream.slots);

    const entryOf = (id: core.UpstreamId): PhaseEntry => {
        const known = entries.get(id);
        if (known) {
            return known;
        }
        const state = { upstream: id, epoch: 0, usableSlots: 0, coldEpoch: 0 };
        const entry = { state, successes: 0, failures: 0, backoffUntilMs: 0, sendsLeft: 0, lastSentMs: 0 };
        entries.set(id, entry);
        return entry;
    };

    const setState = (entry: PhaseEntry, change: Partial<PhaseState>): void => {
        entry.state = { ...entry.state, ...change };
        entry.successes = 0;
        entry.sendsLeft = constants.gossipSendCount;
    };

    const usableSlots = (upstream: documents.Upstream): number =>
        Math.min(upstream.slots, Math.max(coldSlots(upstream), entries.get(upstream.id)?.state.usableSlots ?? 0));

    return {
        usableSlots,
        phaseOf(upstream) {
            const usable = usableSlots(upstream);
            if (usable >= upstream.slots) {
                return "warm";
            }
            return usable <= coldSlots(upstream) ? "cold" : "ramping";
        },
        epochOf: id => entries.get(id)?.state.epoch ?? 0,
        coldEpochOf: id => entries.get(id)?.state.coldEpoch ?? 0,
        merge(upstream, state) {
            const entry = entryOf(upstream.id);
            const { epoch } = entry.state;
            const isNewer = state.epoch > epoch;
            const isColder = state.epoch === epoch && state.usableSlots < entry.state.usableSlots;
            if (isNewer || isColder) {
                setState(entry, state);
            }
            else if (state.epoch < epoch) {
                entry.sendsLeft = Math.max(1, entry.sendsLeft); // The peer's state is out of date.
            }
            return isNewer || isColder;
        },
        fallBack(upstream, isCoordinator) {
            const entry = entryOf(upstream.id);
            const epoch = entry.state.epoch + (isCoordinator ? 1 : 0);
            setState(entry, { epoch, usableSlots: coldSlots(upstream), coldEpoch: epoch });
        },
        recordSuccess(upstream, epoch) {
            const entry = entryOf(upstream.id);
            const usable = usableSlots(upstream);
            if (epoch !== entry.state.epoch || usable >= upstream.slots) {
                return false;
            }
            entry.successes++;
            if (entry.successes < usable) {
                return false;
            }
            setState(entry, { epoch: epoch + 1, usableSlots: Math.min(upstream.slots, ramp(usable)) });
            return true;
        },
        recordFailure(id) {
            const entry = entryOf(id);
            entry.failures++;
            const backoffMs = constants.minBackoffMs * 2 ** Math.min(entry.failures - 1, 10);
            entry.backoffUntilMs = clock.nowMs() + Math.min(backoffMs, constants.maxBackoffMs);
        },
        clearBackoff(id) {
            const entry = entries.get(id);
            if (entry) {
                entry.failures = 0;
                entry.backoffUntilMs = 0;
            }
        },
        isBackingOff: id => (entries.get(id)?.backoffUntilMs ?? 0) > clock.nowMs(),
        states: () => [...entries.values()].map(entry => entry.state),
        markAllForResend: () => entries.forEach(entry => entry.sendsLeft = Math.max(1, entry.sendsLeft)),
        takeUpdates(limit) {
            const nowMs = clock.nowMs();
            return [...entries.values()]
                .filter(entry => entry.sendsLeft > 0 || nowMs - entry.lastSentMs > constants.gossipRefreshPeriodMs)
                .slice(0, limit)
                .map(entry => {
                    entry.sendsLeft = Math.max(0, entry.sendsLeft - 1);
                    entry.lastSentMs = nowMs;
                    return entry.state;
                });
        },
    };
}
