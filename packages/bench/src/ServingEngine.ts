import type * as core from "@peridotloft/core";
import type * as scheduling from "@peridotloft/scheduling";

export interface EngineRequest {
    readonly workMs: number;
    onFirstByte(delayMs: number): void;
    onEnd(outcome: scheduling.UpstreamOutcome): void;
}

/** Simulated engine that queues requests above its slots, and fails requests above its cold slots during cold start. */
export interface ServingEngine {
    /** Starts a request; returns a function that cancels it. */
    run(request: EngineRequest): () => void;
    /** Enters cold start until it has completed as many requests as it has cold slots. */
    resetToCold(): void;
    /** Number of requests that started above the cold slots during cold start. */
    readonly coldViolations: number;
    /** Integral of the occupied slots over time, in slot ms. */
    busyMs(): number;
}

const firstByteMs = 30;
const coldFirstByteMs = 300;
/** Time in ms after which a request above the cold slots fails. */
const coldFailureMs = 100;
export function createServingEngine(clock: core.Clock, slots: number, coldSlots: number): ServingEngine {
    const waiting = new Set<() => void>();
    let running = 0;
    let remainingColdRequests = coldSlots;
    let coldViolations = 0;
    let busyMs = 0;
    let updatedMs = clock.nowMs();

    const addToRunning = (change: number): void => {
        busyMs += Math.min(running, slots) * (clock.nowMs() - updatedMs);
        updatedMs = clock.nowMs();
        running += change;
    };

    const startNext = (): void => {
        const [next] = waiting;
        if (next && running < slots) {
            waiting.delete(next);
            next();
        }
    };

    return {
        run({ workMs, onFirstByte, onEnd }) {
            const receivedMs = clock.nowMs();
            const cancels: (() => void)[] = [];
            let isFinished = false;
            let isRunning = false;
            const finish = (): boolean => {
                if (isFinished) {
                    return false;
                }
                isFinished = true;
                cancels.forEach(cancel => cancel());
                waiting.delete(start);
                if (isRunning) {
                    addToRunning(-1);
                    startNext();
                }
                return true;
            };
            const start = (): void => {
                const isCold = remainingColdRequests > 0;
                const isExcess = isCold && running >= coldSlots;
                isRunning = true;
                addToRunning(1);
                if (isExcess) {
                    coldViolations++;
                    cancels.push(clock.setTimer(coldFailureMs, () => finish() && onEnd("broken")));
                    return;
                }
                const delayMs = isCold ? coldFirstByteMs : firstByteMs;
                cancels.push(clock.setTimer(delayMs, () => onFirstByte(clock.nowMs() - receivedMs)));
                cancels.push(clock.setTimer(delayMs + workMs, () => {
                    remainingColdRequests--;
                    if (finish()) {
                        onEnd("completed");
                    }
                }));
            };
            waiting.add(start);
            startNext();
            return finish;
        },
        resetToCold() {
            remainingColdRequests = coldSlots;
        },
        get coldViolations() {
            return coldViolations;
        },
        busyMs() {
            addToRunning(0);
            return busyMs;
        },
    };
}
