import type * as core from "@peridotloft/core";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A pseudorandom number generator whose sequence is determined by the seed. */
export function createSeededRandom(seed: number): core.Random {
    const generator = xoroshiro128plus(seed);
    return () => uniformFloat64(generator);
}
