const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** A 32-bit hash of a text, the same in every process. Not for untrusted input, which could be chosen to collide. */
export function hash32(text: string, seed: number = fnvOffset): number {
    return finalize(addText(seed, text));
}

/** The hash of a text that is followed by bytes, which count as the characters U+0000 to U+00FF. */
export function hash32Bytes(text: string, bytes: Uint8Array): number {
    let hash = addText(fnvOffset, text);
    for (const byte of bytes) {
        hash = Math.imul(hash ^ byte, fnvPrime);
    }
    return finalize(hash);
}

function addText(seed: number, text: string): number {
    let hash = seed;
    for (let i = 0; i < text.length; i++) {
        hash = Math.imul(hash ^ text.charCodeAt(i), fnvPrime);
    }
    return hash;
}

function finalize(sum: number): number {
    let hash = sum;
    // Finalizer of MurmurHash3: with FNV-1a alone, the hashes of similar texts are correlated in their order.
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}

/** A 32-bit hash of two hashes, the same in every process. Cheaper than hashing a text; used to rank many candidates. */
export function mixHashes(left: number, right: number): number {
    let hash = Math.imul(left ^ (left >>> 16), 0x85ebca6b) ^ Math.imul(right ^ (right >>> 15), 0xc2b2ae35);
    hash = Math.imul(hash ^ (hash >>> 13), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 16), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
