import type * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";
import * as http from "node:http";
import * as net from "node:net";
import { startAttempt } from "../../src/UpstreamAttempt.js";

/** How an upstream ends a connection after the bytes of its response. */
export type ConnectionEnd = (socket: net.Socket) => void;

export const connectionEnds = {
    "reset with the last bytes": socket => void socket.resetAndDestroy(),
    "reset after the last bytes": socket => void setTimeout(() => socket.resetAndDestroy(), 20),
    "ended": socket => void socket.end(),
    "kept open": () => undefined,
} as const satisfies Record<string, ConnectionEnd>;

export interface RawUpstreamOptions {
    readonly response: string;
    readonly endConnection: ConnectionEnd;
    /** Whether a first request is answered properly, so that the next one can reuse its connection. */
    readonly answersFirst?: boolean;
}

const firstResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=5\r\n\r\n";

/** Starts an upstream that answers a request at its head with raw bytes and reads no more of it. */
export async function startRawUpstream({ response, endConnection, answersFirst = false }: RawUpstreamOptions) {
    const sockets = new Set<net.Socket>();
    const server = net.createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        const answer = (): void => {
            socket.pause();
            socket.write(response, () => endConnection(socket));
        };
        socket.once("data", () => {
            if (answersFirst) {
                socket.write(firstResponse);
                socket.once("data", answer);
            }
            else {
                answer();
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const agent = new http.Agent({ keepAlive: true });
    const { port } = server.address() as net.AddressInfo;
    return {
        /** Sends a request with a body of a size in bytes. */
        request: (method: string, bodyBytes: number) =>
            startAttempt({
                upstream: { host: "127.0.0.1", port } as catalog.Upstream,
                agent,
                method,
                path: "/",
                headers: () => ["Host", "x", ...(bodyBytes > 0 ? ["Content-Length", String(bodyBytes)] : [])],
                body: () => Buffer.alloc(bodyBytes),
                mayWrite: () => true,
                requiresReusedConnection: false,
            }, core.createSteadyClock()),
        close(): void {
            agent.destroy();
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
}
