import type * as core from "@peridotloft/core";

/** Load of one upstream that other VMs caused. */
export interface PeerLoad {
    readonly running: number;
    readonly unreadTokens: number;
}

/** What a VM knows of the other VMs. Everything in it is a hint. */
export interface FleetView {
    /** VMs that are alive, this one included. */
    vmCount(): number;
    loadOf(upstream: core.UpstreamId): PeerLoad;
}

/** The view of a VM that hears of no other. */
export const lonelyView: FleetView = { vmCount: () => 1, loadOf: () => ({ running: 0, unreadTokens: 0 }) };
