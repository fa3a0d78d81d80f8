import * as core from "@peridotloft/core";

/**
 * Rendezvous hashing: returns the `count` candidates with the highest score for the key, highest first. Every VM finds
 * the same ones without messages. Takes time linear in the number of candidates.
 */
export function selectByRendezvous<T>(
    key: string,
    candidates: readonly T[],
    hashOf: (candidate: T) => number,
    count: number,
): T[] {
    const keyHash = core.hash32(key);
    const best: { candidate: T; score: number; }[] = [];
    for (const candidate of candidates) {
        const score = core.mixHashes(hashOf(candidate), keyHash);
        if (best.length < count || score > (best.at(-1)?.score ?? 0)) {
            const index = best.findIndex(entry => entry.score < score);
            best.splice(index < 0 ? best.length : index, 0, { candidate, score });
            best.splice(count);
        }
    }
    return best.map(({ candidate }) => candidate);
}
