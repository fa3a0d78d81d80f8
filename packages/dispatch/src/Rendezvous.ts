/** Orders candidates by a hash of the key and their id: each VM finds the same order without messages. */
export function rankByRendezvous<T>(key: string, candidates: readonly T[], idOf: (candidate: T) => string): T[] {
    const keyHash = hashText(key, fnvOffset);
    return candidates
        .map(candidate => ({ candidate, score: mix(hashText(idOf(candidate), keyHash)) }))
        .sort((left, right) => right.score - left.score)
        .map(({ candidate }) => candidate);
}

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

function hashText(text: string, seed: number): number {
    let hash = seed;
    for (let i = 0; i < text.length; i++) {
        hash = Math.imul(hash ^ text.charCodeAt(i), fnvPrime);
    }
    return hash >>> 0;
}

/** Finalizer of MurmurHash3: FNV alone leaves the order of similar ids correlated. */
function mix(value: number): number {
    let hash = value;
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
