import type { EngineOptions } from "./EngineOptions.js";

export interface EngineLoad {
    readonly phase: "cold" | "warm";
    readonly running: number;
    readonly queued: number;
}

/** Batch of an engine: runs requests in the order of their arrival and simulates cold start. */
export interface EngineBatch {
    /** Waits for a slot and returns a function that releases it; returns undefined if a cold engine has none free. */
    acquireSlot(): Promise<((completed: boolean) => void) | undefined>;
    resetToCold(): void;
    load(): EngineLoad;
    maxRunning(): number;
}

export function createEngineBatch(options: EngineOptions): EngineBatch {
    let remainingColdRequests = options.startsCold ? options.coldRequests : 0;
    let running = 0;
    let maxRunning = 0;
    const queue: (() => void)[] = [];

    function releaseSlot(completed: boolean): void {
        running--;
        remainingColdRequests = completed ? Math.max(0, remainingColdRequests - 1) : remainingColdRequests;
        queue.shift()?.();
    }

    return {
        async acquireSlot() {
            if (remainingColdRequests > 0 && running >= options.coldSlots) {
                return undefined;
            }
            if (running >= options.slots) {
                await new Promise<void>(resolve => queue.push(resolve));
            }
            running++;
            maxRunning = Math.max(maxRunning, running);
            return releaseSlot;
        },
        resetToCold: () => void (remainingColdRequests = options.coldRequests),
        load: () => ({ phase: remainingColdRequests > 0 ? "cold" : "warm", running, queued: queue.length }),
        maxRunning: () => maxRunning,
    };
}
