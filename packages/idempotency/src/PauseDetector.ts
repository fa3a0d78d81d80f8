import * as core from "@peridotloft/core";
import * as constants from "./OperationConstants.js";

/** Detects that this process was paused, by a timer that fires late. */
export interface PauseDetector {
    /** Longest time in ms for which a request that is read now may have waited in a socket buffer because of a pause. */
    recentPauseMs(): number;
    dispose(): void;
}

export function createPauseDetector(clock: core.Clock): PauseDetector {
    let lastCheckMs = clock.nowMs();
    let pauseMs = 0;
    let pauseEndedMs = Number.NEGATIVE_INFINITY;
    const check = (): void => {
        const nowMs = clock.nowMs();
        const gapMs = nowMs - lastCheckMs;
        lastCheckMs = nowMs;
        if (gapMs >= constants.minPauseMs) {
            pauseMs = gapMs;
            pauseEndedMs = nowMs;
        }
    };
    const dispose = core.setRepeatingTimer(clock, constants.pauseCheckPeriodMs, check);
    return {
        recentPauseMs() {
            const nowMs = clock.nowMs();
            const gapMs = nowMs - lastCheckMs;
            const ongoingPauseMs = gapMs >= constants.minPauseMs ? gapMs : 0;
            const endedPauseMs = nowMs - pauseEndedMs > constants.pauseDrainMs ? 0 : pauseMs + (nowMs - pauseEndedMs);
            return Math.max(ongoingPauseMs, endedPauseMs);
        },
        dispose,
    };
}
