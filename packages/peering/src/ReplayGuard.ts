import * as constants from "./PeeringConstants.js";

/** Why an authenticated envelope is rejected. */
export type ReplayFault = "old-incarnation" | "replayed";

/** Accepts each counter of a sender's newest incarnation once. */
export interface ReplayGuard {
    /** Records the counter; returns why it must be refused, or undefined when it is new. */
    check(sender: string, incarnation: bigint, counter: bigint): ReplayFault | undefined;
    /** Number of senders remembered. */
    size(): number;
}

interface CounterWindow {
    readonly incarnation: bigint;
    highest: bigint;
    /** Byte `counter % window` is 1 when that counter was seen. */
    readonly seen: Uint8Array;
}

export function createReplayGuard(maxSenders: number = constants.maxSenders): ReplayGuard {
    // Iteration order is the order of the last message, so the first entry is the one silent longest.
    const windows = new Map<string, CounterWindow>();
    return {
        check(sender, incarnation, counter) {
            const known = windows.get(sender);
            if (known && incarnation < known.incarnation) {
                return "old-incarnation";
            }
            const window = known?.incarnation === incarnation ? known : createWindow(incarnation);
            windows.delete(sender);
            windows.set(sender, window);
            forgetOldest(windows, maxSenders);
            return accept(window, counter) ? undefined : "replayed";
        },
        size: () => windows.size,
    };
}

function createWindow(incarnation: bigint): CounterWindow {
    return { incarnation, highest: 0n, seen: new Uint8Array(constants.replayWindow) };
}

function accept(window: CounterWindow, counter: bigint): boolean {
    const size = BigInt(constants.replayWindow);
    if (counter === 0n || counter + size <= window.highest) {
        return false;
    }
    if (counter > window.highest) {
        moveTo(window, counter);
    }
    const index = Number(counter % size);
    if (window.seen[index] === 1) {
        return false;
    }
    window.seen[index] = 1;
    return true;
}

function moveTo(window: CounterWindow, counter: bigint): void {
    const size = BigInt(constants.replayWindow);
    if (counter - window.highest >= size) {
        window.seen.fill(0);
    }
    else {
        for (let passed = window.highest + 1n; passed <= counter; passed++) {
            window.seen[Number(passed % size)] = 0;
        }
    }
    window.highest = counter;
}

function forgetOldest(windows: Map<string, CounterWindow>, maxSenders: number): void {
    const oldest = windows.keys().next().value;
    if (windows.size > maxSenders && oldest !== undefined) {
        windows.delete(oldest);
    }
}
