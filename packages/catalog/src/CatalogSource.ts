import type { Result } from "neverthrow";
import type { Position, PositionedChange } from "./Catalog.js";

/** Why a call to the store failed. */
export interface SourceError {
    /**
     * - `unreachable`: no connection, a connection reset, or a timeout.
     * - `rejected`: the store refused the call without executing it.
     * - `history-lost`: the store no longer has the changes after the position.
     * - `malformed`: the response cannot be parsed.
     * - `outdated`: the response is of an earlier era of the store than one that was received before.
     */
    readonly kind: "unreachable" | "rejected" | "history-lost" | "malformed" | "outdated";
    readonly message: string;
}

/** All published items, read in several pages. Not a consistent snapshot: items may change between pages. */
export interface Listing {
    /** The items include all changes up to this position; later ones may be missing. */
    readonly position: Position;
    readonly items: readonly PositionedChange[];
}

export interface ChangeBatch {
    readonly position: Position;
    readonly changes: readonly PositionedChange[];
}

/** Changes relayed by another VM. */
export interface RelayedBatch extends ChangeBatch {
    /** Age in ms of the other VM's catalog when it replied. */
    readonly ageMs: number;
    /** Whether the changes list all items, so that items that are missing have been removed. */
    readonly complete: boolean;
}

/** Reads the catalog from another VM instead of the store. Never throws or rejects. */
export interface CatalogRelaySource {
    /** Address of the other VM, for log lines. */
    readonly address: string;
    /** Waits up to `waitMs` for changes after `position`; `initialPosition` requests all items. */
    watch(position: Position, waitMs: number, timeoutMs: number): Promise<Result<RelayedBatch, SourceError>>;
}

/** Lists and watches the items in the platform's store. Never throws or rejects. */
export interface CatalogSource {
    list(timeoutMs: number): Promise<Result<Listing, SourceError>>;
    /**
     * Waits up to `waitMs` for changes after `position`; the batch is empty if there are none. A batch of another era than
     * `position` lacks changes.
     */
    watch(position: Position, waitMs: number, timeoutMs: number): Promise<Result<ChangeBatch, SourceError>>;
}
