import type * as core from "@peridotloft/core";

/** State of a resource from the view of this VM. */
export type Holding =
    /** This VM owns the resource and may act on it. Its state of the resource begins at `sinceMs` on this VM's clock. */
    | { readonly kind: "held"; readonly sinceMs: number; }
    /** This VM owns the resource but may not act on it before `previousOwner` has confirmed a newer document version. */
    | { readonly kind: "waiting"; readonly previousOwner: core.VmId; }
    /** Another VM owns the resource. */
    | { readonly kind: "other"; readonly owner: core.VmId; };

/** Determines which VM owns a resource such as `bucket/north-depot/0`, `slot/e1/3` or `operation/…`. */
export interface Ownership {
    holdingOf(resource: string): Holding;
    ownerOf(resource: string): core.VmId;
    /** All VMs of the document that are not retired in the order of rendezvous hashing, the owner first. */
    ranking(resource: string): readonly core.VmId[];
    /** Records that a peer holds this document version, as received in an authenticated message from the peer itself. */
    recordPeerVersion(peer: core.VmId, documentVersion: number): void;
    /** Whether every other VM that is not retired has itself confirmed `documentVersion` or a later one. */
    isConfirmedByAll(documentVersion: number): boolean;
}
