import * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";

/**
 * Observes the accept queue of a listening socket: the connections that the kernel has established and this process has
 * not accepted yet. The kernel does not report their number to Node.js, but Node.js accepts one connection per turn of the
 * event loop, so a turn without a new connection shows that the queue is empty.
 */
export interface AcceptQueueMonitor {
    /** Records that the server accepted a connection, whether it is served or not. */
    recordAccepted(): void;
    /**
     * Time in ms since the queue was last seen empty; 0 while it is empty. The connection accepted last has waited no
     * longer than this.
     */
    busyMs(): number;
    dispose(): void;
}

export interface AcceptQueueMonitorOptions {
    readonly clock: core.Clock;
    /** Calls back at the end of the current turn of the event loop, after the sockets have been polled. */
    readonly onTurnEnd: (callback: () => void) => void;
    readonly log: telemetry.EventLog;
}

/** Busy time in ms from which the queue is reported: latency objectives leave about this much time to a VM. */
const reportedBusyMs = 100;
/** Interval in ms of the reports. */
const reportIntervalMs = 1_000;

export function createAcceptQueueMonitor({ clock, onTurnEnd, log }: AcceptQueueMonitorOptions): AcceptQueueMonitor {
    let acceptedCount = 0;
    let acceptedAtTurnEnd = 0;
    let acceptedAtReport = 0;
    let busySinceMs: number | undefined;
    let lastTurnEndMs = 0;
    let longestBusyMs = 0;
    let longestTurnMs = 0;

    const busyMs = (): number => busySinceMs === undefined ? 0 : clock.nowMs() - busySinceMs;

    function checkAtTurnEnd(): void {
        const nowMs = clock.nowMs();
        longestTurnMs = Math.max(longestTurnMs, nowMs - lastTurnEndMs);
        longestBusyMs = Math.max(longestBusyMs, busyMs());
        lastTurnEndMs = nowMs;
        if (acceptedCount === acceptedAtTurnEnd) {
            busySinceMs = undefined;
            return;
        }
        acceptedAtTurnEnd = acceptedCount;
        onTurnEnd(checkAtTurnEnd);
    }

    const cancelReports = core.setRepeatingTimer(clock, reportIntervalMs, () => {
        if (longestBusyMs >= reportedBusyMs) {
            log.state("accept-queue-busy", {
                longestBusyMs: Math.round(longestBusyMs),
                longestTurnMs: Math.round(longestTurnMs),
                accepted: acceptedCount - acceptedAtReport,
            });
        }
        acceptedAtReport = acceptedCount;
        longestBusyMs = 0;
        longestTurnMs = 0;
    });

    return {
        recordAccepted() {
            acceptedCount++;
            if (busySinceMs === undefined) {
                busySinceMs = clock.nowMs();
                lastTurnEndMs = busySinceMs;
                onTurnEnd(checkAtTurnEnd);
            }
        },
        busyMs,
        dispose: cancelReports,
    };
}
