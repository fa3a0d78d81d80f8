import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";

/** A document that this VM has adopted. */
export interface DocumentInForce {
    readonly document: documents.FleetDocument;
    /** The JSON text as published, which peers receive unchanged. */
    readonly text: string;
    readonly digest: string;
}

export interface RejectedDocument {
    readonly source: string;
    readonly errors: readonly documents.DocumentError[];
    readonly wallMs: number;
}

/** Follows the published document. The version in force only grows. */
export interface DocumentFeed {
    /** The document in force; undefined until this VM holds one that it may trust. */
    readonly inForce: core.SnapshotCell<DocumentInForce | undefined>;
    isReady(): boolean;
    /** The last document that was refused, if any. */
    lastRejected(): RejectedDocument | undefined;
    start(): void;
    dispose(): void;
}
