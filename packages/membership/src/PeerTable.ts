import type * as core from "@peridotloft/core";
import * as constants from "./MembershipConstants.js";

/** A peer's own status, from one of its messages. */
export interface PeerStatus {
    readonly incarnation: number;
    readonly documentVersion: number;
}

/** State of the other VMs of the document as seen by this VM. */
export interface PeerTable {
    setVms(ids: readonly core.VmId[]): void;
    /** Records a message received directly from a peer; false if it comes from an earlier run of the peer. */
    recordMessage(id: core.VmId, status: PeerStatus): boolean;
    /** Records a mark in a liveness digest: the peer sent a message to some VM at `heardMs`. */
    recordRelayedMark(id: core.VmId, heardMs: number): void;
    /** Records that a message to a peer was not acknowledged. */
    recordFailure(id: core.VmId): void;
    has(id: core.VmId): boolean;
    view(id: core.VmId): core.PeerView | undefined;
    views(): readonly core.PeerView[];
    ids(): readonly core.VmId[];
    /** Excludes a pause of this process, in which it could receive nothing, from the time since each peer's last message. */
    compensatePause(pauseMs: number): void;
}

interface PeerEntry {
    readonly id: core.VmId;
    readonly addedMs: number;
    incarnation: number | undefined;
    documentVersion: number;
    lastHeardMs: number | undefined;
    /** Whether the last message to the peer was not acknowledged and none was received directly since. */
    lastCallFailed: boolean;
    compensatedMs: number;
}

export function createPeerTable(clock: core.Clock, self: core.VmId): PeerTable {
    let entries = new Map<core.VmId, PeerEntry>();

    const createEntry = (id: core.VmId): PeerEntry => ({
        id,
        addedMs: clock.nowMs(),
        incarnation: undefined,
        documentVersion: 0,
        lastHeardMs: undefined,
        lastCallFailed: false,
        compensatedMs: 0,
    });
    const viewOf = (entry: PeerEntry): core.PeerView => ({
        id: entry.id,
        health: healthOf(entry, clock.nowMs()),
        incarnation: entry.incarnation,
        documentVersion: entry.documentVersion,
        lastHeardMs: entry.lastHeardMs,
    });
    const setLastHeard = (entry: PeerEntry, heardMs: number): void => {
        if (entry.lastHeardMs === undefined || heardMs >= entry.lastHeardMs) {
            entry.lastHeardMs = heardMs;
            entry.compensatedMs = 0;
        }
    };

    return {
        setVms(ids) {
            const others = ids.filter(id => id !== self);
            entries = new Map(others.map(id => [id, entries.get(id) ?? createEntry(id)]));
        },
        recordMessage(id, status) {
            const entry = entries.get(id);
            if (!entry) {
                return true;
            }
            if (entry.incarnation !== undefined && status.incarnation < entry.incarnation) {
                return false;
            }
            entry.incarnation = status.incarnation;
            entry.documentVersion = status.documentVersion;
            entry.lastCallFailed = false;
            setLastHeard(entry, clock.nowMs());
            return true;
        },
        recordRelayedMark(id, heardMs) {
            const entry = entries.get(id);
            if (entry) {
                setLastHeard(entry, heardMs);
            }
        },
        recordFailure(id) {
            const entry = entries.get(id);
            if (entry) {
                entry.lastCallFailed = true;
            }
        },
        has: id => entries.has(id),
        view(id) {
            const entry = entries.get(id);
            return entry && viewOf(entry);
        },
        views: () => [...entries.values()].map(viewOf),
        ids: () => [...entries.keys()],
        compensatePause(pauseMs) {
            entries.forEach(entry => {
                entry.compensatedMs += pauseMs;
            });
        },
    };
}

function healthOf(entry: PeerEntry, nowMs: number): core.PeerHealth {
    const sinceLastHeardMs = nowMs - (entry.lastHeardMs ?? entry.addedMs) - entry.compensatedMs;
    if (sinceLastHeardMs >= constants.unreachableAfterMs) {
        return "unreachable";
    }
    const isUncertain = entry.lastCallFailed || entry.lastHeardMs === undefined;
    return isUncertain || sinceLastHeardMs >= constants.suspectAfterMs ? "suspect" : "alive";
}
