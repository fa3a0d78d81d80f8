import type { Result } from "neverthrow";
import type { PlacedChange, Position } from "./Catalog.js";

/** Why a call to the store failed. */
export interface SourceError {
    /**
     * - `unreachable`: no connection, a reset, or no answer in time.
     * - `rejected`: the store answered that it did nothing.
     * - `history-lost`: the changes after the position are no longer there.
     * - `malformed`: an answer that cannot be read.
     */
    readonly kind: "unreachable" | "rejected" | "history-lost" | "malformed";
    readonly message: string;
}

/** Everything that is published, read in several pages. It is no snapshot. */
export interface Listing {
    /** Every change after this position may be missing from the items. */
    readonly position: Position;
    readonly items: readonly PlacedChange[];
}

export interface ChangeBatch {
    readonly position: Position;
    readonly changes: readonly PlacedChange[];
}

/** What another VM knows of the store. */
export interface RelayedBatch extends ChangeBatch {
    /** Age in ms of the other VM's knowledge when it answered. */
    readonly ageMs: number;
    /** Whether the changes are all items, and items that are missing are gone. */
    readonly complete: boolean;
}

/** Reads from another VM what that VM learned from the store. Never throws or rejects. */
export interface CatalogRelaySource {
    /** Address of the other VM, for log lines. */
    readonly address: string;
    /** Waits up to `waitMs` for changes after `position`; 0 asks for all items. */
    watch(position: Position, waitMs: number, timeoutMs: number): Promise<Result<RelayedBatch, SourceError>>;
}

/** Reads and watches what the platform publishes. Never throws or rejects. */
export interface CatalogSource {
    list(timeoutMs: number): Promise<Result<Listing, SourceError>>;
    /** Waits up to `waitMs` for changes after `position`; the batch is empty if there were none. */
    watch(position: Position, waitMs: number, timeoutMs: number): Promise<Result<ChangeBatch, SourceError>>;
}
