import * as core from "@peridotloft/core";
import type * as net from "node:net";
import { relayAnswerBytes } from "./RelayMessages.js";

/**
 * How a relayed connection ended, seen from the VM that passed it on. `unanswered`: the serving VM closed it after bytes of the caller to
 * which it had sent none.
 */
export type RelayedEnd = "closed" | "unanswered" | "caller-lost" | "peer-lost" | "memory" | "drain-ended";

/** What has been copied on a relayed connection. */
export interface RelayedProgress {
    /** Time in ms since the serving VM took the connection. */
    readonly openMs: number;
    /** Time in ms since bytes of the caller after which the serving VM has sent none; undefined if it sent the latest ones. */
    readonly awaitedMs: number | undefined;
    readonly callerBytes: number;
    readonly peerBytes: number;
}

/** A caller's connection and the one to the VM that serves it. */
export interface RelayedPair {
    /** Address and port of the caller. */
    readonly caller: string;
    /** What has been copied until now, or until the connection began to end. */
    readProgress(): RelayedProgress;
    /** Bytes that a side which does not read makes this process hold. */
    heldBytes(): number;
    /** Bytes of both directions since the previous call. */
    takeBytes(): number;
    /** Resets both connections, so that no response looks complete. */
    reset(end: RelayedEnd): void;
}

export interface RelayedPairOptions {
    readonly caller: net.Socket;
    readonly peer: net.Socket;
    readonly clock: core.Clock;
    /** Called when a side does not read, so that bytes are held. */
    readonly onBlocked: () => void;
    /** Called when bytes of the peer arrive. */
    readonly onPeerBytes: () => void;
    /** Called once when both connections have closed. */
    readonly onEnded: (end: RelayedEnd) => void;
}

/** Copies bytes, half-closes and resets in both directions. A side is not read while the other one does not read. */
export function joinConnections(options: RelayedPairOptions): RelayedPair {
    const { caller, peer, clock, onBlocked, onPeerBytes, onEnded } = options;
    let end: RelayedEnd | undefined;
    let openCount = 2;
    let takenBytes = 0;
    const openedMs = clock.nowMs();
    let awaitedSinceMs: number | undefined;
    let endProgress: RelayedProgress | undefined;

    const readProgress = (): RelayedProgress => ({
        openMs: clock.nowMs() - openedMs,
        awaitedMs: awaitedSinceMs === undefined ? undefined : clock.nowMs() - awaitedSinceMs,
        callerBytes: caller.bytesRead,
        peerBytes: peer.bytesRead - relayAnswerBytes,
    });

    /** Records why the connection ends, unless another cause came first. */
    function recordEnd(cause: RelayedEnd): void {
        end ??= cause;
        endProgress ??= readProgress();
    }

    function copy(from: net.Socket, to: net.Socket): void {
        from.on("data", (bytes: Buffer) => {
            if (to.writable && !to.write(bytes)) {
                from.pause();
                onBlocked();
            }
        });
        to.on("drain", () => from.resume());
    }

    function resetBoth(cause: RelayedEnd): void {
        recordEnd(cause);
        [caller, peer].filter(({ destroyed }) => !destroyed).forEach(socket => socket.resetAndDestroy());
    }

    function onClosed(): void {
        if (--openCount === 0) {
            onEnded(end ?? "closed");
        }
    }

    caller.on("error", () => resetBoth("caller-lost"));
    peer.on("error", () => resetBoth("peer-lost"));
    caller.once("end", () => peer.end());
    peer.once("end", () => {
        if (awaitedSinceMs !== undefined && !caller.readableEnded) {
            recordEnd("unanswered");
        }
        // The peer has sent its last response, so what the caller still sends is read only to be discarded.
        core.closeGracefully(caller, clock);
    });
    caller.once("close", () => {
        recordEnd("closed");
        peer.destroy();
        onClosed();
    });
    peer.once("close", () => {
        if (!peer.readableEnded) {
            resetBoth("peer-lost");
        }
        onClosed();
    });
    copy(caller, peer);
    copy(peer, caller);
    caller.on("data", () => awaitedSinceMs ??= clock.nowMs());
    peer.on("data", () => {
        awaitedSinceMs = undefined;
        onPeerBytes();
    });

    return {
        caller: `${caller.remoteAddress}:${caller.remotePort}`,
        readProgress: () => endProgress ?? readProgress(),
        heldBytes: () => caller.writableLength + peer.writableLength,
        takeBytes() {
            const bytes = caller.bytesRead + peer.bytesRead - takenBytes;
            takenBytes += bytes;
            return bytes;
        },
        reset: resetBoth,
    };
}
