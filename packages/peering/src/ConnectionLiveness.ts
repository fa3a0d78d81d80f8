import type * as core from "@peridotloft/core";
import * as constants from "./PeeringConstants.js";

/** Detects unresponsive connections by pings. */
export interface ConnectionLiveness {
    /** Records the start of a call; returns a function that records its end. */
    recordCall(): () => void;
    /** Records that bytes were received. */
    recordActivity(): void;
    /** Records that a call sent at `sentMs` timed out. */
    recordTimeout(sentMs: number): void;
    dispose(): void;
}

export interface ConnectionLivenessOptions {
    readonly clock: core.Clock;
    /** Sends a ping and calls `onPong` when it is acknowledged. */
    readonly ping: (onPong: () => void) => void;
    /** Called once, when a ping is not acknowledged in time. */
    readonly onUnresponsive: () => void;
}

/**
 * Pings a connection with current or recent calls after {@link constants.pingAfterIdleMs} without a received byte. A
 * connection without recent calls is pinged only together with its next call, so that idle connections cause no traffic
 * in a large fleet.
 */
export function createConnectionLiveness(options: ConnectionLivenessOptions): ConnectionLiveness {
    const { clock } = options;
    let activeCalls = 0;
    let disposed = false;
    let isPingPending = false;
    let lastActivityMs = clock.nowMs();
    let lastCallMs = lastActivityMs;
    let cancelCheck: (() => void) | undefined;
    let cancelPing = (): void => undefined;

    const idleMs = (): number => clock.nowMs() - lastActivityMs;
    const isActive = (): boolean => activeCalls > 0 || clock.nowMs() - lastCallMs < constants.pingIdleLimitMs;

    const scheduleCheck = (): void => {
        if (disposed || cancelCheck || !isActive()) {
            return;
        }
        cancelCheck = clock.setTimer(Math.max(1, constants.pingAfterIdleMs - idleMs()), () => {
            cancelCheck = undefined;
            check();
        });
    };
    const check = (): void => {
        if (idleMs() >= constants.pingAfterIdleMs) {
            sendPing();
        }
        else {
            scheduleCheck();
        }
    };
    const sendPing = (): void => {
        if (disposed || isPingPending) {
            return;
        }
        isPingPending = true;
        cancelPing = clock.setTimer(constants.pingTimeoutMs, () => {
            dispose();
            options.onUnresponsive();
        });
        options.ping(() => {
            cancelPing();
            isPingPending = false;
            lastActivityMs = clock.nowMs();
            scheduleCheck();
        });
    };
    const dispose = (): void => {
        disposed = true;
        cancelCheck?.();
        cancelPing();
    };

    return {
        recordCall() {
            activeCalls++;
            lastCallMs = clock.nowMs();
            check();
            return () => {
                activeCalls--;
            };
        },
        recordActivity() {
            lastActivityMs = clock.nowMs();
        },
        recordTimeout(sentMs) {
            if (lastActivityMs < sentMs) {
                sendPing();
            }
        },
        dispose,
    };
}
