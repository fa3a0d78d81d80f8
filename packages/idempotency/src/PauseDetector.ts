import * as core from "@peridotloft/core";
import * as constants from "./OperationConstants.js";

/** Notices that this process stood still, by a timer that fires late. */
export interface PauseDetector {
    /** Longest time in ms that a request which arrives now may have waited in a socket buffer of this paused process. */
    recentPauseMs(): number;
    dispose(): void;
}

export function createPauseDetector(clock: core.Clock): PauseDetector {
    let lastCheckMs = clock.nowMs();
    let pauseMs = 0;
    let pauseEndedMs = Number.NEGATIVE_INFINITY;
    const check = (): void => {
        const nowMs = clock.nowMs();
        const silenceMs = nowMs - lastCheckMs;
        lastCheckMs = nowMs;
        if (silenceMs >= constants.minPauseMs) {
            pauseMs = silenceMs;
            pauseEndedMs = nowMs;
        }
    };
    const dispose = core.setRepeatingTimer(clock, constants.pauseCheckPeriodMs, check);
    return {
        recentPauseMs() {
            const nowMs = clock.nowMs();
            const silenceMs = nowMs - lastCheckMs;
            const currentMs = silenceMs >= constants.minPauseMs ? silenceMs : 0;
            const drainedMs = nowMs - pauseEndedMs > constants.pauseDrainMs ? 0 : pauseMs + (nowMs - pauseEndedMs);
            return Math.max(currentMs, drainedMs);
        },
        dispose,
    };
}
