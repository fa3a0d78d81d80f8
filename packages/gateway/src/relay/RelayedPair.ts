import * as core from "@peridotloft/core";
import type * as net from "node:net";
import { createFrameDecoder, type RelayFrame } from "./RelayFrames.js";
import { createUnansweredBytes } from "./UnansweredBytes.js";

/**
 * How a relayed connection ended, seen from the VM that passed it on.
 *
 * - `closed`: by the caller, or after the response that the serving VM stated as the last one.
 * - `released`: the serving VM serves it no longer and has answered all that it read.
 * - `caller-lost`, `peer-lost`: the caller or the serving VM was lost, or reset it.
 * - `memory`: what it held was needed.
 * - `drain-ended`: this VM exits.
 */
export type RelayedEnd = "closed" | "released" | "caller-lost" | "peer-lost" | "memory" | "drain-ended";

/** What became of the caller of a relayed connection when the connection ended. */
export type CallerOutcome =
    /** Closed after its last response. */
    | "closed"
    /** Handed back, so that this VM serves it. */
    | "returned"
    /** Answered with a 502: its requests may have run, and are not held in full. */
    | "failed"
    /** Reset, in the middle of a response or because it had closed. */
    | "reset";

/** What has been copied on a relayed connection. */
export interface RelayedProgress {
    /** Time in ms since the serving VM took the connection. */
    readonly openMs: number;
    /** Time in ms since bytes of the caller that have not been answered; undefined if there are none. */
    readonly awaitedMs: number | undefined;
    /** Whether a response has begun and not ended. */
    readonly hasBegun: boolean;
    readonly callerBytes: number;
    readonly peerBytes: number;
}

/** A caller's connection that the VM which accepted it serves itself from now on. */
export interface ReturnedConnection {
    readonly caller: net.Socket;
    /** Bytes of the requests that have not been answered. */
    readonly unansweredBytes: Buffer;
    /** Whether the first of these requests may have run. */
    readonly mayHaveRun: boolean;
    /** Time in ms for which these bytes have waited; 0 if there are none. */
    readonly waitedMs: number;
}

/** A caller's connection and the one to the VM that serves it. */
export interface RelayedPair {
    /** Address and port of the caller. */
    readonly caller: string;
    /** What has been copied until now, or until the connection began to end. */
    readProgress(): RelayedProgress;
    /** What became of the caller; undefined while the connection is relayed. */
    outcome(): CallerOutcome | undefined;
    /** Bytes that this process holds: those that a side does not read, and those of unanswered requests. */
    heldBytes(): number;
    /** Bytes of both directions since the previous call. */
    takeBytes(): number;
    /** Drops the bytes of unanswered requests, which then cannot be served by this VM. */
    dropUnanswered(): void;
    /** Ends the connection. Its caller is not served by this VM: what is unanswered gets a 502, a response that has begun is reset. */
    end(end: RelayedEnd): void;
    /** Ends the connection to the serving VM; this VM goes on with the caller unless a response has begun. */
    leavePeer(end: RelayedEnd): void;
}

export interface RelayedPairOptions {
    readonly caller: net.Socket;
    readonly peer: net.Socket;
    readonly clock: core.Clock;
    /** Called when this process holds more bytes. */
    readonly onHeld: () => void;
    /** Called when bytes of the peer arrive. */
    readonly onPeerBytes: () => void;
    /** Called when the serving VM has answered all requests so far. */
    readonly onAnswered: () => void;
    /** Called when this VM has to serve the caller itself. The connection is paused, and the unanswered bytes have to be put back. */
    readonly onReturned: (returned: ReturnedConnection) => void;
    /** Called once when the connection to the peer has closed, and that of the caller as well unless it was handed back. */
    readonly onEnded: (end: RelayedEnd) => void;
}

/** The response to requests that may have run and cannot be served by another VM. */
const failedResponse = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
/** Bytes of an unanswered request after which it is checked again whether all may be held. */
const heldStepBytes = 16 * 1024;

/**
 * Copies bytes, half-closes and resets in both directions. A side is not read while the other one does not read. The bytes of unanswered
 * requests are kept: if the serving VM is lost before it has responded, this VM goes on with them.
 */
export function joinConnections(options: RelayedPairOptions): RelayedPair {
    const { caller, peer, clock, onHeld, onPeerBytes, onAnswered, onReturned, onEnded } = options;
    const callerAddress = `${caller.remoteAddress}:${caller.remotePort}`;
    const openedMs = clock.nowMs();
    let openCount = 2;
    let takenBytes = 0;
    /** Bytes of the caller that were passed on, and those of them whose requests have been answered. */
    let passedBytes = 0;
    let answeredBytes = 0;
    let awaitedSinceMs: number | undefined;
    let hasBegun = false;
    const unanswered = createUnansweredBytes();
    /** Number of held bytes that was reported last. */
    let reportedBytes = 0;
    let isLast = false;
    let end: RelayedEnd | undefined;
    let endProgress: RelayedProgress | undefined;
    let outcome: CallerOutcome | undefined;

    const readProgress = (): RelayedProgress => ({
        openMs: clock.nowMs() - openedMs,
        awaitedMs: awaitedSinceMs === undefined ? undefined : clock.nowMs() - awaitedSinceMs,
        hasBegun,
        callerBytes: passedBytes,
        peerBytes: peer.bytesRead,
    });

    /** Records how the connection ends. Returns false if it ends already. */
    function recordEnd(cause: RelayedEnd, callerOutcome: CallerOutcome): boolean {
        if (end !== undefined) {
            return false;
        }
        endProgress = readProgress();
        end = cause;
        outcome = callerOutcome;
        return true;
    }

    function recordClosed(): void {
        if (--openCount === 0) {
            onEnded(end ?? "closed");
        }
    }

    function reset(cause: RelayedEnd): void {
        recordEnd(cause, "reset");
        [caller, peer].filter(({ destroyed }) => !destroyed).forEach(socket => socket.resetAndDestroy());
    }

    function holdUnanswered(bytes: Buffer): void {
        unanswered.add(bytes);
        if (unanswered.length() >= reportedBytes + heldStepBytes) {
            reportedBytes = unanswered.length();
            onHeld();
        }
    }

    function passOn(bytes: Buffer): void {
        passedBytes += bytes.length;
        awaitedSinceMs ??= clock.nowMs();
        holdUnanswered(bytes);
        if (peer.writable && !peer.write(bytes)) {
            caller.pause();
            onHeld();
        }
    }

    /** The serving VM has answered all requests within the first `bytes` of the caller. Returns false if that cannot be. */
    function recordAnswered(bytes: number): boolean {
        if (bytes < answeredBytes || bytes > passedBytes) {
            return false;
        }
        if (bytes === passedBytes) {
            unanswered.restart();
        }
        else {
            // The caller has sent a request after the response, or ahead of it.
            unanswered.dropFirst(bytes - answeredBytes);
        }
        hasBegun = false;
        answeredBytes = bytes;
        reportedBytes = unanswered.length();
        awaitedSinceMs = bytes === passedBytes ? undefined : clock.nowMs();
        onAnswered();
        return true;
    }

    function onFrame({ kind, value, bytes }: RelayFrame): void {
        if (end !== undefined) {
            return;
        }
        switch (kind) {
            case "bytes":
                hasBegun = true;
                if (caller.writable && !caller.write(bytes)) {
                    peer.pause();
                    onHeld();
                }
                break;
            case "answered":
                if (!recordAnswered(value)) {
                    unanswered.dropAll();
                    goOn("peer-lost", true);
                }
                break;
            case "released":
                goOn("released", false);
                break;
            case "last":
                isLast = true;
                awaitedSinceMs = undefined;
                unanswered.dropAll();
                break;
        }
    }

    /** Ends the connection to the peer, and goes on with the caller as far as that is possible. */
    function goOn(cause: RelayedEnd, mayHaveRun: boolean): void {
        if (end !== undefined) {
            return;
        }
        const isAwaited = passedBytes > answeredBytes;
        if (isLast) {
            // What the caller still sends is read only to be discarded.
            core.closeGracefully(caller, clock);
        }
        else if (hasBegun) {
            reset(cause);
        }
        else if (caller.destroyed || caller.readableEnded) {
            // A caller that has ended what it sends counts as one that has left.
            recordEnd("caller-lost", "closed");
            peer.destroy();
            core.closeGracefully(caller, clock);
        }
        else {
            returnCaller(cause, isAwaited, mayHaveRun);
        }
    }

    function fail(cause: RelayedEnd): void {
        if (recordEnd(cause, "failed")) {
            peer.destroy();
            caller.write(failedResponse);
            core.closeGracefully(caller, clock);
        }
    }

    function returnCaller(cause: RelayedEnd, isAwaited: boolean, mayHaveRun: boolean): void {
        const unansweredBytes = isAwaited ? unanswered.read() : Buffer.alloc(0);
        if (!unansweredBytes) {
            fail(cause);
            return;
        }
        recordEnd(cause, "returned");
        const waitedMs = endProgress?.awaitedMs ?? 0;
        peer.destroy();
        caller.pause();
        caller.off("data", passOn).off("drain", resumePeer).off("error", onCallerError);
        caller.off("end", onCallerEnd).off("close", onCallerClose);
        unanswered.dropAll();
        recordClosed();
        onReturned({ caller, unansweredBytes, mayHaveRun: isAwaited && mayHaveRun, waitedMs });
    }

    const onCallerError = (): void => reset("caller-lost");
    const onCallerEnd = (): void => void peer.end();
    const resumePeer = (): void => void peer.resume();
    const onCallerClose = (): void => {
        recordEnd("closed", "closed");
        peer.destroy();
        recordClosed();
    };
    const decode = createFrameDecoder(onFrame);

    caller.on("data", passOn).on("drain", resumePeer).on("error", onCallerError);
    caller.once("end", onCallerEnd).once("close", onCallerClose);
    peer.on("drain", () => void (end === undefined && caller.resume()));
    peer.on("error", () => goOn("peer-lost", true));
    peer.on("data", (bytes: Buffer) => {
        onPeerBytes();
        if (!decode(bytes)) {
            goOn("peer-lost", true);
        }
    });
    peer.once("end", () => goOn("peer-lost", true));
    peer.once("close", () => {
        if (!peer.readableEnded) {
            goOn("peer-lost", true);
        }
        recordClosed();
    });

    return {
        caller: callerAddress,
        readProgress: () => endProgress ?? readProgress(),
        outcome: () => outcome,
        heldBytes: () => caller.writableLength + peer.writableLength + unanswered.length(),
        takeBytes() {
            const bytes = passedBytes + peer.bytesRead - takenBytes;
            takenBytes += bytes;
            return bytes;
        },
        dropUnanswered() {
            if (unanswered.length() > 0) {
                unanswered.dropAll();
            }
        },
        end(cause) {
            if (end === undefined && !hasBegun && passedBytes > answeredBytes && !caller.destroyed) {
                fail(cause);
            }
            else {
                reset(cause);
            }
        },
        leavePeer: cause => goOn(cause, true),
    };
}
