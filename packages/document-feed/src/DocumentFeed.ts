import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";

/** The document version that this VM has adopted. */
export interface ActiveDocument {
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
    /** The active document; undefined until enough VMs have confirmed at startup that it is the newest. */
    readonly activeDocument: core.SnapshotCell<ActiveDocument | undefined>;
    isReady(): boolean;
    /** The last rejected document, if any. */
    lastRejected(): RejectedDocument | undefined;
    start(): void;
    dispose(): void;
}
