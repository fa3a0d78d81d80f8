import type * as catalog from "@peridotloft/catalog";
import type * as core from "@peridotloft/core";

/**
 * The time by which a request is answered, from its arrival on and whatever holds it up. It moves out if a newer configuration
 * gives the route more time, but never moves in: a request keeps the time with which it was accepted.
 */
export interface RequestDeadline {
    /** Time in ms on the steady clock. */
    atMs(): number;
    /** Time in ms from the request's arrival until its deadline. */
    timeoutMs(): number;
    /** States the route under which the request is served. */
    setRoute(route: catalog.Route): void;
    cancel(): void;
}

export interface RequestDeadlineOptions {
    readonly clock: core.Clock;
    /** Time in ms on the steady clock. */
    readonly arrivedMs: number;
    /** Time in ms for which the caller waits; undefined if not stated. */
    readonly callerTimeoutMs: number | undefined;
    /** The request's route in the newest configuration; undefined if there is none. */
    readonly currentRoute: () => catalog.Route | undefined;
    /** Time in ms on the steady clock past which the deadline does not move out; infinite unless this VM drains. */
    readonly latestMs: () => number;
    /** Called once, unless the deadline is cancelled before. */
    readonly onPassed: () => void;
}

/** Part of a caller's timeout in ms that is reserved for the transfer of the response. */
const responseTransferMs = 5;
/** Time in ms for a request whose route is not known yet; confirming the configuration takes less. */
const unknownRouteTimeoutMs = 1_000;

export function createRequestDeadline(options: RequestDeadlineOptions): RequestDeadline {
    const { clock, arrivedMs, callerTimeoutMs, currentRoute, latestMs, onPassed } = options;
    let route = currentRoute();
    let routeTimeoutMs = route?.timeoutMs ?? unknownRouteTimeoutMs;
    let passed = false;

    function timeoutMs(): number {
        const current = currentRoute();
        if (current && current.id === route?.id) {
            routeTimeoutMs = Math.max(routeTimeoutMs, Math.min(current.timeoutMs, latestMs() - arrivedMs));
        }
        return Math.min(routeTimeoutMs, (callerTimeoutMs ?? routeTimeoutMs) - responseTransferMs);
    }

    const atMs = (): number => arrivedMs + timeoutMs();

    const startTimer = (): () => void => clock.setTimer(atMs() - clock.nowMs(), onTimer);

    function onTimer(): void {
        if (atMs() > clock.nowMs()) {
            cancelTimer = startTimer();
            return;
        }
        passed = true;
        onPassed();
    }

    let cancelTimer = startTimer();

    return {
        atMs,
        timeoutMs,
        setRoute(next) {
            if (next !== route && !passed) {
                route = next;
                routeTimeoutMs = next.timeoutMs;
                cancelTimer();
                cancelTimer = startTimer();
            }
        },
        cancel: () => cancelTimer(),
    };
}
