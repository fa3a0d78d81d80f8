import * as core from "@peridotloft/core";
import type * as http from "node:http";
import type * as net from "node:net";
import { formatRefusalBody, type Refusal, type RefusalReason } from "./Refusal.js";
import type { RawHeaders, WireCodec } from "./WireCodec.js";

/** The response to one caller. Its status and headers are final once it has begun. */
export interface CallerResponse {
    hasBegun(): boolean;
    hasEnded(): boolean;
    /** Bytes of the body that have been written. */
    sentBytes(): number;
    /** Why a response was aborted after it had begun; undefined if it was not. */
    abortReason(): RefusalReason | "not-read-in-time" | undefined;
    /** Closes the connection of a response that its caller does not take. */
    abortUnread(): void;
    begin(statusCode: number, headers: RawHeaders): void;
    /** Sends bytes. Returns false under backpressure; `onDrain` is then called once when the caller accepts more. */
    write(bytes: Buffer, onDrain: () => void): boolean;
    end(): void;
    /** Sends a complete response of an upstream. */
    send(statusCode: number, headers: RawHeaders, body: Buffer): void;
    /** Sends a refusal. Aborts a response that has begun, so that it cannot be mistaken for a complete one. */
    sendRefusal(refusal: Refusal, requestId: core.RequestId | undefined): void;
}

/** Reasons for which the rest of a body is not needed. */
const unreadBodyReasons: ReadonlySet<RefusalReason> = new Set([
    "unknown-expectation",
    "body-too-large",
    "body-memory-full",
    "not-sent-in-time",
]);

/**
 * @param shouldClose whether the connection is closed after this response.
 * @param onEnded called once all of the response has been handed to its connection.
 */
export function createCallerResponse(
    response: http.ServerResponse,
    codec: WireCodec,
    shouldClose: () => boolean,
    clock: core.Clock,
    onEnded: () => void,
): CallerResponse {
    // A write to a closed connection is not an error of this process; the close event reports the disconnect.
    response.on("error", () => undefined);
    let hasSent = false;
    let sentBytes = 0;
    let abortReason: ReturnType<CallerResponse["abortReason"]>;

    function writeHead(statusCode: number, headers: RawHeaders): void {
        response.sendDate = false;
        if (shouldClose()) {
            response.shouldKeepAlive = false;
        }
        const names = headers.filter((_, index) => index % 2 === 0);
        names.forEach((name, index) => response.appendHeader(name, headers[index * 2 + 1] ?? ""));
        response.writeHead(statusCode);
    }

    function send(statusCode: number, headers: RawHeaders, body: Buffer): void {
        if (response.headersSent || response.destroyed) {
            return;
        }
        const isEmpty = core.hasNoBody(statusCode, response.req.method) && body.length === 0;
        writeHead(statusCode, isEmpty ? headers : [...headers, "Content-Length", String(body.length)]);
        hasSent = true;
        sentBytes = body.length;
        core.endResponse(response, body, !response.shouldKeepAlive, clock);
        onEnded();
    }

    return {
        hasBegun: () => response.headersSent,
        hasEnded: () => hasSent || response.writableEnded || response.destroyed,
        sentBytes: () => sentBytes,
        abortReason: () => abortReason,
        abortUnread() {
            abortReason = "not-read-in-time";
            response.req.socket.destroy();
        },
        begin(statusCode, headers) {
            writeHead(statusCode, headers);
            response.flushHeaders();
        },
        write(bytes, onDrain) {
            sentBytes += bytes.length;
            if (response.write(bytes)) {
                return true;
            }
            response.once("drain", onDrain);
            return false;
        },
        end() {
            response.end();
            onEnded();
        },
        send,
        sendRefusal(refusal, requestId) {
            if (response.headersSent) {
                abortReason = refusal.reason;
                response.destroy();
                return;
            }
            if (unreadBodyReasons.has(refusal.reason)) {
                // Otherwise the rest of the body would be read only to reach the next request on the connection.
                response.shouldKeepAlive = false;
            }
            const body = Buffer.from(formatRefusalBody(refusal));
            const headers = codec.refusalHeaders(requestId, refusal.retryAfterMs);
            send(refusal.statusCode, ["Content-Type", "application/json", ...headers], body);
        },
    };
}

/** Time in ms for which Node.js keeps an idle connection open beyond the time that its `Keep-Alive` header states. */
const idleMarginMs = 1_000;

/**
 * Keeps the connection of a response open for the time that its `Keep-Alive` header states, which is the idle limit at the
 * arrival of the request. Node.js goes by the limit at the end of the response, which may be shorter.
 */
export function keepConnectionOpen(response: http.ServerResponse, idleTimeoutMs: number): void {
    response.once("finish", () => {
        const { socket } = response.req;
        const timeoutMs = idleTimeoutMs + idleMarginMs;
        // There is no timeout while a further request is in progress.
        if (socket.timeout && socket.timeout < timeoutMs) {
            socket.setTimeout(timeoutMs);
        }
    });
}

/**
 * Closes idle connections at their timeout unless something has arrived that is not read yet, as at the end of a long turn.
 *
 * @param release ends a connection in another way; returns false if that does not apply to it.
 */
export function closeIdleAfterPoll(
    server: http.Server,
    release: (socket: net.Socket) => boolean = () => false,
    onTurnEnd: (callback: () => void) => void = setImmediate,
): void {
    // With a listener, Node.js does not close the connection itself.
    server.on("timeout", (socket: net.Socket) => {
        const { bytesRead } = socket;
        onTurnEnd(() => {
            if (socket.bytesRead === bytesRead && !release(socket)) {
                socket.destroy();
            }
        });
    });
}
