import * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";
import type * as net from "node:net";
import type { CallerConnections } from "./CallerConnections.js";
import { onceResponseClosed } from "./ResponseClose.js";

/** Handles what Node.js reports as `clientError`: bytes that it cannot parse, heads that are late or too large, broken connections. */
export interface ClientErrors {
    handle(error: NodeJS.ErrnoException, socket: net.Socket): void;
    /** Whether a connection is closed after the responses in flight on it. */
    hasFailed(socket: net.Socket): boolean;
}

const statuses: Readonly<Record<string, string>> = {
    ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
    HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
    HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
};
const defaultStatus = "400 Bad Request";

/**
 * @param isPaused whether a connection is not read, so that the rest of a head cannot arrive.
 * @param onTurnEnd calls back at the end of the current turn of the event loop, after the sockets have been polled.
 */
export function createClientErrors(
    connections: CallerConnections,
    isPaused: (socket: net.Socket) => boolean,
    clock: core.Clock,
    log: telemetry.EventLog,
    onTurnEnd: (callback: () => void) => void = setImmediate,
): ClientErrors {
    const failed = new WeakSet<net.Socket>();

    /** Closes the connection once the responses to its earlier requests have been sent. */
    function closeAfterResponses(socket: net.Socket): void {
        connections.inFlightOn(socket).forEach(response => {
            onceResponseClosed(response, () => {
                if (connections.inFlightOn(socket).length === 0) {
                    socket.destroySoon();
                }
            });
        });
    }

    function fail(error: NodeJS.ErrnoException, socket: net.Socket): void {
        if (socket.destroyed || socket.writableEnded) {
            return;
        }
        const responses = connections.inFlightOn(socket);
        // Any other response belongs to the request that could not be read.
        const isAwaited = responses.some(({ req, headersSent }) => req.complete || headersSent);
        const status = isAwaited ? undefined : statuses[error.code ?? ""] ?? defaultStatus;
        if (!failed.has(socket)) {
            failed.add(socket);
            log.failure("caller-connection-failed", {
                code: error.code,
                statusCode: status === undefined ? undefined : Number.parseInt(status, 10),
                inFlight: responses.length,
                halfClosed: socket.readableEnded,
                bytesRead: socket.bytesRead,
            });
            if (isAwaited && !socket.readableEnded) {
                closeAfterResponses(socket);
            }
        }
        if (status !== undefined && socket.writable) {
            socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
        }
        if (socket.readableEnded) {
            socket.destroy(error);
        }
        else if (!isAwaited) {
            core.closeGracefully(socket, clock, error);
        }
    }

    return {
        handle(error, socket) {
            if (error.code !== "ERR_HTTP_REQUEST_TIMEOUT") {
                fail(error, socket);
                return;
            }
            // Node.js checks this timeout before it reads the rest of a head that arrived in time, in a long turn.
            const latest = connections.latestOn(socket);
            onTurnEnd(() => {
                if (connections.latestOn(socket) === latest && !isPaused(socket)) {
                    fail(error, socket);
                }
            });
        },
        hasFailed: socket => failed.has(socket),
    };
}
