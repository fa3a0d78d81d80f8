import type { StatedLimit } from "@peridotloft/fleet";
import { createTokenBucket, type TokenBucket } from "./TokenBucket.js";

/** The limit that one upstream states in its responses, and the requests that it permits. */
export interface LimitState {
    /** The most recent limit, or that there is none any more; undefined if none was stated recently. */
    current(nowMs: number): StatedLimit | undefined;
    /** Adopts a limit if it is more recent than the current one. Returns whether the rate has changed. */
    adopt(limit: StatedLimit | undefined, nowMs: number): boolean;
    /** Whether a limit is in force. */
    isLimited(): boolean;
    /** Takes a permit for one request; false if the limit does not permit it. Always true without a limit. */
    tryTake(nowMs: number): boolean;
}

/** Part of a limit, in ms of its rate, that may be used at once. */
const burstMs = 250;
/** Minimum rate in requests per second: only a response shows that an upstream has lifted its limit. */
const minRatePerS = 0.2;
/** Time in ms for which the end of a limit is remembered, so that older information does not restore the limit. */
const endLifetimeMs = 10_000;

/** @param share of the limit that this state permits: 1 for the requests of all VMs. */
export function createLimitState(share: () => number): LimitState {
    let current: StatedLimit | undefined;
    let bucket: TokenBucket | undefined;

    const createBucket = (limitPerS: number, nowMs: number): TokenBucket => {
        const ratePerS = (): number => Math.max(limitPerS, minRatePerS) * share();
        return createTokenBucket(ratePerS, 1 + (ratePerS() * burstMs) / 1_000, nowMs);
    };

    return {
        current(nowMs) {
            if (current && current.limitPerS === undefined && nowMs - current.atMs > endLifetimeMs) {
                current = undefined;
            }
            return current;
        },
        adopt(limit, nowMs) {
            if (!limit || (current && current.atMs >= limit.atMs)) {
                return false;
            }
            const isChanged = current?.limitPerS !== limit.limitPerS;
            // Without a known limit there is no need to remember that responses state none.
            current = current || limit.limitPerS !== undefined ? limit : undefined;
            if (isChanged) {
                bucket = limit.limitPerS === undefined ? undefined : createBucket(limit.limitPerS, nowMs);
            }
            return isChanged;
        },
        isLimited: () => bucket !== undefined,
        tryTake: nowMs => bucket?.tryTake(nowMs) ?? true,
    };
}
