import type { VmId } from "./Ids.js";

/** What one slice contributes to the gossip messages of this VM. */
export interface GossipSection {
    readonly name: string;
    /**
     * Returns at most `limitBytes` of what peers should learn next; empty when there is nothing to say.
     * A slice with more to say than fits rotates through it over successive calls.
     */
    encode(limitBytes: number): Uint8Array;
    /** An encoding of at most this many bytes carries nothing new, such as an age or a digest; 0 by default. */
    readonly routineBytes?: number;
    /** Merges what a peer sent. Must accept any bytes: malformed ones are ignored and counted. */
    apply(from: VmId, incarnation: number, payload: Uint8Array): void;
}

export interface GossipRegistry {
    /** Adds a section to all later gossip messages; returns a function that removes it. */
    registerSection(section: GossipSection): () => void;
    /** Sends a gossip message at once instead of at the end of the exchange period. */
    requestExchange(): void;
}

export type PeerHealth = "alive" | "suspect" | "unreachable";

/** What this VM knows of another VM. Health is a hint and never the ground of an exclusive right. */
export interface PeerView {
    readonly id: VmId;
    readonly health: PeerHealth;
    /** Start number of the peer's current run; undefined until it was heard. */
    readonly incarnation: number | undefined;
    /** Version of the document that the peer holds; 0 until it was heard. */
    readonly documentVersion: number;
    /** Time on this VM's clock at which the peer was last heard, in ms; undefined until it was heard. */
    readonly lastHeardMs: number | undefined;
}
