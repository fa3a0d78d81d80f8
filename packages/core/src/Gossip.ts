import type { VmId } from "./Ids.js";

/** The section of one component in the gossip messages of this VM. */
export interface GossipSection {
    readonly name: string;
    /**
     * Returns at most `limitBytes` of state to send next; empty if there is none.
     * A component whose state exceeds the limit sends a different part of it on each call, in rotation.
     */
    encode(limitBytes: number): Uint8Array;
    /** An encoding of at most this size is routine state without anything new, such as an age or a digest; 0 by default. */
    readonly routineBytes?: number;
    /** Merges the state that a peer sent. Must accept any bytes: malformed ones are ignored and counted. */
    apply(from: VmId, incarnation: number, payload: Uint8Array): void;
}

export interface GossipRegistry {
    /** Adds a section to all later gossip messages; returns a function that removes it. */
    registerSection(section: GossipSection): () => void;
    /** Sends a gossip message immediately instead of at the end of the exchange period. */
    requestExchange(): void;
}

export type PeerHealth = "alive" | "suspect" | "unreachable";

/** State of another VM as known to this VM. Health is a hint and never the basis of an exclusive right. */
export interface PeerView {
    readonly id: VmId;
    readonly health: PeerHealth;
    /** Identifies the peer's current run and increases with each start; undefined until a message of the peer arrives. */
    readonly incarnation: number | undefined;
    /** Version of the peer's active document; 0 until a message of the peer arrives. */
    readonly documentVersion: number;
    /** Time in ms on this VM's clock at which the last message of the peer arrived; undefined until then. */
    readonly lastHeardMs: number | undefined;
}
