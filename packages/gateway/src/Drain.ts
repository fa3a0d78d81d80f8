import type * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";
import type * as http from "node:http";
import * as net from "node:net";
import type { AcceptQueueMonitor } from "./AcceptQueueMonitor.js";
import type { CallerConnections } from "./CallerConnections.js";

export interface DrainOptions {
    readonly clock: core.Clock;
    /** Calls back at the end of the current turn of the event loop, after the sockets have been polled. */
    readonly onTurnEnd?: (callback: () => void) => void;
    readonly log: telemetry.EventLog;
    /** Time in ms on the clock from which the grace period runs. */
    readonly sinceMs: number;
    /** Time in ms from the stop signal until the process is killed. */
    readonly stopGraceMs: number;
    readonly server: http.Server;
    readonly connections: CallerConnections;
    readonly acceptQueue: Pick<AcceptQueueMonitor, "longestWaitMs">;
    /** Gives all requests whose responses have not begun their final answer. */
    readonly endWaitingRequests: () => void;
    /** Number of connections on which a request that another VM serves has not been answered in full. */
    readonly relayedInFlightCount?: () => number;
    /** Closes the server and all its connections. */
    readonly close: () => void;
}

/** Time in ms for which the load balancer may still open connections after readiness has changed to 503. */
const loadBalancerDelayMs = 3_000;
/** Time in ms reserved at the end of the grace period for closing and exiting. */
export const exitMarginMs = 500;
/** Time in ms within that for callers to receive the answers of requests that have to end. */
const answerTransferMs = 200;
/** Time in ms before the end of the drain for the accept queue to become empty, so that the listener can be closed. */
const emptyQueueMs = 100;
/** Duration in ms of a turn in which hardly any connection arrives after its poll, and the time in ms to wait for one. */
const shortTurnMs = 0.05;
const shortTurnWaitMs = 200;
const pollIntervalMs = 50;

/**
 * Closes idle connections and waits for the others, then closes the server. Resolves when all connections have closed, or when
 * the grace period has ended and the requests that remained have been answered, or aborted if their responses had begun.
 */
export async function drainServer(options: DrainOptions): Promise<void> {
    const { clock, onTurnEnd = setImmediate, log, sinceMs, stopGraceMs, server, connections, acceptQueue } = options;
    const { relayedInFlightCount = () => 0 } = options;
    const delay = (ms: number): Promise<void> => new Promise(resolve => clock.setTimer(ms, resolve));
    const turnEnd = (): Promise<void> => new Promise(resolve => onTurnEnd(resolve));
    const isQueueEmpty = (): boolean => acceptQueue.longestWaitMs() === 0;
    const endMs = sinceMs + stopGraceMs - exitMarginMs;
    const acceptedAtSignal = connections.acceptedCount();
    let idleClosed = 0;
    /** Whether no connections waited to be accepted when the listener was closed; the kernel resets those that wait. */
    let acceptQueueEmpty: boolean | undefined;

    /** Polls a condition after the sockets have been polled, so that it takes account of all that arrived before. */
    async function pollUntil(timeMs: number, isDone: () => boolean): Promise<void> {
        await turnEnd();
        while (clock.nowMs() < timeMs && !isDone()) {
            await delay(pollIntervalMs);
            await turnEnd();
        }
    }

    /** Closes idle connections. Returns whether no others are open or wait to be accepted. */
    function closeIdle(): boolean {
        // Node.js counts a connection as idle as soon as its response has ended, even if its caller has not received all of it.
        if (!connections.hasUnsentResponses() && !connections.hasClosing()) {
            const openCount = connections.openCount();
            server.closeIdleConnections();
            idleClosed += openCount - connections.openCount();
        }
        // While the queue is empty, all accepted connections have been polled.
        return connections.openCount() === 0 && isQueueEmpty();
    }

    /** Closes the listener, if possible while its accept queue is empty, and reads the connections that it accepted last. */
    async function stopListening(): Promise<void> {
        const shortTurnUntilMs = clock.nowMs() + shortTurnWaitMs;
        let turnMs: number;
        do {
            const turnStartedMs = clock.nowMs();
            await turnEnd();
            turnMs = clock.nowMs() - turnStartedMs;
        }
        while (
            clock.nowMs() < endMs
            && (!isQueueEmpty() || (turnMs > shortTurnMs && clock.nowMs() < shortTurnUntilMs))
        );
        acceptQueueEmpty = isQueueEmpty();
        // Unlike the method of HTTP servers, this one leaves open connections untouched.
        net.Server.prototype.close.call(server);
        log.state("listener-closed", {
            sinceSignalMs: Math.round(clock.nowMs() - sinceMs),
            turnMs,
            acceptQueueEmpty,
            acceptedCount: connections.acceptedCount() - acceptedAtSignal,
            idleClosed,
            inFlight: connections.inFlightCount(),
            connections: connections.openCount(),
        });
        await delay(pollIntervalMs);
    }

    log.state("draining", {
        inFlight: connections.inFlightCount(),
        relayedInFlight: relayedInFlightCount(),
        connections: connections.openCount(),
    });
    await delay(Math.min(loadBalancerDelayMs, Math.max(0, endMs - emptyQueueMs - clock.nowMs())));
    await pollUntil(endMs - emptyQueueMs, closeIdle);
    await stopListening();
    await pollUntil(endMs, closeIdle);
    options.endWaitingRequests();
    await pollUntil(
        clock.nowMs() + answerTransferMs,
        () => !connections.hasUnsentResponses() && !connections.hasClosing(),
    );
    log.state("drained", {
        cut: connections.inFlightCount() + relayedInFlightCount(),
        connections: connections.openCount(),
        acceptQueueEmpty,
        durationMs: Math.round(clock.nowMs() - sinceMs),
    });
    options.close();
    // The requests that were cut are logged on the close events of their connections, in a later turn of the event loop.
    if (connections.inFlightCount() > 0) {
        await delay(pollIntervalMs);
    }
}
