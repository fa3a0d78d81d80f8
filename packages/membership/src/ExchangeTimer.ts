import type * as core from "@peridotloft/core";
import * as constants from "./MembershipConstants.js";

export interface ExchangeTimerOptions {
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly periodMs: () => number;
    /** Sends a heartbeat; `urgent` when it was asked for. */
    readonly exchange: (urgent: boolean) => void;
}

/** Calls `exchange` once per period, and at once on request but not more often than the smallest gap. */
export interface ExchangeTimer {
    request(): void;
    /** Starts the periods; returns a function that stops them. */
    start(): () => void;
}

export function createExchangeTimer({ clock, random, periodMs, exchange }: ExchangeTimerOptions): ExchangeTimer {
    let running = false;
    let lastMs = Number.NEGATIVE_INFINITY;
    let cancelPeriod = (): void => undefined;
    let cancelRequest: (() => void) | undefined;

    const run = (urgent: boolean): void => {
        lastMs = clock.nowMs();
        exchange(urgent);
    };
    const tick = (): void => {
        cancelPeriod = clock.setTimer(periodMs(), tick);
        if (clock.nowMs() - lastMs >= constants.minExchangeGapMs) {
            run(false);
        }
    };
    const runRequest = (): void => {
        cancelRequest = undefined;
        run(true);
    };
    return {
        request() {
            if (running && !cancelRequest) {
                const waitMs = Math.max(0, lastMs + constants.minExchangeGapMs - clock.nowMs());
                cancelRequest = clock.setTimer(waitMs, runRequest);
            }
        },
        start() {
            running = true;
            // A random first delay keeps VMs that started together from sending together.
            cancelPeriod = clock.setTimer(random() * periodMs(), tick);
            return () => {
                running = false;
                cancelPeriod();
                cancelRequest?.();
                cancelRequest = undefined;
            };
        },
    };
}
