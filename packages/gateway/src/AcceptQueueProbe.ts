import type * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";
import * as net from "node:net";
import type { Endpoint } from "./GatewaySettings.js";

/**
 * Measures the wait in the accept queue of this VM's listening socket: it opens a connection to the socket and measures the
 * time until it is accepted. The queue is first in, first out, so the connections of callers beside it wait as long.
 */
export interface AcceptQueueProbe {
    /** Opens a connection, unless one waits to be accepted or the previous one was accepted only just now. */
    start(): void;
    /** Whether an accepted connection is the probe's own, which is then closed. */
    tryEnd(accepted: net.Socket): boolean;
    /** The wait in ms, which is at least that of a connection that is still in the queue; undefined if it is not known. */
    waitMs(): number | undefined;
    /** Time in ms for which a connection that is accepted now has waited at least: it joined the queue before a probe that is still in it. */
    minWaitMs(): number;
    dispose(): void;
}

export interface AcceptQueueProbeOptions {
    readonly endpoint: Endpoint;
    readonly clock: core.Clock;
    readonly log: telemetry.EventLog;
    readonly connect?: (endpoint: Endpoint) => net.Socket;
}

/** A probe that has not been accepted. */
interface PendingProbe {
    readonly socket: net.Socket;
    readonly startedMs: number;
    /** Time in ms since which it is known to be in the queue. */
    queuedMs: number | undefined;
    hasAddress: boolean;
}

/** Minimum time in ms between two probes. */
const probeIntervalMs = 50;
/** Age in ms from which a measured wait says nothing about the queue any more. */
const maxAgeMs = 500;

export function createAcceptQueueProbe(options: AcceptQueueProbeOptions): AcceptQueueProbe {
    const { endpoint, clock, log, connect = net.connect } = options;
    let pending: PendingProbe | undefined;
    let last: { readonly waitMs: number; readonly atMs: number; } | undefined;
    let nextStartMs = Number.NEGATIVE_INFINITY;

    function end(socket: net.Socket): void {
        pending = undefined;
        nextStartMs = clock.nowMs() + probeIntervalMs;
        // A reset leaves no connection in TIME_WAIT.
        socket.resetAndDestroy();
    }

    function onClosed(socket: net.Socket, error?: Error): void {
        if (pending?.socket === socket) {
            log.failure("accept-queue-probe-failed", { error: String(error ?? "closed") });
            end(socket);
        }
    }

    return {
        start() {
            const startedMs = clock.nowMs();
            if (pending || startedMs < nextStartMs) {
                return;
            }
            const socket = connect(endpoint);
            const started: PendingProbe = { socket, startedMs, queuedMs: undefined, hasAddress: false };
            pending = started;
            // Node.js connects on the next tick. It retains an address that is read before, although there is none yet.
            process.nextTick(() => started.hasAddress = true);
            // Unless its data is read, a connection does not report that its other end has closed it.
            socket.once("connect", () => started.queuedMs = clock.nowMs());
            socket.on("error", error => onClosed(socket, error)).once("close", () => onClosed(socket)).resume();
        },
        tryEnd(accepted) {
            if (!pending?.hasAddress || !isOtherEnd(accepted, pending.socket)) {
                return false;
            }
            const atMs = clock.nowMs();
            last = { waitMs: atMs - pending.startedMs, atMs };
            accepted.on("error", () => undefined).destroy();
            end(pending.socket);
            return true;
        },
        waitMs() {
            const nowMs = clock.nowMs();
            const lastMs = last && nowMs - last.atMs <= maxAgeMs ? last.waitMs : undefined;
            return pending ? Math.max(lastMs ?? 0, nowMs - pending.startedMs) : lastMs;
        },
        minWaitMs: () => pending?.queuedMs === undefined ? 0 : clock.nowMs() - pending.queuedMs,
        dispose() {
            const socket = pending?.socket;
            pending = undefined;
            socket?.destroy();
        },
    };
}

/** Whether two sockets of this process are the ends of one connection. */
function isOtherEnd(accepted: net.Socket, { localAddress, localPort }: net.Socket): boolean {
    return localPort !== undefined && accepted.remotePort === localPort && accepted.remoteAddress === localAddress;
}
