import * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";
import * as net from "node:net";
import type { AcceptWait } from "../CallerConnections.js";
import { readPatienceMs } from "../CallerPatience.js";
import { joinConnections, type RelayedEnd, type RelayedPair } from "./RelayedPair.js";
import {
    type CatalogState,
    decodeRelayAnswer,
    encodeRelayRequest,
    type RelayAnswer,
    relayAnswerBytes,
} from "./RelayMessages.js";
import type { RelayPeers } from "./RelayPeers.js";
import { createRelayReturns, type RelayReturnsOptions } from "./RelayReturns.js";
import type { RelayShare } from "./RelayShare.js";

/** Passes new connections of callers on to other VMs of the zone while this one has more than it can serve. */
export interface EntryRelay {
    /**
     * Passes a connection on that was accepted just now, if the load requires it and another VM has room. Nothing is read from it
     * before that VM has taken it.
     *
     * @param onNotTaken called later if no VM took it, or not before its caller had waited for as long as callers allow; the
     * caller's connection is then as it was.
     * @returns whether it is passed on, or may be.
     */
    tryPassOn(caller: net.Socket, onNotTaken: (isTooLate: boolean) => void): boolean;
    /** Passes nothing on any more, and has the VMs that serve relayed connections end them after the responses in flight. */
    drain(): void;
    /** Answers the relayed requests whose responses have not begun, which may have run, since this process exits. */
    endWaiting(): void;
    openCount(): number;
    /** Number of relayed connections on which a request has not been answered in full. */
    inFlightCount(): number;
    /** Resets all relayed connections. */
    close(): void;
}

export interface EntryRelayOptions {
    readonly clock: core.Clock;
    readonly log: telemetry.EventLog;
    readonly metrics: telemetry.Metrics;
    readonly share: RelayShare;
    readonly peers: RelayPeers;
    /** Port for relayed connections, the same at all VMs. */
    readonly port: number;
    /** Address of this VM from which it connects, and by which the others know it. */
    readonly host: string;
    /** Number of relayed connections that may be open. */
    readonly maxOpen: number;
    /** Bytes that may be held for sides that do not read, and of requests that have not been answered. */
    readonly maxHeldBytes: number;
    /** Time in ms that the connection accepted just now has waited in the accept queue. */
    readonly acceptWaitMs: () => number;
    /** Time in ms for which it has waited at least. */
    readonly minAcceptWaitMs: () => number;
    readonly readCatalog: () => CatalogState;
    /** Whether a VM counts as alive in the fleet. */
    readonly isAlive: (address: string) => boolean;
    /** Serves a connection that another VM served before. */
    readonly serveReturned: RelayReturnsOptions["serve"];
    /** Records that another VM serves a connection, and whether a request on it awaits an answer; undefined once none does. */
    readonly recordRelayed: (caller: net.Socket, isAwaited: (() => boolean) | undefined) => void;
}

/** What became of the question to a VM whether it takes a connection. */
type AskOutcome = "accepted" | "no-room" | "unreachable" | "silent" | "caller-left" | "too-late";

/** Time in ms for a VM to take a connection, in which the caller waits. */
const answerTimeoutMs = 100;
/** VMs that are asked to take a connection, one after the other. */
const maxAsked = 2;
const checkIntervalMs = 1_000;
/** Time in ms without a byte of a VM that counts as dead, after which its relayed connections are reset. */
const silentPeerMs = 3_000;
const reportIntervalMs = 2_000;

/** A VM that serves connections for this one. */
interface ServingPeer {
    readonly pairs: Set<RelayedPair>;
    heardMs: number;
}

export function createEntryRelay(options: EntryRelayOptions): EntryRelay {
    const { clock, log, metrics, share, peers, port, host, maxOpen, maxHeldBytes, acceptWaitMs, isAlive } = options;
    const { readCatalog, minAcceptWaitMs, recordRelayed } = options;
    const returns = createRelayReturns({ clock, serve: options.serveReturned });
    const serving = new Map<string, ServingPeer>();
    const asking = new Set<net.Socket>();
    const counts = new Map<string, number>();
    let openCount = 0;
    let relayedBytes = 0;
    let isDraining = false;

    function count(outcome: AskOutcome | RelayedEnd): void {
        counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
        metrics.count("relayedConnections", { outcome });
    }

    const pairsOf = (): readonly RelayedPair[] => [...serving.values()].flatMap(({ pairs }) => [...pairs]);

    /** Lets go of unanswered requests and then of whole connections, those that hold most first, until the rest is within the bound. */
    function boundHeldBytes(): void {
        const pairs = pairsOf();
        let heldBytes = pairs.reduce((sum, pair) => sum + pair.heldBytes(), 0);
        if (heldBytes <= maxHeldBytes) {
            return;
        }
        const relieve = (pair: RelayedPair, letGo: () => void): void => {
            const bytes = pair.heldBytes();
            if (heldBytes > maxHeldBytes) {
                letGo();
                heldBytes -= bytes - pair.heldBytes();
            }
        };
        const byHeld = pairs.map(pair => ({ pair, bytes: pair.heldBytes() })).sort((a, b) => b.bytes - a.bytes);
        byHeld.forEach(({ pair }) => relieve(pair, pair.dropUnanswered));
        byHeld.forEach(({ pair, bytes }) =>
            relieve(pair, () => {
                log.failure("relayed-connection-reset", { cause: "memory", bytes, heldBytes, maxHeldBytes });
                pair.end("memory");
            })
        );
    }

    /** Logs what became of the requests of a relayed connection that ended before they were answered. */
    function logEnd(end: RelayedEnd, pair: RelayedPair, address: string): void {
        const { openMs, awaitedMs, hasBegun, callerBytes, peerBytes } = pair.readProgress();
        const outcome = pair.outcome();
        if (end === "closed" || end === "caller-lost" || (awaitedMs === undefined && outcome === "returned")) {
            return;
        }
        log.failure(outcome === "returned" ? "relayed-connection-returned" : "relayed-connection-lost", {
            cause: end,
            outcome,
            peer: address,
            caller: pair.caller,
            openMs: Math.round(openMs),
            awaitedMs: awaitedMs === undefined ? undefined : Math.round(awaitedMs),
            hasBegun,
            callerBytes,
            peerBytes,
            drains: isDraining,
        });
    }

    function join(caller: net.Socket, peer: net.Socket, address: string): void {
        const served = serving.get(address) ?? { pairs: new Set(), heardMs: 0 };
        serving.set(address, served);
        served.heardMs = clock.nowMs();
        openCount++;
        const pair = joinConnections({
            caller,
            peer,
            clock,
            onHeld: boundHeldBytes,
            onPeerBytes: () => served.heardMs = clock.nowMs(),
            onAnswered: returns.recordAnswered,
            onReturned(returned) {
                recordRelayed(caller, undefined);
                returns.takeBack(returned);
            },
            onEnded(end) {
                openCount--;
                relayedBytes += countBytes(pair);
                served.pairs.delete(pair);
                if (served.pairs.size === 0 && serving.get(address) === served) {
                    serving.delete(address);
                }
                count(end);
                logEnd(end, pair, address);
            },
        });
        served.pairs.add(pair);
        recordRelayed(caller, () => isAwaited(pair));
    }

    function countBytes(pair: RelayedPair): number {
        const bytes = pair.takeBytes();
        metrics.count("relayedBytes", {}, bytes);
        return bytes;
    }

    /** Asks a VM to take a connection, and a second one if it does not. Returns whether there is a VM to ask. */
    function ask(
        caller: net.Socket,
        tried: readonly string[],
        readWait: () => AcceptWait,
        onNotTaken: (isTooLate: boolean) => void,
    ): boolean {
        const address = tried.length < maxAsked ? peers.choose(tried) : undefined;
        if (address === undefined) {
            return false;
        }
        peers.recordAsked(address);
        openRelayConnection({
            clock,
            host,
            address,
            port,
            request: encodeRelayRequest({ kind: "connection", ...readWait(), ...readCatalog() }),
            sockets: asking,
            onAnswer(outcome, answer, peer) {
                peers.recordAnswer(address, answer);
                if (caller.destroyed || caller.readableEnded) {
                    count("caller-left");
                    [caller, peer].forEach(socket => socket.destroy());
                    return;
                }
                if (readWait().waitMs >= readPatienceMs) {
                    // Turns of this VM's event loop were long meanwhile.
                    count("too-late");
                    peer.destroy();
                    onNotTaken(true);
                    return;
                }
                count(outcome);
                if (outcome === "accepted") {
                    join(caller, peer, address);
                }
                else if (isDraining || !ask(caller, [...tried, address], readWait, onNotTaken)) {
                    onNotTaken(false);
                }
            },
        });
        return true;
    }

    /** Ends connections whose serving VM has been lost without a reset. */
    function leaveLost(): void {
        serving.forEach(({ pairs, heardMs }, address) => {
            if (!isAlive(address) && clock.nowMs() - heardMs >= silentPeerMs) {
                log.state("relay-peer-lost", { peer: address, connections: pairs.size });
                [...pairs].forEach(pair => pair.leavePeer("peer-lost"));
            }
        });
    }

    function announceDrain(): void {
        serving.forEach((_, address) => {
            const peer = net.connect({ host: address, port, localAddress: host });
            // The next announcement follows if this one fails.
            peer.on("error", () => peer.destroy());
            peer.setTimeout(checkIntervalMs, () => peer.destroy());
            peer.resume().end(encodeRelayRequest({ kind: "drain" }));
        });
    }

    function report(): void {
        pairsOf().forEach(pair => relayedBytes += countBytes(pair));
        if (counts.size > 0 || relayedBytes > 0) {
            log.state("relayed-connections", {
                share: share.current(),
                open: openCount,
                peers: serving.size,
                bytes: relayedBytes,
                outcomes: [...counts].map(([outcome, number]) => `${outcome}=${number}`).join(),
            });
        }
        counts.clear();
        relayedBytes = 0;
    }

    const cancelChecks = core.setRepeatingTimer(clock, checkIntervalMs, () => {
        leaveLost();
        if (isDraining) {
            announceDrain();
        }
    });
    const cancelReports = core.setRepeatingTimer(clock, reportIntervalMs, report);

    return {
        tryPassOn(caller, onNotTaken) {
            if (isDraining || openCount + asking.size >= maxOpen || !share.passesOn()) {
                return false;
            }
            const onEarlyError = (): void => void caller.destroy();
            const restore = (isTooLate: boolean): void => {
                caller.off("error", onEarlyError);
                if (!caller.destroyed) {
                    onNotTaken(isTooLate);
                }
            };
            caller.on("error", onEarlyError);
            const acceptedMs = clock.nowMs();
            const [waitMs, minWaitMs] = [acceptWaitMs(), minAcceptWaitMs()];
            const readWait = (): AcceptWait => {
                const askedMs = clock.nowMs() - acceptedMs;
                return { waitMs: waitMs + askedMs, minWaitMs: minWaitMs + askedMs };
            };
            const isAsked = ask(caller, [], readWait, restore);
            if (!isAsked) {
                caller.off("error", onEarlyError);
            }
            return isAsked;
        },
        drain() {
            isDraining = true;
            announceDrain();
        },
        endWaiting: () =>
            pairsOf()
                .filter(pair => isAwaited(pair) && !pair.readProgress().hasBegun)
                .forEach(pair => pair.end("drain-ended")),
        openCount: () => openCount,
        inFlightCount: () => pairsOf().filter(isAwaited).length,
        close() {
            cancelChecks();
            cancelReports();
            report();
            share.dispose();
            pairsOf().forEach(pair => pair.end("drain-ended"));
            asking.forEach(socket => socket.destroy());
        },
    };
}

/** Whether a relayed connection is open on which a request has not been answered in full. */
const isAwaited = (pair: RelayedPair): boolean =>
    pair.outcome() === undefined && pair.readProgress().awaitedMs !== undefined;

interface RelayConnectionOptions {
    readonly clock: core.Clock;
    readonly host: string;
    readonly address: string;
    readonly port: number;
    readonly request: Buffer;
    /** The connections that wait for an answer. */
    readonly sockets: Set<net.Socket>;
    readonly onAnswer: (outcome: AskOutcome, answer: RelayAnswer | undefined, peer: net.Socket) => void;
}

/** Opens a connection to another VM, sends a request and reads the answer. */
function openRelayConnection(options: RelayConnectionOptions): void {
    const { clock, host, address, port, request, sockets, onAnswer } = options;
    const peer = net.connect({ host: address, port, localAddress: host, allowHalfOpen: true, noDelay: true });
    let received = Buffer.alloc(0);

    function settle(outcome: AskOutcome, answer?: RelayAnswer): void {
        if (!sockets.delete(peer)) {
            return;
        }
        cancelTimer();
        peer.off("data", onData).off("error", onFailed).off("close", onFailed);
        if (outcome !== "accepted") {
            peer.on("error", () => undefined).destroy();
        }
        onAnswer(outcome, answer, peer);
    }

    const onFailed = (): void => settle("unreachable");
    const onData = (bytes: Buffer): void => {
        received = Buffer.concat([received, bytes]);
        if (received.length < relayAnswerBytes) {
            return;
        }
        // Before it has read a request, a VM sends no more than the answer.
        const answer = received.length === relayAnswerBytes ? decodeRelayAnswer(received) : undefined;
        settle(answer ? answer.isAccepted ? "accepted" : "no-room" : "unreachable", answer);
    };
    const cancelTimer = clock.setTimer(answerTimeoutMs, () => settle("silent"));
    sockets.add(peer);
    peer.on("data", onData).on("error", onFailed).on("close", onFailed);
    peer.write(request);
}
