import type * as core from "@peridotloft/core";
import * as constants from "./SchedulingConstants.js";

/** Tracks the usual first-byte delay of each upstream and detects responses that are much slower. */
export interface FirstByteMonitor {
    /**
     * Records a delay in ms and returns whether it indicates a cold start. An upstream without enough samples is compared
     * with the others of its pool.
     */
    recordDelay(upstream: core.UpstreamId, pool: core.PoolId, delayMs: number, isWarm: boolean): boolean;
}

// Weight of a new delay: small enough that a few long prompts do not hide a cold start.
const smoothing = 1 / 16;
// Weight of a slow delay: at 1/16, four slow responses raised the mean so far that a cold start was not detected.
const slowSmoothing = 1 / 500;

interface UsualDelay {
    meanMs: number;
    samples: number;
}

export function createFirstByteMonitor(factor = constants.slowFirstByteFactor): FirstByteMonitor {
    const delaysByUpstream = new Map<core.UpstreamId, UsualDelay>();
    const delaysByPool = new Map<core.PoolId, UsualDelay>();

    const isKnown = (usual: UsualDelay | undefined): usual is UsualDelay =>
        (usual?.samples ?? 0) >= constants.minFirstByteSamples;

    const isSlow = (delayMs: number, { meanMs }: UsualDelay): boolean =>
        delayMs > Math.max(constants.minSlowFirstByteMs, factor * meanMs);

    const updateUsualDelay = <Key>(
        delays: Map<Key, UsualDelay>,
        key: Key,
        delayMs: number,
        isSlowDelay: boolean,
    ): void => {
        const usual = delays.get(key) ?? { meanMs: delayMs, samples: 0 };
        delays.set(key, usual);
        usual.samples++;
        // Slow delays are included with a small weight, so that the mean follows an upstream that stays slower.
        usual.meanMs += (delayMs - usual.meanMs)
            * (isSlowDelay ? slowSmoothing : Math.max(smoothing, 1 / usual.samples));
    };

    return {
        recordDelay(upstream, pool, delayMs, isWarm) {
            const usual = [delaysByUpstream.get(upstream), delaysByPool.get(pool)].find(isKnown);
            const isSlowDelay = usual !== undefined && isSlow(delayMs, usual);
            // Until a usual delay is known, delays of a cold start are not samples of it.
            if (isWarm || usual) {
                updateUsualDelay(delaysByUpstream, upstream, delayMs, isSlowDelay);
                updateUsualDelay(delaysByPool, pool, delayMs, isSlowDelay);
            }
            return isSlowDelay;
        },
    };
}
