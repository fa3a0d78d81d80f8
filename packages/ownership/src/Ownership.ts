import type * as core from "@peridotloft/core";

/** This VM's relation to a resource. */
export type Holding =
    /** This VM owns it and may act; its memory of the resource begins at `sinceMs` on this VM's clock. */
    | { readonly kind: "held"; readonly sinceMs: number; }
    /** This VM owns it but may not act before `previousOwner` has confirmed a newer document version. */
    | { readonly kind: "waiting"; readonly previousOwner: core.VmId; }
    /** Another VM owns it. */
    | { readonly kind: "other"; readonly owner: core.VmId; };

/** Says which VM owns a resource such as `bucket/north-depot/0`, `slot/e1/3` or `operation/…`. */
export interface Ownership {
    holdingOf(resource: string): Holding;
    ownerOf(resource: string): core.VmId;
    /** All VMs of the document that are not retired, the owner first. */
    ranking(resource: string): readonly core.VmId[];
    /** Notes that a peer holds this document version, as heard in an authenticated message from the peer itself. */
    notePeerVersion(peer: core.VmId, documentVersion: number): void;
    /** Whether every other VM that is not retired has itself confirmed `documentVersion` or a later one. */
    isConfirmedByAll(documentVersion: number): boolean;
}
