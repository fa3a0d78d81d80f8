import type * as core from "@peridotloft/core";
import * as constants from "./PeeringConstants.js";

/** Finds out whether a connection has become silent. */
export interface ConnectionLiveness {
    /** Notes that a call begins; returns a function that notes its end. */
    noteCall(): () => void;
    /** Notes that bytes arrived. */
    noteHeard(): void;
    /** Notes that a call sent at `sentMs` had no answer in time. */
    noteTimeout(sentMs: number): void;
    dispose(): void;
}

export interface ConnectionLivenessOptions {
    readonly clock: core.Clock;
    /** Sends a ping and calls `onAnswer` when it is answered. */
    readonly ping: (onAnswer: () => void) => void;
    /** Called once, when a ping was not answered in time. */
    readonly onDead: () => void;
}

/**
 * Pings a connection that carries calls, or did so lately, after {@link constants.pingAfterIdleMs} without a byte. One
 * that is used again after a longer rest is pinged together with its first call, so that resting connections cost
 * nothing in a large fleet.
 */
export function createConnectionLiveness(options: ConnectionLivenessOptions): ConnectionLiveness {
    const { clock } = options;
    let calls = 0;
    let disposed = false;
    let pinging = false;
    let lastHeardMs = clock.nowMs();
    let lastUsedMs = lastHeardMs;
    let cancelCheck: (() => void) | undefined;
    let cancelPing = (): void => undefined;

    const idleMs = (): number => clock.nowMs() - lastHeardMs;
    const isInUse = (): boolean => calls > 0 || clock.nowMs() - lastUsedMs < constants.pingAfterUseMs;

    const scheduleCheck = (): void => {
        if (disposed || cancelCheck || !isInUse()) {
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
        if (disposed || pinging) {
            return;
        }
        pinging = true;
        cancelPing = clock.setTimer(constants.pingTimeoutMs, () => {
            dispose();
            options.onDead();
        });
        options.ping(() => {
            cancelPing();
            pinging = false;
            lastHeardMs = clock.nowMs();
            scheduleCheck();
        });
    };
    const dispose = (): void => {
        disposed = true;
        cancelCheck?.();
        cancelPing();
    };

    return {
        noteCall() {
            calls++;
            lastUsedMs = clock.nowMs();
            check();
            return () => {
                calls--;
            };
        },
        noteHeard() {
            lastHeardMs = clock.nowMs();
        },
        noteTimeout(sentMs) {
            if (lastHeardMs < sentMs) {
                sendPing();
            }
        },
        dispose,
    };
}
