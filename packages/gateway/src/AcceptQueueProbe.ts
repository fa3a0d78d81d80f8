import type * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";
import * as net from "node:net";
import { acceptBacklog } from "./AcceptQueueMonitor.js";
import type { Endpoint } from "./GatewaySettings.js";

/**
 * Measures the wait in the accept queue of this VM's listening socket: it opens connections to the socket, called probes, and
 * measures the time until they are accepted. The queue is first in, first out, so the connections of callers beside them wait as
 * long.
 */
export interface AcceptQueueProbe {
    /** Called for each connection that is accepted while the queue is busy; starts a probe if the previous one is old enough. */
    start(): void;
    /** Whether an accepted connection is that of a probe, which is then closed. */
    tryEnd(accepted: net.Socket): boolean;
    /** The wait in ms of the probe accepted last, and at least the age of the oldest pending one; undefined if it is not known. */
    waitMs(): number | undefined;
    /** Time in ms for which a connection that is accepted now has waited at least: it joined the queue before a probe that is still in it. */
    minWaitMs(): number;
    /** Records that the connections in the queue were discarded, and closes the probes, since not all of them are reset. */
    recordFlushed(): void;
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
    /** When its own end reported the connection, and how many connections had been accepted by then. */
    connected: { readonly atMs: number; readonly acceptedCount: number; } | undefined;
    hasAddress: boolean;
}

/**
 * Minimum time in ms between the starts of two probes, by which the lower bound of a wait may be too small. Deadlines run from
 * that bound, and callers must have an answer 500 ms after the timeout of a route.
 */
const probeIntervalMs = 100;
/** Maximum number of probes that are not accepted yet; in longer queues they are further apart. */
const maxPending = 20;
/**
 * Minimum number of accepted connections between the starts of two probes while one is pending. One connection is accepted per
 * turn of the event loop, so that each probe takes the place of a caller, and accepting probes must not lead to further ones.
 */
const minAcceptedPerProbe = 5;
/**
 * Number of connections accepted after its `connect` from which a probe counts as overtaken. If the queue is full at the end of a
 * handshake, the kernel queues the connection up to seconds later, although its own end is connected. The connections that are
 * accepted until then were in the full queue; a few can have been accepted between the handshake and its report. The lower bound is not
 * proved for a queue that overflows.
 */
const overtakenAfter = acceptBacklog - 10;
/** Age in ms from which a measured wait says nothing about the queue any more. */
const maxAgeMs = 500;

export function createAcceptQueueProbe(options: AcceptQueueProbeOptions): AcceptQueueProbe {
    const { endpoint, clock, log, connect = net.connect } = options;
    /** The probes that have not been accepted, in the order of their starts. */
    const pending = new Set<PendingProbe>();
    let last: { readonly waitMs: number; readonly atMs: number; } | undefined;
    let lastStartMs = Number.NEGATIVE_INFINITY;
    let acceptedSinceStart = 0;
    let acceptedCount = 0;

    const acceptedAfter = ({ connected }: PendingProbe): number =>
        connected ? acceptedCount - connected.acceptedCount : 0;
    const isInPlace = (probe: PendingProbe): boolean => acceptedAfter(probe) <= overtakenAfter;

    function isDue(nowMs: number): boolean {
        const intervalMs = Math.max(probeIntervalMs, (last?.waitMs ?? 0) / maxPending);
        return nowMs - lastStartMs >= intervalMs
            && (pending.size === 0 || acceptedSinceStart >= minAcceptedPerProbe && pending.size < maxPending);
    }

    function end(probe: PendingProbe): void {
        pending.delete(probe);
        // A reset leaves no connection in TIME_WAIT.
        probe.socket.resetAndDestroy();
    }

    function onClosed(probe: PendingProbe, error?: Error): void {
        if (pending.has(probe)) {
            log.failure("accept-queue-probe-failed", { error: String(error ?? "closed") });
            end(probe);
        }
    }

    function closeAll(): void {
        pending.forEach(({ socket }) => socket.destroy());
        pending.clear();
    }

    return {
        start() {
            const startedMs = clock.nowMs();
            acceptedSinceStart++;
            if (!isDue(startedMs)) {
                return;
            }
            lastStartMs = startedMs;
            acceptedSinceStart = 0;
            const socket = connect(endpoint);
            const started: PendingProbe = { socket, startedMs, connected: undefined, hasAddress: false };
            pending.add(started);
            // Node.js connects on the next tick. It retains an address that is read before, although there is none yet.
            process.nextTick(() => started.hasAddress = true);
            // Unless its data is read, a connection does not report that its other end has closed it.
            socket.once("connect", () => started.connected = { atMs: clock.nowMs(), acceptedCount });
            socket.on("error", error => onClosed(started, error)).once("close", () => onClosed(started)).resume();
        },
        tryEnd(accepted) {
            acceptedCount++;
            for (const probe of pending) {
                if (probe.hasAddress && isOtherEnd(accepted, probe.socket)) {
                    const atMs = clock.nowMs();
                    last = { waitMs: atMs - probe.startedMs, atMs };
                    accepted.on("error", () => undefined).destroy();
                    end(probe);
                    return true;
                }
                // The kernel may have given up the handshake, which is not reported.
                if (acceptedAfter(probe) > 2 * acceptBacklog) {
                    onClosed(probe, new Error("overtaken by all connections of two queues"));
                }
            }
            return false;
        },
        waitMs() {
            const nowMs = clock.nowMs();
            const lastMs = last && nowMs - last.atMs <= maxAgeMs ? last.waitMs : undefined;
            const oldest = [...pending].find(isInPlace);
            return oldest ? Math.max(lastMs ?? 0, nowMs - oldest.startedMs) : lastMs;
        },
        minWaitMs() {
            const nowMs = clock.nowMs();
            const inPlace = [...pending].filter(isInPlace);
            return Math.max(0, ...inPlace.map(({ connected }) => nowMs - (connected?.atMs ?? nowMs)));
        },
        recordFlushed: closeAll,
        dispose: closeAll,
    };
}

/** Whether two sockets of this process are the ends of one connection. */
function isOtherEnd(accepted: net.Socket, { localAddress, localPort }: net.Socket): boolean {
    return localPort !== undefined && accepted.remotePort === localPort && accepted.remoteAddress === localAddress;
}
