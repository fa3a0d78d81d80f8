import type * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";
import { type AcceptQueueMonitor, minAcceptedWhileBusy } from "./AcceptQueueMonitor.js";
import { readPatienceMs } from "./CallerPatience.js";
import type { EntryRelief } from "./EntryRelief.js";

/**
 * What happens to a new connection. Its request does not run unless the connection is served.
 *
 * - `refuse`: the caller gets a 503, which costs a fraction of serving the request.
 * - `flush`: it is closed unread together with all connections that wait in the accept queue. The kernel closes those, so it
 *   costs the same for any number of them.
 */
export type ConnectionVerdict = "serve" | "refuse" | "flush";

/** Detects that this process gets less processor time than its load requires, and decides what to refuse then. */
export interface OverloadGuard {
    /** Whether readiness is turned off, so that new callers go to other VMs. */
    isOverloaded(): boolean;
    /**
     * Whether a request is refused for lack of processor time. Heavy customers are refused first. As long as timers fire
     * on time, no request is refused, however busy the event loop is: accepted requests can still be served.
     *
     * @param relativeUsage usage of the customer relative to that of the heaviest customer, 0 to 1.
     */
    refusesRequest(relativeUsage: number): boolean;
    /**
     * Decides on a connection that was accepted just now.
     *
     * The VM serves, out of the connections that callers keep opening, what it has capacity for, and refuses the others
     * while their callers still wait for a response.
     */
    judgeConnection(): ConnectionVerdict;
    /** Share of new connections that is refused now, 0 to 1. */
    refusedShare(): number;
    /** Moving average of the utilization of the event loop, 0 to 1. */
    utilization(): number;
    dispose(): void;
}

/** Interval in ms of the timer that measures the event loop lag and the utilization. */
const sampleIntervalMs = 100;
/**
 * Utilization of the event loop above which the share of refused connections rises, and below which it falls. Node.js
 * accepts one connection per turn of the loop. Under load, connections therefore wait in the accept backlog and are lost
 * when it is full, even though timers run on time.
 */
const highUtilization = 0.92;
const lowUtilization = 0.8;
/** Change of the share of refused connections per interval: it reaches its maximum in 1 s and falls to 0 in 2.5 s. */
const refusedShareIncrease = 0.1;
const refusedShareDecrease = 0.04;
/** Largest share of refused connections; some are always served, so that a decrease of the load is detected. */
const maxRefusedShare = 0.9;
/**
 * The same while the load balancer is asked to send callers elsewhere. A refusal costs half as much processor time as a request,
 * so a VM that refuses nine of ten spends most of its time on it.
 */
const maxReliefRefusedShare = 0.2;
/** Lag in ms at which heavy customers are refused; latency objectives leave about this much time to a VM. */
const heavyCustomerLagMs = 100;
/** Weight of the latest interval in the moving average of the utilization. */
const utilizationWeight = 0.4;
/** Relative usage from which a customer counts as heavy. */
const heavyCustomerUsage = 0.5;
/** Lag in ms at which all requests are refused; callers would disconnect before their requests reach an upstream. */
const refuseAllLagMs = 300;
/**
 * Wait in ms for being accepted from which the largest share of connections is refused: latency objectives leave about this
 * much time to a VM. The queue is first in, first out, so it becomes shorter only if most of it is refused.
 */
const refuseAcceptWaitMs = 100;
/** Wait in ms that turns readiness off if it persists. */
const unreadyAcceptWaitMs = 300;
/**
 * Share of abandoned connections from which the accept queue is flushed if they can have waited for as long as callers
 * allow. The VM then cannot even refuse as many connections as arrive, and would refuse none whose caller still waits.
 */
const maxAbandonedShare = 0.5;
/** Time in ms after such a flush during which the queue is flushed before its callers give up. */
const earlyFlushesMs = 10_000;
const earlyFlushWaitMs = 300;
/** Time in ms for which a lag or a wait must persist before readiness is turned off, and be absent before it is turned on. */
const stateChangeDelayMs = 700;

export interface OverloadGuardOptions {
    readonly clock: core.Clock;
    readonly log: telemetry.EventLog;
    readonly random: core.Random;
    /** Returns the event loop utilization since its previous call, 0 to 1. */
    readonly utilization: () => number;
    readonly acceptQueue: Pick<AcceptQueueMonitor, "waitMs" | "acceptedWhileBusy" | "abandonedShare">;
    readonly relief: Pick<EntryRelief, "isRequested" | "update">;
}

export function createOverloadGuard(options: OverloadGuardOptions): OverloadGuard {
    const { clock, log, random, utilization, acceptQueue, relief } = options;
    let smoothedUtilization = 0;
    let refusedShare = 0;
    let earlyFlushesUntilMs = Number.NEGATIVE_INFINITY;
    let expectedTickMs = clock.nowMs() + sampleIntervalMs;
    let lastLagMs = 0;
    let overloaded = false;
    let changeSinceMs: number | undefined;
    let cancelTimer = clock.setTimer(sampleIntervalMs, tick);

    // The lag of the current interval counts as soon as it exceeds that of the previous one.
    const lagMs = (): number => Math.max(lastLagMs, clock.nowMs() - expectedTickMs);

    const isLagging = (): boolean => lastLagMs >= heavyCustomerLagMs;
    const isBehind = (): boolean => isLagging() || acceptQueue.waitMs() >= unreadyAcceptWaitMs;

    const maxShare = (): number => relief.isRequested() ? maxReliefRefusedShare : maxRefusedShare;

    const isQueueing = (): boolean => acceptQueue.acceptedWhileBusy() >= minAcceptedWhileBusy;

    function currentRefusedShare(waitMs: number): number {
        const isQueueLong = waitMs >= refuseAcceptWaitMs && isQueueing();
        return Math.min(maxShare(), isQueueLong ? maxRefusedShare : refusedShare);
    }

    function adjustRefusedShare(): void {
        const previousShare = refusedShare;
        if (isLagging() || smoothedUtilization >= highUtilization) {
            refusedShare = Math.min(maxShare(), refusedShare + refusedShareIncrease);
        }
        else if (smoothedUtilization < lowUtilization) {
            refusedShare = Math.max(0, refusedShare - refusedShareDecrease);
        }
        if (previousShare === 0 !== (refusedShare === 0)) {
            log.state(refusedShare > 0 ? "connections-refused" : "connections-admitted", {
                lagMs: Math.round(lastLagMs),
                utilization: smoothedUtilization,
            });
        }
    }

    function tick(): void {
        const nowMs = clock.nowMs();
        lastLagMs = Math.max(0, nowMs - expectedTickMs);
        expectedTickMs = nowMs + sampleIntervalMs;
        cancelTimer = clock.setTimer(sampleIntervalMs, tick);
        smoothedUtilization += utilizationWeight * (utilization() - smoothedUtilization);
        adjustRefusedShare();
        relief.update(refusedShare);
        if (isBehind() === overloaded) {
            changeSinceMs = undefined;
            return;
        }
        changeSinceMs ??= nowMs;
        if (nowMs - changeSinceMs >= stateChangeDelayMs) {
            overloaded = !overloaded;
            changeSinceMs = undefined;
            log.state(overloaded ? "processor-overloaded" : "processor-recovered", {
                lagMs: Math.round(lastLagMs),
                acceptWaitMs: Math.round(acceptQueue.waitMs()),
                utilization: smoothedUtilization,
            });
        }
    }

    return {
        isOverloaded: () => overloaded || relief.isRequested(),
        refusesRequest(relativeUsage) {
            const lag = lagMs();
            return lag >= refuseAllLagMs || (lag >= heavyCustomerLagMs && relativeUsage >= heavyCustomerUsage);
        },
        judgeConnection() {
            const waitMs = acceptQueue.waitMs();
            if (clock.nowMs() < earlyFlushesUntilMs) {
                if (waitMs >= earlyFlushWaitMs) {
                    return "flush";
                }
            }
            else if (waitMs >= readPatienceMs && acceptQueue.abandonedShare() >= maxAbandonedShare) {
                earlyFlushesUntilMs = clock.nowMs() + earlyFlushesMs;
                return "flush";
            }
            if (waitMs >= readPatienceMs && isQueueing()) {
                // The wait is that of the queue as last measured, so the caller may have waited for less and may still wait.
                return "refuse";
            }
            const share = currentRefusedShare(waitMs);
            return share > 0 && random() < share ? "refuse" : "serve";
        },
        refusedShare: () => currentRefusedShare(acceptQueue.waitMs()),
        utilization: () => smoothedUtilization,
        dispose: () => cancelTimer(),
    };
}

/** Returns a function that measures the event loop utilization of this process since its previous call. */
export function createLoopUtilization(): () => number {
    let last = performance.eventLoopUtilization();
    return () => {
        const now = performance.eventLoopUtilization();
        const { utilization } = performance.eventLoopUtilization(now, last);
        last = now;
        return Number.isFinite(utilization) ? utilization : 0;
    };
}
