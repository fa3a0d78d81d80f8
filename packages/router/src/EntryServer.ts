import * as core from "@peridotloft/core";
import { randomUUID } from "node:crypto";
import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { refusalBody, refusalHeaders } from "./CallerResponse.js";
import { type FailureKind, refusalOf, unwrittenFailure } from "./RequestFailure.js";
import * as constants from "./RouterConstants.js";
import { type EntrySettings, parseAddress } from "./Settings.js";

/** Creates the HTTP server for callers, with limits on header size and on the time to send a request. */
export function createEntryServer(settings: EntrySettings, onRequest: RequestListener): Server {
    const server = createServer({
        maxHeaderSize: settings.maxHeaderBytes,
        headersTimeout: settings.headersTimeoutMs,
        requestTimeout: Math.max(settings.requestTimeoutMs, settings.headersTimeoutMs),
        connectionsCheckingInterval: constants.timeoutCheckPeriodMs,
        keepAliveTimeout: constants.callerIdleTimeoutMs,
    }, onRequest);
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => refuseConnection(error, socket as Socket));
    return server;
}

/** Listens on an address such as `127.0.0.1:8080` and returns the bound address. Rejects if it stays in use. */
export async function listen(server: Server, address: string, wait: core.AddressWait): Promise<string> {
    const { host, port } = parseAddress(address);
    const listening = await core.bindAddress(wait, () => core.listen(server, { host, port }));
    if (listening.isErr()) {
        throw new Error(listening.error);
    }
    return `${host}:${(server.address() as AddressInfo).port}`;
}

/** Stops listening and closes idle connections; resolves when all connections are closed. */
export function stopListening(server: Server): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        server.closeIdleConnections();
    });
}

/** Closes idle connections, after the end of the current response has been handed to the socket. */
export function closeIdle(server: Server): void {
    setImmediate(() => server.closeIdleConnections());
}

function refuseConnection(error: NodeJS.ErrnoException, socket: Socket): void {
    if (error.code === "ECONNRESET" || !socket.writable) {
        socket.destroy();
        return;
    }
    const refusal = refusalOf(unwrittenFailure(kindOfClientError(error)));
    const requestId = randomUUID();
    const body = JSON.stringify(refusalBody(refusal, requestId));
    const lines = [
        `HTTP/1.1 ${refusal.statusCode} Refused`,
        "connection: close",
        "content-type: application/json",
        `content-length: ${Buffer.byteLength(body)}`,
        `x-request-id: ${requestId}`,
        ...refusalHeaders(refusal).map(([name, value]) => `${name}: ${value}`),
    ];
    socket.end(`${lines.join("\r\n")}\r\n\r\n${body}`);
    setTimeout(() => socket.destroy(), constants.abortGraceMs).unref();
}

function kindOfClientError(error: NodeJS.ErrnoException): FailureKind {
    switch (error.code) {
        case "HPE_HEADER_OVERFLOW":
            return "headers-too-large";
        case "ERR_HTTP_REQUEST_TIMEOUT":
            return "slow-request";
        default:
            return "invalid-request";
    }
}
