import type { EngineOptions } from "./EngineOptions.js";

export interface EngineLoad {
    readonly phase: "cold" | "warm";
    readonly running: number;
    readonly queued: number;
}

/** The engine's batch: admits requests in the order in which they arrive, and knows cold start. */
export interface EngineBatch {
    /** Waits for a place; returns a function that gives it back, or undefined if the engine is cold and full. */
    enter(): Promise<((completed: boolean) => void) | undefined>;
    fallBackToCold(): void;
    load(): EngineLoad;
    maxRunning(): number;
}

export function createEngineBatch(options: EngineOptions): EngineBatch {
    let coldLeft = options.startsCold ? options.coldRequests : 0;
    let running = 0;
    let maxRunning = 0;
    const waiting: (() => void)[] = [];

    function leave(completed: boolean): void {
        running--;
        coldLeft = completed ? Math.max(0, coldLeft - 1) : coldLeft;
        waiting.shift()?.();
    }

    return {
        async enter() {
            if (coldLeft > 0 && running >= options.coldSlots) {
                return undefined;
            }
            if (running >= options.slots) {
                await new Promise<void>(resolve => waiting.push(resolve));
            }
            running++;
            maxRunning = Math.max(maxRunning, running);
            return leave;
        },
        fallBackToCold: () => void (coldLeft = options.coldRequests),
        load: () => ({ phase: coldLeft > 0 ? "cold" : "warm", running, queued: waiting.length }),
        maxRunning: () => maxRunning,
    };
}
