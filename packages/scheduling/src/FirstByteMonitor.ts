import type * as core from "@peridotloft/core";
import * as constants from "./SchedulingConstants.js";

/** Learns the usual first-byte delay of each upstream and recognises answers that are much later. */
export interface FirstByteMonitor {
    /** Notes a delay in ms; true when it shows a cold start. A new upstream is compared with others of its pool. */
    note(upstream: core.UpstreamId, pool: core.PoolId, delayMs: number, isWarm: boolean): boolean;
}

// New delays count for 1/16, so that a few long prompts do not hide a cold start.
const smoothing = 1 / 16;
// Slow delays count for 1/500: at 1/16, four answers of a cold start sufficed to make it look usual.
const slowSmoothing = 1 / 500;

interface Usual {
    meanMs: number;
    samples: number;
}

export function createFirstByteMonitor(factor = constants.slowFirstByteFactor): FirstByteMonitor {
    const ofUpstream = new Map<core.UpstreamId, Usual>();
    const ofPool = new Map<core.PoolId, Usual>();

    const isKnown = (usual: Usual | undefined): usual is Usual => (usual?.samples ?? 0) >= constants.firstByteSamples;

    const isSlow = (delayMs: number, { meanMs }: Usual): boolean =>
        delayMs > Math.max(constants.slowFirstByteFloorMs, factor * meanMs);

    const learn = <Key>(usuals: Map<Key, Usual>, key: Key, delayMs: number, slow: boolean): void => {
        const usual = usuals.get(key) ?? { meanMs: delayMs, samples: 0 };
        usuals.set(key, usual);
        usual.samples++;
        // Slow delays count too: an upstream that has become slower for good is recognised as usual in the end.
        usual.meanMs += (delayMs - usual.meanMs) * (slow ? slowSmoothing : Math.max(smoothing, 1 / usual.samples));
    };

    return {
        note(upstream, pool, delayMs, isWarm) {
            const usual = [ofUpstream.get(upstream), ofPool.get(pool)].find(isKnown);
            const slow = usual !== undefined && isSlow(delayMs, usual);
            // Before anything is known, delays during a cold start say nothing about the usual ones.
            if (isWarm || usual) {
                learn(ofUpstream, upstream, delayMs, slow);
                learn(ofPool, pool, delayMs, slow);
            }
            return slow;
        },
    };
}
