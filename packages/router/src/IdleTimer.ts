import type * as core from "@peridotloft/core";

/** Detects silence between the parts of an answer. */
export interface IdleTimer {
    /** Notes that the next part is awaited from now on. */
    begin(): void;
    /** Notes that it has come. */
    end(): void;
    dispose(): void;
}

/**
 * Calls `onIdle` when a part is awaited for longer than `timeoutMs`.
 *
 * One timer serves many parts: it is set again when it fires, instead of at each part. Setting and clearing a timer
 * for each token was a visible share of the relay's CPU time.
 */
export function createIdleTimer(clock: core.Clock, timeoutMs: number, onIdle: () => void): IdleTimer {
    let awaitedSinceMs: number | undefined;
    let cancel: (() => void) | undefined;

    function check(): void {
        cancel = undefined;
        if (awaitedSinceMs === undefined) {
            return;
        }
        const leftMs = awaitedSinceMs + timeoutMs - clock.nowMs();
        if (leftMs <= 0) {
            onIdle();
            return;
        }
        cancel = clock.setTimer(leftMs, check);
    }

    return {
        begin() {
            awaitedSinceMs = clock.nowMs();
            cancel ??= clock.setTimer(timeoutMs, check);
        },
        end() {
            awaitedSinceMs = undefined;
        },
        dispose() {
            cancel?.();
            cancel = undefined;
            awaitedSinceMs = undefined;
        },
    };
}
