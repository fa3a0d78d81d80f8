import type * as core from "@peridotloft/core";
import type * as net from "node:net";
import { createRefusal, formatRefusalBody, type Refusal } from "./Refusal.js";
import type { CallerRequest, WireCodec } from "./WireCodec.js";

export interface ConnectionRefusalOptions {
    readonly clock: core.Clock;
    readonly codec: WireCodec;
    readonly maxHeaderBytes: number;
    /** @param heldMs time in ms since the connection was accepted. */
    readonly onRefused: (request: CallerRequest, refusal: Refusal, heldMs: number) => void;
}

/** Time in ms after which a refused connection is closed if the caller has not closed it. */
const lingerMs = 2_000;
const headTerminator = "\r\n\r\n";

/**
 * Refuses the first request of a connection and closes the connection. It is used when this process is overloaded, so it
 * parses the head without the HTTP server, whose objects account for most of the processor time of a request.
 */
export function refuseConnection(socket: net.Socket, options: ConnectionRefusalOptions): void {
    const acceptedMs = options.clock.nowMs();
    let head = "";
    const cancel = options.clock.setTimer(lingerMs, () => socket.destroy());
    socket.once("close", cancel);
    // The caller may have disconnected; there is nothing to report.
    socket.on("error", () => socket.destroy());
    const onData = (bytes: Buffer): void => {
        head += bytes.toString("latin1");
        const end = head.indexOf(headTerminator);
        if (end < 0 && head.length <= options.maxHeaderBytes) {
            return;
        }
        socket.off("data", onData);
        // Discards the body: closing a connection with unread bytes resets it before the caller has read the response.
        socket.resume();
        if (end < 0) {
            socket.destroy();
            return;
        }
        const request = options.codec.readRequestHead(parseHeaders(head.slice(0, end)));
        const refusal = createRefusal("processor-overloaded");
        options.onRefused(request, refusal, options.clock.nowMs() - acceptedMs);
        socket.end(formatRefusal(refusal, options.codec.refusalHeaders(request.requestId, refusal.retryAfterMs)));
    };
    socket.on("data", onData);
}

function parseHeaders(head: string): string[] {
    return head.split("\r\n").slice(1).flatMap(line => {
        const colon = line.indexOf(":");
        return colon < 0 ? [] : [line.slice(0, colon), line.slice(colon + 1).trim()];
    });
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
