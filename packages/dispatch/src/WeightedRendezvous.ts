import * as core from "@peridotloft/core";
import { selectByRendezvous } from "./Rendezvous.js";

/**
 * Rendezvous hashing with weights: a candidate is the first one for a share of the keys in proportion to its weight, and a
 * change of one weight moves only keys to or from that candidate. With equal weights the order is that of
 * `selectByRendezvous`.
 */
export function selectByWeightedRendezvous<T>(
    key: string,
    candidates: readonly T[],
    hashOf: (candidate: T) => number,
    weightOf: (candidate: T) => number,
    count: number,
): T[] {
    const [first] = candidates;
    const isUniform = first === undefined
        || candidates.every(candidate => weightOf(candidate) === weightOf(first));
    if (isUniform) {
        return selectByRendezvous(key, candidates, hashOf, count);
    }
    const keyHash = core.hash32(key);
    return candidates
        .map(candidate => ({
            candidate,
            score: weightedScore(core.mixHashes(hashOf(candidate), keyHash), weightOf(candidate)),
        }))
        .sort((left, right) => right.score - left.score)
        .slice(0, count)
        .map(({ candidate }) => candidate);
}

/** The score whose maximum falls to each candidate with a probability in proportion to its weight. */
function weightedScore(hash: number, weight: number): number {
    return -weight / Math.log((hash + 0.5) / 2 ** 32);
}
