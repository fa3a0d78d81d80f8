import * as core from "@peridotloft/core";
import type { Result } from "neverthrow";
import type * as net from "node:net";
import type { AcceptWait, CallerConnections } from "../CallerConnections.js";
import type { GatewayContext } from "../GatewayContext.js";
import { createEntryRelay, type EntryRelay, type EntryRelayOptions } from "./EntryRelay.js";
import { createRelayListener } from "./RelayListener.js";
import { createRelayPeers } from "./RelayPeers.js";
import { createRelayRoom } from "./RelayRoom.js";
import { createRelayShare } from "./RelayShare.js";

/** Both sides of the relay of connections between the VMs of a zone. */
export interface ZoneRelay extends Pick<EntryRelay, "tryPassOn" | "drain" | "endWaiting" | "inFlightCount" | "close"> {
    /** Listens for connections that other VMs pass on. */
    listen(): Promise<Result<void, core.BindFailure>>;
    /** Whether a connection is closed after the response that begins now, so that another VM serves its caller. */
    closesAfterResponse(socket: net.Socket): boolean;
    /** Releases a connection that is idle for too long. Returns false if that is not possible. */
    release(socket: net.Socket): boolean;
    /** Records that a response has closed. */
    recordResponseClosed(socket: net.Socket): void;
    /** Processor time in cores that this VM can spare for connections of other VMs; 0 if it takes none. */
    spareCores(): number;
}

export interface ZoneRelayOptions {
    readonly context: GatewayContext;
    readonly connections: Pick<CallerConnections, "latestOn" | "inFlightOn">;
    readonly isReady: () => boolean;
    /** For how long the connection accepted last has waited. */
    readonly acceptWait: () => AcceptWait;
    /** Serves a connection that another VM passed on. `wait` is for how long it had waited there. */
    readonly serve: (socket: net.Socket, wait: AcceptWait) => void;
    /** Serves a connection that another VM served before. */
    readonly serveReturned: EntryRelayOptions["serveReturned"];
    readonly recordRelayed: EntryRelayOptions["recordRelayed"];
}

/** Open relayed connections per MB of memory: each takes two descriptors, of which the smallest VMs have 11 per MB. */
const openPerMb = 2;
/** Share of the memory that may be held for sides of relayed connections that do not read. */
const heldShare = 0.04;
const bytesPerMb = 1_000_000;

/** Undefined if the relay is switched off. */
export function createZoneRelay(options: ZoneRelayOptions): ZoneRelay | undefined {
    const { context, connections, isReady, acceptWait, serve, serveReturned, recordRelayed } = options;
    const { settings, clock, log, metrics, random, follower, overload, acceptQueue, relayPeerLoads } = context;
    if (!settings.relay) {
        return undefined;
    }
    const { endpoint, cores } = settings.relay;
    const readCatalog = () => ({
        configVersion: follower.snapshot.read().activeConfig?.config.version ?? 0,
        catalogAgeMs: follower.ageMs(),
    });
    const peers = createRelayPeers({ clock, random, peerLoads: relayPeerLoads });
    const share = createRelayShare({
        clock,
        log,
        random,
        utilization: overload.utilization,
        acceptQueue,
        peersWithRoom: peers.withRoom,
    });
    const room = createRelayRoom({
        clock,
        cores,
        utilization: overload.utilization,
        isOpen: () => isReady() && share.current() === 0 && overload.refusedShare() === 0,
    });
    const entryRelay = createEntryRelay({
        clock,
        log,
        metrics,
        share,
        peers,
        ...endpoint,
        maxOpen: Math.floor(settings.maxMemoryBytes / bytesPerMb * openPerMb),
        maxHeldBytes: settings.maxMemoryBytes * heldShare,
        acceptWaitMs: acceptQueue.waitMs,
        minAcceptWaitMs: () => acceptWait().minWaitMs,
        readCatalog,
        isAlive: address => relayPeerLoads().some(load => load.address === address),
        serveReturned,
        recordRelayed,
    });
    const listener = createRelayListener({
        clock,
        log,
        metrics,
        room,
        readCatalog,
        serve,
        isIdle: socket => connections.inFlightOn(socket).length === 0,
        isBetweenRequests,
    });
    const removeGauges = [
        metrics.registerGauge(
            "relayed_connections_open",
            "Open connections of callers that this VM has passed on to other VMs.",
            entryRelay.openCount,
        ),
        metrics.registerGauge(
            "relay_served_connections_open",
            "Open connections that other VMs have passed on to this one.",
            listener.openCount,
        ),
        metrics.registerGauge("relay_share", "Share of new connections that is passed on, 0 to 1.", share.current),
        metrics.registerGauge("relay_spare_cores", "Processor time that this VM offers other VMs.", room.spareCores),
    ];

    return {
        tryPassOn: entryRelay.tryPassOn,
        drain() {
            entryRelay.drain();
            listener.drain();
        },
        endWaiting: entryRelay.endWaiting,
        inFlightCount: entryRelay.inFlightCount,
        release: listener.release,
        recordResponseClosed: listener.recordResponseClosed,
        closesAfterResponse(socket) {
            const isMoved = share.closesOpen();
            if (isMoved) {
                metrics.count("movedConnections");
            }
            return isMoved || listener.isEnding(socket);
        },
        spareCores: room.spareCores,
        listen: () => core.listen(listener.server, endpoint),
        close() {
            removeGauges.forEach(remove => remove());
            listener.close();
            entryRelay.close();
        },
    };
}

/** Whether the HTTP server has read no part of a request beyond those that have arrived in full; false if that is not known. */
function isBetweenRequests(socket: net.Socket): boolean {
    // Node.js has no public method for it. The parser counts the time since the beginning of a message, and bytes may wait to be parsed.
    const { parser } = socket as { parser?: { duration?: () => number; } | null; };
    return socket.readableLength === 0 && parser?.duration?.() === 0;
}
