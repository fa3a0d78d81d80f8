import * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";
import * as net from "node:net";
import { decodeRelayRequest, encodeRelayAnswer, relayRequestBytes } from "./RelayMessages.js";
import type { RelayRoom } from "./RelayRoom.js";

/** Takes connections that other VMs of the zone pass on to this one. */
export interface RelayListener {
    readonly server: net.Server;
    /** Whether the VM that passed a connection on drains, so that it is closed after the responses in flight. */
    isEnding(socket: net.Socket): boolean;
    /** Number of open connections that other VMs passed on to this one. */
    openCount(): number;
}

export interface RelayListenerOptions {
    readonly clock: core.Clock;
    readonly log: telemetry.EventLog;
    readonly metrics: telemetry.Metrics;
    readonly room: RelayRoom;
    /** Serves a connection like that of a caller. `waitedMs` is for how long it had waited at the other VM. */
    readonly serve: (socket: net.Socket, waitedMs: number) => void;
    /** Whether a connection has had a response and nothing is in flight on it. */
    readonly isIdle: (socket: net.Socket) => boolean;
}

/** Time in ms for the request of another VM to arrive. */
const requestTimeoutMs = 1_000;

export function createRelayListener(options: RelayListenerOptions): RelayListener {
    const { clock, log, metrics, room, serve, isIdle } = options;
    const served = new Map<net.Socket, string>();
    const ending = new WeakSet<net.Socket>();

    function take(socket: net.Socket, waitedMs: number): void {
        if (!room.tryTake()) {
            metrics.count("relayRequests", { outcome: "no-room" });
            socket.end(encodeRelayAnswer({ isAccepted: false, spareCores: 0 }));
            socket.resume().setTimeout(requestTimeoutMs, () => socket.destroy());
            return;
        }
        metrics.count("relayRequests", { outcome: "accepted" });
        served.set(socket, socket.remoteAddress ?? "");
        socket.once("close", () => served.delete(socket));
        socket.write(encodeRelayAnswer({ isAccepted: true, spareCores: room.spareCores() }));
        serve(socket, waitedMs);
    }

    /** Ends the connections that a VM which drains has passed on. */
    function endConnectionsOf(peer: string): void {
        const connections = [...served].filter(([socket, address]) => address === peer && !ending.has(socket));
        const idle = connections.filter(([socket]) => isIdle(socket));
        connections.forEach(([socket]) => ending.add(socket));
        idle.forEach(([socket]) => core.closeGracefully(socket, clock));
        if (connections.length > 0) {
            log.state("relayed-connections-ended", { peer, connections: connections.length, idle: idle.length });
        }
    }

    const server = net.createServer({ allowHalfOpen: true, noDelay: true }, socket => {
        let received = Buffer.alloc(0);
        const fail = (): void => void socket.destroy();
        const cancelTimer = clock.setTimer(requestTimeoutMs, fail);
        const onData = (bytes: Buffer): void => {
            received = Buffer.concat([received, bytes]);
            if (received.length < relayRequestBytes) {
                return;
            }
            cancelTimer();
            socket.off("data", onData).off("end", fail);
            const request = decodeRelayRequest(received);
            if (request?.kind === "connection") {
                take(socket, request.waitedMs);
                return;
            }
            if (request) {
                endConnectionsOf(socket.remoteAddress ?? "");
            }
            else {
                log.failure("relay-request-invalid", { peer: socket.remoteAddress });
            }
            socket.destroy();
        };
        socket.once("close", cancelTimer);
        socket.on("data", onData).on("error", fail).on("end", fail);
    });

    return {
        server,
        isEnding: socket => ending.has(socket),
        openCount: () => served.size,
    };
}
