import type * as core from "@peridotloft/core";

export interface FakeEngineOptions {
    readonly clock: core.Clock;
    readonly coldSlots: number;
    /** Completed requests after which a cold engine is warm; the number of cold slots by default. */
    readonly requestsUntilWarm?: number;
    readonly warmFirstByteMs?: number;
    readonly coldFirstByteMs?: number;
}

export interface EngineRun {
    /** Ends the request early, without calling `onEnd`. */
    cancel(): void;
}

export interface EngineCallbacks {
    onFirstByte(delayMs: number): void;
    onEnd(): void;
}

/** A model engine that counts what it is asked to run. While cold it answers late. */
export interface FakeEngine {
    run(workMs: number, callbacks: EngineCallbacks): EngineRun;
    /** Loses its warm state without saying so, until `requests` more have ended. Requests in flight continue. */
    coldStart(requests?: number): void;
    readonly isCold: boolean;
    readonly inFlight: number;
    readonly maxInFlight: number;
    /** Times in ms at which a request arrived at the cold engine while it ran `coldSlots` or more. */
    readonly coldViolationsMs: readonly number[];
    /** Integral of the requests in flight over time, in request ms. */
    busyMs(): number;
}

export function createFakeEngine(options: FakeEngineOptions): FakeEngine {
    const { clock, coldSlots, requestsUntilWarm = coldSlots, warmFirstByteMs = 20, coldFirstByteMs = 400 } = options;
    const coldViolationsMs: number[] = [];
    let isCold = true;
    let leftUntilWarm = requestsUntilWarm;
    let inFlight = 0;
    let maxInFlight = 0;
    let busyMs = 0;
    let countedMs = clock.nowMs();

    const count = (change: number): void => {
        busyMs += inFlight * (clock.nowMs() - countedMs);
        countedMs = clock.nowMs();
        inFlight += change;
        maxInFlight = Math.max(maxInFlight, inFlight);
    };

    const noteCompleted = (): void => {
        leftUntilWarm--;
        isCold &&= leftUntilWarm > 0;
    };

    return {
        run(workMs, { onFirstByte, onEnd }) {
            if (isCold && inFlight >= coldSlots) {
                coldViolationsMs.push(clock.nowMs());
            }
            count(1);
            const firstByteMs = isCold ? coldFirstByteMs : warmFirstByteMs;
            const cancelFirst = clock.setTimer(firstByteMs, () => onFirstByte(firstByteMs));
            const cancelEnd = clock.setTimer(firstByteMs + workMs, () => {
                count(-1);
                isRunning = false;
                noteCompleted();
                onEnd();
            });
            let isRunning = true;
            return {
                cancel() {
                    if (isRunning) {
                        isRunning = false;
                        cancelFirst();
                        cancelEnd();
                        count(-1);
                    }
                },
            };
        },
        coldStart(requests = requestsUntilWarm) {
            isCold = true;
            leftUntilWarm = requests;
        },
        get isCold() {
            return isCold;
        },
        get inFlight() {
            return inFlight;
        },
        get maxInFlight() {
            return maxInFlight;
        },
        coldViolationsMs,
        busyMs() {
            count(0);
            return busyMs;
        },
    };
}
