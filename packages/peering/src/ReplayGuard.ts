import * as core from "@peridotloft/core";
import * as constants from "./PeeringConstants.js";

/** Reason for which an authentic envelope is rejected. */
export type ReplayFault = "old-incarnation" | "replayed";

/** Replay protection: accepts each counter of a sender's newest incarnation once. */
export interface ReplayGuard {
    /** Records the counter; returns the reason for rejecting it, or undefined if it is new. */
    check(sender: string, incarnation: bigint, counter: bigint): ReplayFault | undefined;
    /** Number of senders with a replay window. */
    size(): number;
}

interface CounterWindow {
    readonly incarnation: bigint;
    highest: bigint;
    /** Byte `counter % window` is 1 if that counter was seen. */
    readonly seen: Uint8Array;
}

export function createReplayGuard(maxSenders: number = constants.maxSenders): ReplayGuard {
    // Entries are in the order of their last message, so the first one is the least recently active.
    const windows = new Map<string, CounterWindow>();
    return {
        check(sender, incarnation, counter) {
            const existing = windows.get(sender);
            if (existing && incarnation < existing.incarnation) {
                return "old-incarnation";
            }
            const window = existing?.incarnation === incarnation ? existing : createWindow(incarnation);
            windows.delete(sender);
            windows.set(sender, window);
            core.evictOldest(windows, maxSenders);
            return acceptCounter(window, counter) ? undefined : "replayed";
        },
        size: () => windows.size,
    };
}

function createWindow(incarnation: bigint): CounterWindow {
    return { incarnation, highest: 0n, seen: new Uint8Array(constants.replayWindow) };
}

function acceptCounter(window: CounterWindow, counter: bigint): boolean {
    const size = BigInt(constants.replayWindow);
    if (counter === 0n || counter + size <= window.highest) {
        return false;
    }
    if (counter > window.highest) {
        advanceTo(window, counter);
    }
    const index = Number(counter % size);
    if (window.seen[index] === 1) {
        return false;
    }
    window.seen[index] = 1;
    return true;
}

function advanceTo(window: CounterWindow, counter: bigint): void {
    const size = BigInt(constants.replayWindow);
    if (counter - window.highest >= size) {
        window.seen.fill(0);
    }
    else {
        for (let cleared = window.highest + 1n; cleared <= counter; cleared++) {
            window.seen[Number(cleared % size)] = 0;
        }
    }
    window.highest = counter;
}
