import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import type { UpstreamPhase } from "./Scheduler.js";
import * as constants from "./SchedulingConstants.js";

/** What VMs exchange about one upstream. Between two states, the higher epoch wins, then the colder one. */
export interface PhaseState {
    readonly upstream: core.UpstreamId;
    readonly epoch: number;
    readonly usableSlots: number;
    /** Epoch in which the current cold start began. */
    readonly coldEpoch: number;
}

/** Knows how many slots of each upstream may be used. Only slots with a lower index than that are given. */
export interface PhaseTable {
    usableSlots(upstream: documents.Upstream): number;
    phaseOf(upstream: documents.Upstream): UpstreamPhase;
    epochOf(upstream: core.UpstreamId): number;
    coldEpochOf(upstream: core.UpstreamId): number;
    /** Adopts what a peer knows; true when the state changed. */
    merge(upstream: documents.Upstream, state: PhaseState): boolean;
    /** Limits the upstream to its cold slots. The decider also starts a new epoch. */
    fallBack(upstream: documents.Upstream, isDecider: boolean): void;
    /** Decider only: counts a success of a request that started in `epoch`; true when the ramp advanced. */
    noteSuccess(upstream: documents.Upstream, epoch: number): boolean;
    /** Notes a failure: no new work for a pause that doubles with each failure in a row. */
    noteFailure(upstream: core.UpstreamId): void;
    noteAnswer(upstream: core.UpstreamId): void;
    isHeldOff(upstream: core.UpstreamId): boolean;
    states(): readonly PhaseState[];
    takeNews(limit: number): readonly PhaseState[];
    /** Marks everything as news, for a peer that may have missed some. */
    tellAgain(): void;
}

interface Entry {
    state: PhaseState;
    successes: number;
    failures: number;
    heldOffUntilMs: number;
    repeats: number;
    toldMs: number;
}

/** Number of usable slots after a full set of successful answers. */
export type Ramp = (usableSlots: number) => number;

export const doubling: Ramp = usableSlots => usableSlots * 2;

export function createPhaseTable(clock: core.Clock, ramp: Ramp = doubling): PhaseTable {
    const entries = new Map<core.UpstreamId, Entry>();
    const coldSlots = (upstream: documents.Upstream): number => Math.min(upstream.coldSlots, upstream.slots);

    const entryOf = (id: core.UpstreamId): Entry => {
        const known = entries.get(id);
        if (known) {
            return known;
        }
        const state = { upstream: id, epoch: 0, usableSlots: 0, coldEpoch: 0 };
        const entry = { state, successes: 0, failures: 0, heldOffUntilMs: 0, repeats: 0, toldMs: 0 };
        entries.set(id, entry);
        return entry;
    };

    const set = (entry: Entry, change: Partial<PhaseState>): void => {
        entry.state = { ...entry.state, ...change };
        entry.successes = 0;
        entry.repeats = constants.gossipRepeats;
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
                set(entry, state);
            }
            else if (state.epoch < epoch) {
                entry.repeats = Math.max(1, entry.repeats); // The sender is behind.
            }
            return isNewer || isColder;
        },
        fallBack(upstream, isDecider) {
            const entry = entryOf(upstream.id);
            const epoch = entry.state.epoch + (isDecider ? 1 : 0);
            set(entry, { epoch, usableSlots: coldSlots(upstream), coldEpoch: epoch });
        },
        noteSuccess(upstream, epoch) {
            const entry = entryOf(upstream.id);
            const usable = usableSlots(upstream);
            if (epoch !== entry.state.epoch || usable >= upstream.slots) {
                return false;
            }
            entry.successes++;
            if (entry.successes < usable) {
                return false;
            }
            set(entry, { epoch: epoch + 1, usableSlots: Math.min(upstream.slots, ramp(usable)) });
            return true;
        },
        noteFailure(id) {
            const entry = entryOf(id);
            entry.failures++;
            const holdOffMs = constants.minHoldOffMs * 2 ** Math.min(entry.failures - 1, 10);
            entry.heldOffUntilMs = clock.nowMs() + Math.min(holdOffMs, constants.maxHoldOffMs);
        },
        noteAnswer(id) {
            const entry = entries.get(id);
            if (entry) {
                entry.failures = 0;
                entry.heldOffUntilMs = 0;
            }
        },
        isHeldOff: id => (entries.get(id)?.heldOffUntilMs ?? 0) > clock.nowMs(),
        states: () => [...entries.values()].map(entry => entry.state),
        tellAgain: () => entries.forEach(entry => entry.repeats = Math.max(1, entry.repeats)),
        takeNews(limit) {
            const nowMs = clock.nowMs();
            return [...entries.values()]
                .filter(entry => entry.repeats > 0 || nowMs - entry.toldMs > constants.gossipRefreshMs)
                .slice(0, limit)
                .map(entry => {
                    entry.repeats = Math.max(0, entry.repeats - 1);
                    entry.toldMs = nowMs;
                    return entry.state;
                });
        },
    };
}
