import murmurhash from "murmurhash";

/** Mixes all bits of a 32-bit integer (the finalizer of MurmurHash3). */
function mix32(value: number): number {
    let mixed = value;
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** A candidate of rendezvous hashing with its precomputed hash. */
export interface Candidate<T> {
    readonly id: string;
    readonly hash: number;
    readonly value: T;
}

export function createCandidate<T>(id: string, value: T): Candidate<T> {
    return { id, hash: murmurhash.v3(id), value };
}

/** Whether `left` ranks before `right`. Candidates with equal scores rank by id, so that all VMs compute the same order. */
function precedes<T>(left: Candidate<T>, leftScore: number, right: Candidate<T>, rightScore: number): boolean {
    return leftScore > rightScore || (leftScore === rightScore && left.id < right.id);
}

/** Returns the candidate with the highest score for `resource`, or undefined if there are no candidates. */
export function findHighest<T>(resource: string, candidates: readonly Candidate<T>[]): Candidate<T> | undefined {
    const resourceHash = murmurhash.v3(resource);
    let best: Candidate<T> | undefined;
    let bestScore = -1;
    // A plain loop for speed: the search runs for every resource after each change of the VM list.
    for (const candidate of candidates) {
        const score = mix32(resourceHash ^ candidate.hash);
        if (!best || precedes(candidate, score, best, bestScore)) {
            best = candidate;
            bestScore = score;
        }
    }
    return best;
}

/** Returns all candidates by descending score. */
export function rank<T>(resource: string, candidates: readonly Candidate<T>[]): Candidate<T>[] {
    const resourceHash = murmurhash.v3(resource);
    return candidates
        .map(candidate => ({ candidate, score: mix32(resourceHash ^ candidate.hash) }))
        .sort((left, right) => precedes(left.candidate, left.score, right.candidate, right.score) ? -1 : 1)
        .map(({ candidate }) => candidate);
}
