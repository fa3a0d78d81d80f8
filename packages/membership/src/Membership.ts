import type * as core from "@peridotloft/core";

/** Knows the other VMs of the document and exchanges gossip with them. */
export interface Membership extends core.GossipRegistry {
    peers(): readonly core.PeerView[];
    /** Calls `listener` for every message heard from a peer itself; returns a function that removes it. */
    registerPeerListener(listener: (peer: core.PeerView) => void): () => void;
    /** Sets the document version and digest that the heartbeats of this VM carry. */
    setDocument(version: number, digest: string): void;
    start(): void;
    dispose(): void;
}
