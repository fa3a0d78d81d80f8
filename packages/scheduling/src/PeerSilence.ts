import type * as core from "@peridotloft/core";
import * as constants from "./SchedulingConstants.js";

/** Measures for how long nothing was heard from a peer while this VM was listening. */
export interface PeerSilence {
    /** Notes a word from a peer; returns for how long nothing was heard before, in ms. */
    noteHeard(peer: core.VmId): number;
    /** Called on every tick. After a pause of this process, all silences start anew. */
    tick(): void;
    isSilent(peer: core.VmId): boolean;
}

export function createPeerSilence(
    clock: core.Clock,
    peers: () => readonly core.PeerView[],
    takeoverSilenceMs = constants.takeoverSilenceMs,
): PeerSilence {
    const heard = new Map<core.VmId, number>();
    let listeningSinceMs = clock.nowMs();
    let lastTickMs = clock.nowMs();
    return {
        noteHeard(peer) {
            const gapMs = clock.nowMs() - (heard.get(peer) ?? -Infinity);
            heard.set(peer, clock.nowMs());
            return gapMs;
        },
        tick() {
            const nowMs = clock.nowMs();
            // Messages that arrived during a pause are handled after it, so the silence before it proves nothing.
            if (nowMs - lastTickMs > constants.pauseGapMs) {
                listeningSinceMs = nowMs;
            }
            lastTickMs = nowMs;
            peers().forEach(peer =>
                peer.lastHeardMs !== undefined
                && heard.set(peer.id, Math.max(heard.get(peer.id) ?? 0, peer.lastHeardMs))
            );
        },
        isSilent(peer) {
            const lastMs = Math.max(listeningSinceMs, heard.get(peer) ?? 0);
            return clock.nowMs() - lastMs >= takeoverSilenceMs;
        },
    };
}
