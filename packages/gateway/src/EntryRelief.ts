import type * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";
import type { PeerLoad } from "./OverloadRetry.js";

/**
 * Asks the load balancer, through the readiness of this VM, to send callers to other VMs while this one refuses some of them.
 * The balancer binds a caller to one VM, so that a caller that is refused by a ready VM returns to it.
 */
export interface EntryRelief {
    /** Whether relief is requested: this VM is not ready. */
    isRequested(): boolean;
    /** Decides again, given the share of new connections that this VM refuses, 0 to 1. */
    update(refusedShare: number): void;
}

export interface EntryReliefOptions {
    readonly clock: core.Clock;
    readonly log: telemetry.EventLog;
    readonly peerLoads: () => readonly PeerLoad[];
}

/** Age in ms up to which the load of another VM counts: announcements reach a VM of a large fleet every few seconds. */
const maxLoadAgeMs = 4_000;
/** Share of the other VMs of the zone that must refuse nothing. */
const minFreeShare = 0.5;
/** Number of them; fewer would pass their load back and forth, since a caller moves to one other VM as a whole. */
const minFreePeers = 3;

export function createEntryRelief({ clock, log, peerLoads }: EntryReliefOptions): EntryRelief {
    let requestedMs: number | undefined;

    function readZone() {
        const known = peerLoads().filter(({ isSameZone, ageMs }) => isSameZone && ageMs <= maxLoadAgeMs);
        const freePeers = known.filter(({ refusedShare }) => refusedShare === 0).length;
        return {
            knownPeers: known.length,
            freePeers,
            hasRoom: freePeers >= minFreePeers && freePeers >= known.length * minFreeShare,
        };
    }

    return {
        isRequested: () => requestedMs !== undefined,
        update(refusedShare) {
            if (refusedShare === 0 && requestedMs === undefined) {
                return;
            }
            const { knownPeers, freePeers, hasRoom } = readZone();
            const isNeeded = refusedShare > 0 && hasRoom;
            if (isNeeded === (requestedMs !== undefined)) {
                return;
            }
            log.state(isNeeded ? "entry-relief-requested" : "entry-relief-ended", {
                refusedShare,
                knownPeers,
                freePeers,
                requestedForMs: requestedMs && Math.round(clock.nowMs() - requestedMs),
            });
            requestedMs = isNeeded ? clock.nowMs() : undefined;
        },
    };
}
