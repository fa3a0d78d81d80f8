import type * as http from "node:http";
import type * as net from "node:net";
import { type Clock, setRepeatingTimer } from "./Clock.js";

/** Time in ms for which the rest of a request body is read and discarded while nothing arrives, and in all. */
const lingerMs = 2_000;
const maxLingerMs = 30_000;
/** Bytes of a request body that are discarded at most. */
const maxDiscardedBytes = 64 * 1024 * 1024;

/**
 * Calls `onEnd` once no bytes have arrived for 2 s, or after 30 s or 64 MiB. Returns a function that cancels it.
 *
 * @param discardedBytes returns the number of bytes that have arrived.
 */
export function startLinger(clock: Clock, discardedBytes: () => number, onEnd: () => void): () => void {
    const untilMs = clock.nowMs() + maxLingerMs;
    let lastBytes = discardedBytes();
    const stop = setRepeatingTimer(clock, lingerMs, () => {
        const bytes = discardedBytes();
        if (bytes === lastBytes || bytes > maxDiscardedBytes || clock.nowMs() >= untilMs) {
            stop();
            onEnd();
        }
        lastBytes = bytes;
    });
    return stop;
}

/**
 * Sends the body of a response whose headers, with the length of `body`, have been sent, and ends the response.
 *
 * If the connection is closed after it and the request's body has not been read to its end, the response ends once that body
 * has ended, or nothing more of it arrives for 2 s, or after 30 s or 64 MiB: a connection that is closed with unread bytes is reset, and its client may
 * lose a response that has already arrived (RFC 9112, section 9.6).
 */
export function endResponse(
    response: http.ServerResponse,
    body: Uint8Array,
    closesConnection: boolean,
    clock: Clock,
): void {
    const request = response.req;
    if (!closesConnection || request.complete) {
        response.end(body);
        return;
    }
    let discardedBytes = 0;
    const end = (): void => {
        cancelTimer();
        request.off("end", end).off("close", end).off("data", discard);
        response.end();
    };
    const discard = (chunk: Buffer): void => {
        discardedBytes += chunk.length;
        if (discardedBytes > maxDiscardedBytes) {
            end();
        }
    };
    const cancelTimer = startLinger(clock, () => discardedBytes, end);
    response.write(body);
    request.on("data", discard).on("end", end).on("close", end).resume();
}

/**
 * Ends a connection and discards what still arrives on it, until its client closes it too, or nothing has arrived for 2 s, or
 * after 30 s or 64 MiB. A connection that is closed at once is reset when more bytes arrive, and its client may lose a response that
 * it has not read to its end (RFC 9112, section 9.6).
 *
 * @param error the error with which the connection is then destroyed, if any.
 */
export function closeGracefully(socket: net.Socket, clock: Clock, error?: Error): void {
    if (socket.destroyed || socket.writableEnded) {
        return;
    }
    // The HTTP parser would create a request for each one that arrives, however many there are.
    socket.removeAllListeners("data").on("data", () => undefined);
    socket.resume().end(() => {
        if (socket.destroyed) {
            return;
        }
        const earlierBytes = socket.bytesRead;
        const destroy = (): void => void socket.destroy(error);
        socket.once("end", destroy).once("close", startLinger(clock, () => socket.bytesRead - earlierBytes, destroy));
    });
}
