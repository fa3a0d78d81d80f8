import * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";
import * as net from "node:net";
import type { AcceptWait } from "../CallerConnections.js";
import { type FramedConnection, frameWrites } from "./RelayFrames.js";
import {
    type CatalogState,
    type ConnectionRequest,
    decodeRelayRequest,
    encodeRelayAnswer,
    relayRequestBytes,
} from "./RelayMessages.js";
import type { RelayRoom } from "./RelayRoom.js";

/** Takes connections that other VMs of the zone pass on to this one. */
export interface RelayListener {
    readonly server: net.Server;
    /** Whether a relayed connection is closed after the responses in flight: its VM drains, or the catalog here is old. */
    isEnding(socket: net.Socket): boolean;
    /** Releases a connection that is idle for too long. Returns false if another VM did not pass it on, or does not know what was answered. */
    release(socket: net.Socket): boolean;
    /** Records that a response has closed, so that the relaying VM learns what has been answered. */
    recordResponseClosed(socket: net.Socket): void;
    /** Releases the connections that other VMs passed on, after the responses in flight: this VM drains. */
    drain(): void;
    /** Number of open connections that other VMs passed on to this one. */
    openCount(): number;
    close(): void;
}

export interface RelayListenerOptions {
    readonly clock: core.Clock;
    readonly log: telemetry.EventLog;
    readonly metrics: telemetry.Metrics;
    readonly room: RelayRoom;
    readonly readCatalog: () => CatalogState;
    /** Serves a connection like that of a caller. `wait` is for how long it had waited at the other VM. */
    readonly serve: (socket: net.Socket, wait: AcceptWait) => void;
    /** Whether no request is in flight on a connection. */
    readonly isIdle: (socket: net.Socket) => boolean;
    /** Whether no part of a further request has been read from a connection. */
    readonly isBetweenRequests: (socket: net.Socket) => boolean;
}

/** A connection that this VM serves for another one. */
interface ServedConnection {
    readonly peer: string;
    readonly frames: FramedConnection;
}

/**
 * Age in ms of the catalog from which this VM serves no kept connections of others, which may know a newer one. In calm, the age
 * stays below what VMs allow when they read the catalog from each other, 2.3 s, and one wait for it, 0.4 s.
 */
const maxCatalogAgeMs = 3_000;
const checkIntervalMs = 500;
/** Interval in ms at which connections that are to end are looked at, as in the drain of a VM's own connections. */
const idleCheckIntervalMs = 50;
/** Time in ms for the request of another VM to arrive. */
const requestTimeoutMs = 1_000;

export function createRelayListener(options: RelayListenerOptions): RelayListener {
    const { clock, log, metrics, room, readCatalog, serve, isIdle, isBetweenRequests } = options;
    const served = new Map<net.Socket, ServedConnection>();
    const ending = new Set<net.Socket>();
    /**
     * Connections on which a response ended before its request, or while a part of the next one had arrived, so that the other VM does
     * not know where the requests begin that have not been answered.
     */
    const unknown = new Set<net.Socket>();
    let isDraining = false;

    let wasCatalogOld = false;

    const isCatalogOld = (): boolean => readCatalog().catalogAgeMs > maxCatalogAgeMs;

    /** Whether this VM knows what the sender knows: its callers must not be served by an older configuration than before. */
    function isUpToDate(request: ConnectionRequest): boolean {
        const { configVersion, catalogAgeMs } = readCatalog();
        return configVersion >= request.configVersion
            && catalogAgeMs <= Math.max(maxCatalogAgeMs, request.catalogAgeMs);
    }

    function take(socket: net.Socket, request: ConnectionRequest): void {
        const outcome = !isUpToDate(request) ? "outdated" : room.tryTake() ? "accepted" : "no-room";
        metrics.count("relayRequests", { outcome });
        if (outcome !== "accepted") {
            socket.end(encodeRelayAnswer({ isAccepted: false, spareCores: 0 }));
            socket.resume().setTimeout(requestTimeoutMs, () => socket.destroy());
            return;
        }
        socket.once("close", () => {
            served.delete(socket);
            ending.delete(socket);
            unknown.delete(socket);
        });
        socket.write(encodeRelayAnswer({ isAccepted: true, spareCores: room.spareCores() }));
        served.set(socket, {
            peer: socket.remoteAddress ?? "",
            frames: frameWrites(socket),
        });
        serve(socket, request);
    }

    /** Bytes of the caller that have arrived on a connection. */
    const callerBytesOf = (socket: net.Socket): number => socket.bytesRead - relayRequestBytes;

    /** Tells the other VM what has been answered, if no part of a further request has arrived. */
    function tellAnswered(socket: net.Socket, connection: ServedConnection): void {
        if (isIdle(socket) && isBetweenRequests(socket)) {
            unknown.delete(socket);
            connection.frames.send("answered", callerBytesOf(socket));
        }
        else {
            unknown.add(socket);
        }
    }

    function recordResponseClosed(socket: net.Socket): void {
        const connection = served.get(socket);
        if (!connection || socket.destroyed) {
            return;
        }
        tellAnswered(socket, connection);
        if (ending.has(socket)) {
            releaseIfIdle(socket);
        }
    }

    /** Ends the connections that a VM has passed on; those of all VMs if none is named. */
    function endConnections(cause: "draining" | "peer-draining" | "catalog-old", peer?: string): void {
        const connections = [...served].filter(([socket, connection]) =>
            (peer === undefined || connection.peer === peer) && !ending.has(socket)
        );
        connections.forEach(([socket]) => ending.add(socket));
        const idle = connections.filter(([socket]) => isIdle(socket));
        if (connections.length > 0) {
            log.state("relayed-connections-ended", {
                cause,
                peer,
                connections: connections.length,
                idle: idle.length,
            });
        }
        releaseIdle();
    }

    /**
     * Releases a connection whose last response has ended: one that had begun before does not tell its caller of the close. A request
     * that the other VM has read meanwhile is served there.
     */
    function releaseIfIdle(socket: net.Socket): void {
        const connection = served.get(socket);
        if (connection && !unknown.has(socket) && isIdle(socket) && !socket.writableEnded) {
            connection.frames.send("released", callerBytesOf(socket));
            core.closeGracefully(socket, clock);
        }
    }

    const releaseIdle = (): void => ending.forEach(releaseIfIdle);

    const cancelIdleChecks = core.setRepeatingTimer(clock, idleCheckIntervalMs, () => {
        unknown.forEach(socket => {
            const connection = served.get(socket);
            if (connection && !socket.destroyed) {
                tellAnswered(socket, connection);
            }
        });
        releaseIdle();
    });
    const cancelChecks = core.setRepeatingTimer(clock, checkIntervalMs, () => {
        const isOld = isCatalogOld();
        if (isOld && !wasCatalogOld) {
            endConnections("catalog-old");
        }
        wasCatalogOld = isOld;
    });

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
                take(socket, request);
                return;
            }
            if (request) {
                endConnections("peer-draining", socket.remoteAddress);
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
        isEnding: socket => ending.has(socket) || (served.has(socket) && (isDraining || isCatalogOld())),
        release(socket) {
            releaseIfIdle(socket);
            return served.has(socket) && socket.writableEnded;
        },
        recordResponseClosed,
        drain() {
            isDraining = true;
            endConnections("draining");
        },
        openCount: () => served.size,
        close() {
            cancelChecks();
            cancelIdleChecks();
            server.close();
        },
    };
}
