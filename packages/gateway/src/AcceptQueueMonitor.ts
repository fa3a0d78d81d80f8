import * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";
import type { AcceptQueueProbe } from "./AcceptQueueProbe.js";

/**
 * Observes the accept queue of a listening socket: the connections that the kernel has established and this process has
 * not accepted yet. The kernel does not report their number to Node.js, but Node.js accepts one connection per turn of the
 * event loop, so a turn without a new connection shows that the queue is empty.
 */
export interface AcceptQueueMonitor {
    /** Records that the server accepted a connection, whether it is served or not. */
    recordAccepted(): void;
    /** Records that a connection is refused, and whether its caller had closed it before. */
    recordRefused(isAbandoned: boolean): void;
    /** Records that the connections in the queue were discarded, and logs it. */
    recordFlushed(): void;
    /** Upper bound in ms on the time that the connection accepted last has waited; 0 while the queue is empty. */
    longestWaitMs(): number;
    /** Wait in ms of the connection accepted last: measured if the probe knows it, else its upper bound. */
    waitMs(): number;
    /** Number of connections accepted since the queue was empty, at most one per turn of the event loop. */
    acceptedWhileBusy(): number;
    /** Moving average of the share of refused connections whose caller had closed them before, 0 to 1. */
    abandonedShare(): number;
    dispose(): void;
}

export interface AcceptQueueMonitorOptions {
    readonly clock: core.Clock;
    /** Calls back at the end of the current turn of the event loop, after the sockets have been polled. */
    readonly onTurnEnd?: (callback: () => void) => void;
    readonly log: telemetry.EventLog;
    /** Measures the wait while the queue is not empty. Without it, only its upper bound is known. */
    readonly probe?: Pick<AcceptQueueProbe, "start" | "waitMs">;
}

/** Maximum number of connections in the queue; the kernel drops further ones. */
export const acceptBacklog = 511;
/** Connections accepted in turns in a row from which a wait shows a queue, rather than a single long turn. */
export const minAcceptedWhileBusy = 4;
/** Wait in ms from which the queue is reported: latency objectives leave about this much time to a VM. */
const minReportedWaitMs = 100;
/** Upper bound in ms from which the wait is measured. */
const minProbedWaitMs = 50;
/** Weight of the latest refused connection in the moving average of the share of abandoned ones. */
const abandonedWeight = 0.1;
/** Interval in ms of the reports. */
const reportIntervalMs = 1_000;

export function createAcceptQueueMonitor(options: AcceptQueueMonitorOptions): AcceptQueueMonitor {
    const { clock, log, onTurnEnd = setImmediate, probe } = options;
    let acceptedCount = 0;
    let acceptedAtTurnEnd = 0;
    let acceptedAtReport = 0;
    let acceptedAtBusy = 0;
    let refusedSinceBusy = 0;
    let flushesSinceReport = 0;
    let busySinceMs: number | undefined;
    // Times at which the latest connections were accepted. Linux queues one connection more than the backlog, so the oldest
    // time is that of the connection that was accepted before the latest one can have joined the queue.
    const acceptTimesMs = new Float64Array(acceptBacklog + 2).fill(Number.NEGATIVE_INFINITY);
    let lastTurnEndMs = 0;
    let reportedBoundMs = 0;
    let reportedWaitMs = 0;
    let longestTurnMs = 0;
    let abandonedShare = 0;

    const slotOf = (count: number): number => count % acceptTimesMs.length;

    // The latest connection joined the queue after the queue was empty, and after a whole queue before it was accepted.
    function longestWaitMs(): number {
        const oldestAcceptMs = acceptTimesMs[slotOf(acceptedCount)] ?? Number.NEGATIVE_INFINITY;
        return busySinceMs === undefined ? 0 : clock.nowMs() - Math.max(busySinceMs, oldestAcceptMs);
    }

    function waitMs(): number {
        const boundMs = longestWaitMs();
        return Math.min(boundMs, probe?.waitMs() ?? boundMs);
    }

    const acceptedWhileBusy = (): number => busySinceMs === undefined ? 0 : acceptedCount - acceptedAtBusy;

    function checkAtTurnEnd(): void {
        const nowMs = clock.nowMs();
        longestTurnMs = Math.max(longestTurnMs, nowMs - lastTurnEndMs);
        reportedBoundMs = Math.max(reportedBoundMs, longestWaitMs());
        reportedWaitMs = Math.max(reportedWaitMs, waitMs());
        lastTurnEndMs = nowMs;
        if (acceptedCount === acceptedAtTurnEnd) {
            busySinceMs = undefined;
            return;
        }
        acceptedAtTurnEnd = acceptedCount;
        onTurnEnd(checkAtTurnEnd);
    }

    function beginBusyPeriod(nowMs: number): void {
        busySinceMs = nowMs;
        acceptedAtBusy = acceptedCount;
        refusedSinceBusy = 0;
    }

    const cancelReports = core.setRepeatingTimer(clock, reportIntervalMs, () => {
        if (reportedBoundMs >= minReportedWaitMs) {
            log.state("accept-queue-busy", {
                longestWaitMs: Math.round(reportedBoundMs),
                waitMs: Math.round(reportedWaitMs),
                longestTurnMs: Math.round(longestTurnMs),
                accepted: acceptedCount - acceptedAtReport,
                flushes: flushesSinceReport,
            });
        }
        acceptedAtReport = acceptedCount;
        flushesSinceReport = 0;
        reportedBoundMs = 0;
        reportedWaitMs = 0;
        longestTurnMs = 0;
    });

    return {
        recordAccepted() {
            const nowMs = clock.nowMs();
            acceptTimesMs[slotOf(acceptedCount)] = nowMs;
            if (busySinceMs === undefined) {
                beginBusyPeriod(nowMs);
                lastTurnEndMs = nowMs;
                onTurnEnd(checkAtTurnEnd);
            }
            acceptedCount++;
            if (longestWaitMs() >= minProbedWaitMs) {
                probe?.start();
            }
        },
        recordRefused(isAbandoned) {
            refusedSinceBusy++;
            abandonedShare += abandonedWeight * ((isAbandoned ? 1 : 0) - abandonedShare);
        },
        recordFlushed() {
            const nowMs = clock.nowMs();
            flushesSinceReport++;
            log.state("accept-queue-flushed", {
                longestWaitMs: Math.round(longestWaitMs()),
                turnMs: Math.round(nowMs - lastTurnEndMs),
                longestTurnMs: Math.round(longestTurnMs),
                accepted: acceptedWhileBusy(),
                refused: refusedSinceBusy,
                abandonedShare,
            });
            abandonedShare = 0;
            if (busySinceMs !== undefined) {
                beginBusyPeriod(nowMs);
            }
        },
        longestWaitMs,
        waitMs,
        acceptedWhileBusy,
        abandonedShare: () => abandonedShare,
        dispose: cancelReports,
    };
}
