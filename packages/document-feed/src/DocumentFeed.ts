import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";

/** The document that this VM has activated. */
export interface DocumentInForce {
    readonly document: documents.FleetDocument;
    /** The JSON text as published; sent to peers unchanged. */
    readonly text: string;
    /** SHA-256 of the text in hex. */
    readonly digest: string;
}

export interface RejectedDocument {
    readonly source: string;
    readonly errors: readonly documents.DocumentError[];
    readonly wallMs: number;
}

/** Follows the published document. The active version never decreases. */
export interface DocumentFeed {
    /** The active document; undefined until startup has found one that enough VMs confirm as the newest. */
    readonly inForce: core.SnapshotCell<DocumentInForce | undefined>;
    isReady(): boolean;
    /** The last rejected document, if any. */
    lastRejected(): RejectedDocument | undefined;
    start(): void;
    dispose(): void;
}
