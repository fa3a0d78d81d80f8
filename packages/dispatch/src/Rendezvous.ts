import * as core from "@peridotloft/core";

/** Orders candidates by a hash of the key and their id: each VM finds the same order without messages. */
export function rankByRendezvous<T>(key: string, candidates: readonly T[], idOf: (candidate: T) => string): T[] {
    const keyHash = core.hash32(key);
    return candidates
        .map(candidate => ({ candidate, score: core.hash32(idOf(candidate), keyHash) }))
        .sort((left, right) => right.score - left.score)
        .map(({ candidate }) => candidate);
}
