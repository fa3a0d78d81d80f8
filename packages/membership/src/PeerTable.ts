import type * as core from "@peridotloft/core";
import * as constants from "./MembershipConstants.js";

/** What a peer said of itself in a message. */
export interface PeerNews {
    readonly incarnation: number;
    readonly documentVersion: number;
}

/** What this VM knows of the other VMs of the document. */
export interface PeerTable {
    setVms(ids: readonly core.VmId[]): void;
    /** Records a message of a peer itself; false when it comes from an earlier run of the peer. */
    noteHeard(id: core.VmId, news: PeerNews): boolean;
    /** Records that another VM heard the peer at this time in ms. */
    noteRelayed(id: core.VmId, heardMs: number): void;
    /** Records that a message to the peer was not answered. */
    noteFailure(id: core.VmId): void;
    has(id: core.VmId): boolean;
    view(id: core.VmId): core.PeerView | undefined;
    views(): readonly core.PeerView[];
    ids(): readonly core.VmId[];
    /** Discounts a time in ms in which this process did not run and so could hear nobody. */
    discountPause(pauseMs: number): void;
}

interface PeerEntry {
    readonly id: core.VmId;
    readonly sinceMs: number;
    incarnation: number | undefined;
    documentVersion: number;
    lastHeardMs: number | undefined;
    /** Whether the last message to the peer went unanswered and it was not heard directly since. */
    failing: boolean;
    discountMs: number;
}

export function createPeerTable(clock: core.Clock, self: core.VmId): PeerTable {
    let entries = new Map<core.VmId, PeerEntry>();

    const createEntry = (id: core.VmId): PeerEntry => ({
        id,
        sinceMs: clock.nowMs(),
        incarnation: undefined,
        documentVersion: 0,
        lastHeardMs: undefined,
        failing: false,
        discountMs: 0,
    });
    const viewOf = (entry: PeerEntry): core.PeerView => ({
        id: entry.id,
        health: healthOf(entry, clock.nowMs()),
        incarnation: entry.incarnation,
        documentVersion: entry.documentVersion,
        lastHeardMs: entry.lastHeardMs,
    });
    const setHeard = (entry: PeerEntry, heardMs: number): void => {
        if (entry.lastHeardMs === undefined || heardMs >= entry.lastHeardMs) {
            entry.lastHeardMs = heardMs;
            entry.discountMs = 0;
        }
    };

    return {
        setVms(ids) {
            const others = ids.filter(id => id !== self);
            entries = new Map(others.map(id => [id, entries.get(id) ?? createEntry(id)]));
        },
        noteHeard(id, news) {
            const entry = entries.get(id);
            if (!entry) {
                return true;
            }
            if (entry.incarnation !== undefined && news.incarnation < entry.incarnation) {
                return false;
            }
            entry.incarnation = news.incarnation;
            entry.documentVersion = news.documentVersion;
            entry.failing = false;
            setHeard(entry, clock.nowMs());
            return true;
        },
        noteRelayed(id, heardMs) {
            const entry = entries.get(id);
            if (entry) {
                setHeard(entry, heardMs);
            }
        },
        noteFailure(id) {
            const entry = entries.get(id);
            if (entry) {
                entry.failing = true;
            }
        },
        has: id => entries.has(id),
        view(id) {
            const entry = entries.get(id);
            return entry && viewOf(entry);
        },
        views: () => [...entries.values()].map(viewOf),
        ids: () => [...entries.keys()],
        discountPause(pauseMs) {
            entries.forEach(entry => {
                entry.discountMs += pauseMs;
            });
        },
    };
}

function healthOf(entry: PeerEntry, nowMs: number): core.PeerHealth {
    const silentMs = nowMs - (entry.lastHeardMs ?? entry.sinceMs) - entry.discountMs;
    if (silentMs >= constants.unreachableAfterMs) {
        return "unreachable";
    }
    const uncertain = entry.failing || entry.lastHeardMs === undefined;
    return uncertain || silentMs >= constants.suspectAfterMs ? "suspect" : "alive";
}
