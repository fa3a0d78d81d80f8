import type * as core from "@peridotloft/core";
import type { LearnedRate } from "@peridotloft/fleet";

/** Rates of a typical engine of a pool; undefined if too few are known. */
export interface TypicalRate {
    readonly prefillTokensPerMs: number | undefined;
    readonly generationSpeed: number | undefined;
}

/** Share of a pool whose rates must be known, or their number if that is less: fast engines have more responses and are known first. */
const sufficientShare = 2 / 3;
const sufficientRates = 40;
/** Time in ms for which a typical rate is cached. */
const cachedMs = 500;

/**
 * Medians of the rates of the engines of each pool.
 *
 * @param ratesOf the rate of each engine of a pool; undefined if this VM does not know it.
 */
export function createTypicalRates(
    clock: core.Clock,
    ratesOf: (pool: core.PoolId) => readonly (LearnedRate | undefined)[],
): (pool: core.PoolId) => TypicalRate {
    const cached = new Map<core.PoolId, TypicalRate & { readonly atMs: number; }>();
    return pool => {
        const nowMs = clock.nowMs();
        const known = cached.get(pool);
        if (known && nowMs - known.atMs < cachedMs) {
            return known;
        }
        const rates = ratesOf(pool);
        const typical = {
            prefillTokensPerMs: medianOf(rates.map(rate => rate?.prefillTokensPerMs)),
            generationSpeed: medianOf(rates.map(rate => rate?.generationSpeed)),
            atMs: nowMs,
        };
        cached.set(pool, typical);
        return typical;
    };
}

function medianOf(values: readonly (number | undefined)[]): number | undefined {
    const known = values.filter(value => value !== undefined).sort((left, right) => left - right);
    return known.length < Math.min(sufficientRates, values.length * sufficientShare) || known.length < 2
        ? undefined
        : known[Math.floor(known.length / 2)];
}
