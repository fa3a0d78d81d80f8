import type * as core from "@peridotloft/core";

/** Detects gaps between the chunks of a response that exceed a timeout. */
export interface IdleTimer {
    /** Starts waiting for the next chunk. */
    startWaiting(): void;
    /** Ends the wait when the chunk has arrived. */
    stopWaiting(): void;
    dispose(): void;
}

/**
 * Calls `onIdle` when the wait for a chunk exceeds `timeoutMs`.
 *
 * One timer serves many chunks: it is re-armed when it fires, not for each chunk. Setting and clearing a timer per token
 * took a visible share of the relay's CPU time.
 */
export function createIdleTimer(clock: core.Clock, timeoutMs: number, onIdle: () => void): IdleTimer {
    let waitingSinceMs: number | undefined;
    let cancel: (() => void) | undefined;

    function check(): void {
        cancel = undefined;
        if (waitingSinceMs === undefined) {
            return;
        }
        const leftMs = waitingSinceMs + timeoutMs - clock.nowMs();
        if (leftMs <= 0) {
            onIdle();
            return;
        }
        cancel = clock.setTimer(leftMs, check);
    }

    return {
        startWaiting() {
            waitingSinceMs = clock.nowMs();
            cancel ??= clock.setTimer(timeoutMs, check);
        },
        stopWaiting() {
            waitingSinceMs = undefined;
        },
        dispose() {
            cancel?.();
            cancel = undefined;
            waitingSinceMs = undefined;
        },
    };
}
