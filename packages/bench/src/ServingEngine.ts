import type * as core from "@peridotloft/core";
import type * as scheduling from "@peridotloft/scheduling";

export interface EngineRequest {
    readonly workMs: number;
    onFirstByte(delayMs: number): void;
    onEnd(outcome: scheduling.UpstreamOutcome): void;
}

/** A model engine that queues what exceeds its slots, and breaks off what exceeds its cold limit while it is cold. */
export interface ServingEngine {
    /** Starts a request; returns a function that cancels it. */
    run(request: EngineRequest): () => void;
    /** Becomes cold until it has completed as many requests as it has cold slots. */
    coldStart(): void;
    readonly coldViolations: number;
    /** Integral of the occupied slots over time, in slot ms. */
    busyMs(): number;
}

const firstByteMs = 30;
const coldFirstByteMs = 300;
/** A cold engine that gets too much fails a request after this time. */
const failureMs = 100;
export function createServingEngine(clock: core.Clock, slots: number, coldSlots: number): ServingEngine {
    const waiting = new Set<() => void>();
    let running = 0;
    let leftUntilWarm = coldSlots;
    let coldViolations = 0;
    let busyMs = 0;
    let countedMs = clock.nowMs();

    const count = (change: number): void => {
        busyMs += Math.min(running, slots) * (clock.nowMs() - countedMs);
        countedMs = clock.nowMs();
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
            const askedMs = clock.nowMs();
            const cancels: (() => void)[] = [];
            let isDone = false;
            let isRunning = false;
            const finish = (): boolean => {
                if (isDone) {
                    return false;
                }
                isDone = true;
                cancels.forEach(cancel => cancel());
                waiting.delete(start);
                if (isRunning) {
                    count(-1);
                    startNext();
                }
                return true;
            };
            const start = (): void => {
                const isCold = leftUntilWarm > 0;
                const isExcess = isCold && running >= coldSlots;
                isRunning = true;
                count(1);
                if (isExcess) {
                    coldViolations++;
                    cancels.push(clock.setTimer(failureMs, () => finish() && onEnd("broken")));
                    return;
                }
                const delayMs = isCold ? coldFirstByteMs : firstByteMs;
                cancels.push(clock.setTimer(delayMs, () => onFirstByte(clock.nowMs() - askedMs)));
                cancels.push(clock.setTimer(delayMs + workMs, () => {
                    leftUntilWarm--;
                    if (finish()) {
                        onEnd("completed");
                    }
                }));
            };
            waiting.add(start);
            startNext();
            return finish;
        },
        coldStart() {
            leftUntilWarm = coldSlots;
        },
        get coldViolations() {
            return coldViolations;
        },
        busyMs() {
            count(0);
            return busyMs;
        },
    };
}
