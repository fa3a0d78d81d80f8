import type * as core from "@peridotloft/core";
import * as constants from "./SchedulingConstants.js";

/** Detects peers that have sent no message for too long while this VM was able to receive. */
export interface FailureDetector {
    /** Records a message from a peer; returns the time in ms since the previous one. */
    recordContact(peer: core.VmId): number;
    /** Called on every tick. After a pause of this process, the timeout of every peer starts again. */
    tick(): void;
    isUnresponsive(peer: core.VmId): boolean;
}

export function createFailureDetector(
    clock: core.Clock,
    peers: () => readonly core.PeerView[],
    takeoverTimeoutMs = constants.takeoverTimeoutMs,
): FailureDetector {
    const lastContactMs = new Map<core.VmId, number>();
    let listeningSinceMs = clock.nowMs();
    let lastTickMs = clock.nowMs();
    return {
        recordContact(peer) {
            const gapMs = clock.nowMs() - (lastContactMs.get(peer) ?? -Infinity);
            lastContactMs.set(peer, clock.nowMs());
            return gapMs;
        },
        tick() {
            const nowMs = clock.nowMs();
            // Messages that arrived during a pause are handled after it, so a gap before its end is no evidence of a failure.
            if (nowMs - lastTickMs > constants.processPauseMs) {
                listeningSinceMs = nowMs;
            }
            lastTickMs = nowMs;
            peers().forEach(peer =>
                peer.lastHeardMs !== undefined
                && lastContactMs.set(peer.id, Math.max(lastContactMs.get(peer.id) ?? 0, peer.lastHeardMs))
            );
        },
        isUnresponsive(peer) {
            const lastMs = Math.max(listeningSinceMs, lastContactMs.get(peer) ?? 0);
            return clock.nowMs() - lastMs >= takeoverTimeoutMs;
        },
    };
}
