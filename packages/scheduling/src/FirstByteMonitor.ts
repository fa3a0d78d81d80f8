import type * as core from "@peridotloft/core";
import * as constants from "./SchedulingConstants.js";

/** Learns the usual first-byte delay of each upstream and recognises answers that are much later. */
export interface FirstByteMonitor {
    /** Notes a delay in ms; true when it shows a cold start. */
    note(upstream: core.UpstreamId, delayMs: number, isWarm: boolean): boolean;
}

// New delays count for 1/16, so that a few long prompts do not hide a cold start.
const smoothing = 1 / 16;

export function createFirstByteMonitor(factor = constants.slowFirstByteFactor): FirstByteMonitor {
    const usual = new Map<core.UpstreamId, { meanMs: number; samples: number; }>();
    return {
        note(upstream, delayMs, isWarm) {
            const entry = usual.get(upstream);
            if (!entry) {
                // Delays during a cold start say nothing about the usual ones.
                if (isWarm) {
                    usual.set(upstream, { meanMs: delayMs, samples: 1 });
                }
                return false;
            }
            const limitMs = Math.max(constants.slowFirstByteFloorMs, factor * entry.meanMs);
            const isSlow = entry.samples >= constants.firstByteSamples && delayMs > limitMs;
            entry.samples++;
            // Slow delays count too: an upstream that has become slower for good is recognised as usual in the end.
            entry.meanMs += (delayMs - entry.meanMs) * Math.max(smoothing, 1 / entry.samples);
            return isSlow;
        },
    };
}
