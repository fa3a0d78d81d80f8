import type * as core from "@peridotloft/core";
import * as constants from "./MembershipConstants.js";

export interface ExchangeTimerOptions {
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly periodMs: () => number;
    /** Sends a heartbeat; `urgent` if it was requested. */
    readonly exchange: (urgent: boolean) => void;
}

/** Calls `exchange` once per period, and immediately on request with a minimum gap between calls. */
export interface ExchangeTimer {
    request(): void;
    /** Starts the timer; returns a function that stops it. */
    start(): () => void;
}

export function createExchangeTimer({ clock, random, periodMs, exchange }: ExchangeTimerOptions): ExchangeTimer {
    let running = false;
    let lastMs = Number.NEGATIVE_INFINITY;
    let cancelPeriod = (): void => undefined;
    let cancelRequest: (() => void) | undefined;

    const runExchange = (urgent: boolean): void => {
        lastMs = clock.nowMs();
        exchange(urgent);
    };
    const tick = (): void => {
        cancelPeriod = clock.setTimer(periodMs(), tick);
        if (clock.nowMs() - lastMs >= constants.minExchangeGapMs) {
            runExchange(false);
        }
    };
    const runRequest = (): void => {
        cancelRequest = undefined;
        runExchange(true);
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
            // Jitter in the first delay keeps VMs that start together from sending simultaneously.
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
