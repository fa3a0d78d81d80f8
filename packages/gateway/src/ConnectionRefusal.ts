import * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";
import type * as net from "node:net";
import type { OverloadRetry } from "./OverloadRetry.js";
import { createRefusal, formatRefusalBody, type Refusal } from "./Refusal.js";
import type { WireCodec } from "./WireCodec.js";

/** A connection whose first request is refused. */
export interface RefusedConnection {
    readonly requestId: core.RequestId | undefined;
    readonly refusal: Refusal;
    readonly retry: OverloadRetry;
    /** Time in ms since the connection was accepted. */
    readonly heldMs: number;
    /** Whether the caller closed the connection, or its sending side, before it was refused. */
    readonly isAbandoned: boolean;
}

export interface ConnectionRefusalOptions {
    readonly clock: core.Clock;
    readonly codec: WireCodec;
    readonly maxHeaderBytes: number;
    /** Decides when the caller may retry. */
    readonly chooseRetry: () => OverloadRetry;
    readonly onRefused: (refused: RefusedConnection) => void;
    readonly log: telemetry.EventLog;
}

/** Why a refused connection was closed although its caller had not received the whole refusal. */
type CloseCause = "head-timeout" | "head-too-large" | "caller-disconnected" | "connection-error" | "linger-timeout";

/** Time in ms that a caller has to send the head of its request. */
const headTimeoutMs = 2_000;
const headTerminator = "\r\n\r\n";

/**
 * Refuses the first request of a connection and closes the connection. It is used when this process is overloaded, so it
 * reads the head without the HTTP server, whose objects account for most of the processor time of a request, and without
 * decoding it.
 */
export function refuseConnection(socket: net.Socket, options: ConnectionRefusalOptions): void {
    const { clock, codec, log } = options;
    const acceptedMs = clock.nowMs();
    let head = "";
    let requestId: core.RequestId | undefined;
    let hasRead = false;
    let hasAnswered = false;
    let closeCause: CloseCause | undefined;
    let errorCode: string | undefined;
    const close = (cause: CloseCause): void => {
        closeCause ??= cause;
        socket.destroy();
    };
    const answer = (response: string): void => {
        hasAnswered = true;
        cancelTimer();
        cancelTimer = core.startLinger(clock, () => socket.bytesRead, () => close("linger-timeout"));
        socket.end(response);
    };
    const stopReading = (): void => {
        hasRead = true;
        head = "";
        cancelTimer();
        socket.off("data", onData);
        // Discards the body: closing a connection with unread bytes resets it before the caller has read the response.
        socket.resume();
    };
    const onHeadTimeout = (): void => {
        closeCause = "head-timeout";
        if (head === "") {
            socket.destroy();
            return;
        }
        stopReading();
        answer(formatBareResponse("408 Request Timeout"));
    };
    const refuse = (): void => {
        const retry = options.chooseRetry();
        const refusal = createRefusal("processor-overloaded", retry.retryAfterMs);
        options.onRefused({
            requestId,
            refusal,
            retry,
            heldMs: clock.nowMs() - acceptedMs,
            isAbandoned: socket.destroyed || socket.readableEnded,
        });
        answer(formatRefusal(refusal, codec.refusalHeaders(requestId, refusal.retryAfterMs)));
    };
    const onData = (bytes: Buffer): void => {
        head += decodeHead(bytes, options.maxHeaderBytes + headTerminator.length - head.length);
        const end = head.indexOf(headTerminator);
        if (end > options.maxHeaderBytes || (end < 0 && head.length > options.maxHeaderBytes)) {
            closeCause = "head-too-large";
            stopReading();
            answer(formatBareResponse("431 Request Header Fields Too Large"));
        }
        else if (end >= 0) {
            requestId = codec.readRequestId(head.slice(0, end + headTerminator.length));
            stopReading();
            // The first callback runs before the next poll of the sockets, which detects that the caller has disconnected.
            setImmediate(() => setImmediate(refuse));
        }
    };
    let cancelTimer = clock.setTimer(headTimeoutMs, onHeadTimeout);
    socket.once("close", () => {
        cancelTimer();
        if (closeCause === undefined && hasAnswered) {
            return;
        }
        log.failure("refused-connection-closed", {
            cause: closeCause ?? "caller-disconnected",
            errorCode,
            requestId,
            answered: hasAnswered,
            bytesRead: socket.bytesRead,
            heldMs: Math.round(clock.nowMs() - acceptedMs),
        });
    });
    socket.on("error", (error: NodeJS.ErrnoException) => {
        errorCode = error.code;
        close("connection-error");
    });
    socket.once("end", () => {
        if (!hasRead) {
            close("caller-disconnected");
        }
    });
    socket.on("data", onData);
}

/**
 * Decodes what can belong to a head of `maxBytes`, without the body behind it: the id of the request keeps the whole string in memory
 * for as long as the connection is open.
 */
function decodeHead(bytes: Buffer, maxBytes: number): string {
    const end = bytes.indexOf(headTerminator);
    return bytes.toString("latin1", 0, end < 0 ? maxBytes + 1 : end + headTerminator.length);
}

/** A response without a body, of the statuses that the HTTP server itself sends. */
function formatBareResponse(status: string): string {
    return `HTTP/1.1 ${status}\r\nContent-Length: 0\r\nConnection: close${headTerminator}`;
}

function formatRefusal(refusal: Refusal, headers: readonly string[]): string {
    const body = formatRefusalBody(refusal);
    const headerPairs = [
        "Content-Type",
        "application/json",
        ...headers,
        "Content-Length",
        String(body.length),
        "Connection",
        "close",
    ];
    const lines = headerPairs.flatMap((name, index) =>
        index % 2 === 0 ? [`${name}: ${headerPairs[index + 1] ?? ""}`] : []
    );
    return `HTTP/1.1 ${refusal.statusCode} Service Unavailable\r\n${lines.join("\r\n")}${headTerminator}${body}`;
}
