import type { CrashMark } from "./PoisonGuard.js";

/** A request that a VM sent to an upstream, as other VMs hear of it. Ids are 32-bit hashes. */
export interface Placement {
    readonly upstreamHash: number;
    /** Prompt tokens that the upstream has to read. */
    readonly newTokens: number;
    /** 0 for requests without a prompt. */
    readonly sessionHash: number;
    /** 0 on open routes. */
    readonly customerHash: number;
    /** Cost in tokens. */
    readonly cost: number;
}

/** The other VMs as the dispatcher needs them. Everything heard is a hint. */
export interface FleetView {
    /** VMs that are alive, this one included. */
    vmCount(): number;
    announce(placement: Placement): void;
    /** Tells all other VMs of a request that ran at an upstream when it crashed. */
    announceCrash(mark: CrashMark): void;
    /** Calls `listener` for each crash mark of another VM; returns a function that removes it. */
    registerCrashListener(listener: (mark: CrashMark) => void): () => void;
    /** Calls `listener` for each placement of another VM that is heard; it stands for `weight` placements. */
    registerListener(listener: (placement: Placement, weight: number) => void): () => void;
}

/** The view of a VM that hears of no other. */
export const lonelyView: FleetView = {
    vmCount: () => 1,
    announce: () => undefined,
    announceCrash: () => undefined,
    registerCrashListener: () => () => undefined,
    registerListener: () => () => undefined,
};
