import type * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";

/** Tells when this process gets less processor time than its callers ask for. */
export interface OverloadGuard {
    /** Time in ms by which the event loop is behind. */
    lagMs(): number;
    /** Whether new callers are better served by other VMs. */
    isOverloaded(): boolean;
    /**
     * Whether a request is refused for lack of processor time. Large users are refused first.
     *
     * @param relativeUsage usage of the customer as a part of that of the largest one, 0 to 1.
     */
    refuses(relativeUsage: number): boolean;
    dispose(): void;
}

/** Period in ms of the timer whose delay shows the lag. */
const periodMs = 50;
/** Lag in ms from which large users are refused: the objectives leave about that much for the way through a VM. */
const largeUserLagMs = 100;
/** Usage from which a customer counts as a large user. */
const largeUsage = 0.5;
/** Lag in ms from which all are refused: callers would leave before their requests are sent on. */
const refuseAllLagMs = 300;
/** Time in ms for which the lag must last before the VM asks for no new callers, and be gone before it does again. */
const settleMs = 700;

export function createOverloadGuard(clock: core.Clock, log: telemetry.EventLog): OverloadGuard {
    let expectedMs = clock.nowMs() + periodMs;
    let recentMs = 0;
    let overloaded = false;
    let changingSinceMs: number | undefined;
    let stop = clock.setTimer(periodMs, tick);

    // The lag of the period that runs now counts as soon as it is longer than the last one.
    const lagMs = (): number => Math.max(recentMs, clock.nowMs() - expectedMs);

    function tick(): void {
        const nowMs = clock.nowMs();
        recentMs = Math.max(0, nowMs - expectedMs);
        expectedMs = nowMs + periodMs;
        stop = clock.setTimer(periodMs, tick);
        const isBehind = recentMs >= largeUserLagMs;
        if (isBehind === overloaded) {
            changingSinceMs = undefined;
            return;
        }
        changingSinceMs ??= nowMs;
        if (nowMs - changingSinceMs >= settleMs) {
            overloaded = isBehind;
            changingSinceMs = undefined;
            log.state(overloaded ? "processor-overloaded" : "processor-recovered", { lagMs: Math.round(recentMs) });
        }
    }

    return {
        lagMs,
        isOverloaded: () => overloaded,
        refuses(relativeUsage) {
            const lag = lagMs();
            return lag >= refuseAllLagMs || (lag >= largeUserLagMs && relativeUsage >= largeUsage);
        },
        dispose: () => stop(),
    };
}
