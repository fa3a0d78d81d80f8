/** By which software version a stream was begun. */
export interface StreamOriginRecord {
    /** Hash of the stream, the same at each VM. */
    readonly streamKey: bigint;
    /** Hash of the pool and of the software version of the upstream that sent the first event. */
    readonly originHash: number;
}

/** Asks a VM for the origin of a stream. */
export interface StreamOriginQuestion {
    readonly streamKey: bigint;
    /** Hashes of the pools that may have begun it. */
    readonly poolHashes: readonly number[];
    /** Time in ms for which the stream may have lasted. */
    readonly ageMs: number;
}

export interface StreamOriginAnswer {
    /** The recorded origin; undefined if none is recorded. */
    readonly recorded: number | undefined;
    /** Origins that upstreams of the pools had within that time, as far as the VM knows. */
    readonly seen: readonly number[];
    /** Whether the VM knows all of them. */
    readonly isComplete: boolean;
}

/** Keeps the origins of streams that other VMs have begun. */
export interface StreamOriginHolder {
    record(records: readonly StreamOriginRecord[]): void;
    answer(question: StreamOriginQuestion): StreamOriginAnswer;
}
