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

/** One cold start, in ms. */
export interface ColdSpan {
    readonly startMs: number;
    /** Time of the first byte of the first cold request; undefined until then. */
    firstByteMs: number | undefined;
    endMs: number | undefined;
}

export interface EngineCallbacks {
    onFirstByte(delayMs: number): void;
    onEnd(): void;
}

/** A simulated engine that records the requests it runs. While it is cold, the time to first byte is longer. */
export interface FakeEngine {
    run(workMs: number, callbacks: EngineCallbacks): EngineRun;
    /** Makes the engine cold, unannounced, until `requests` more have completed. Requests in flight continue. */
    coldStart(requests?: number): void;
    readonly isCold: boolean;
    readonly inFlight: number;
    readonly maxInFlight: number;
    /** Times in ms at which a request arrived while the engine was cold and already ran `coldSlots` or more. */
    readonly coldViolationsMs: readonly number[];
    /** The cold starts so far. */
    readonly coldSpans: readonly ColdSpan[];
    /** Time integral of the requests in flight, in request ms. */
    busyMs(): number;
}

export function createFakeEngine(options: FakeEngineOptions): FakeEngine {
    const { clock, coldSlots, requestsUntilWarm = coldSlots, warmFirstByteMs = 20, coldFirstByteMs = 400 } = options;
    const coldViolationsMs: number[] = [];
    const coldSpans: ColdSpan[] = [{ startMs: clock.nowMs(), firstByteMs: undefined, endMs: undefined }];
    let isCold = true;
    let requestsLeftUntilWarm = requestsUntilWarm;
    let inFlight = 0;
    let maxInFlight = 0;
    let busyMs = 0;
    let busyUpdatedMs = clock.nowMs();

    const changeInFlight = (change: number): void => {
        busyMs += inFlight * (clock.nowMs() - busyUpdatedMs);
        busyUpdatedMs = clock.nowMs();
        inFlight += change;
        maxInFlight = Math.max(maxInFlight, inFlight);
    };

    const recordCompletion = (): void => {
        requestsLeftUntilWarm--;
        const span = coldSpans.at(-1);
        if (isCold && requestsLeftUntilWarm <= 0 && span) {
            isCold = false;
            span.endMs = clock.nowMs();
        }
    };

    const recordColdFirstByte = (): void => {
        const span = coldSpans.at(-1);
        if (span) {
            span.firstByteMs ??= clock.nowMs();
        }
    };

    return {
        run(workMs, { onFirstByte, onEnd }) {
            if (isCold && inFlight >= coldSlots) {
                coldViolationsMs.push(clock.nowMs());
            }
            changeInFlight(1);
            const startedCold = isCold;
            const firstByteMs = startedCold ? coldFirstByteMs : warmFirstByteMs;
            const cancelFirstByte = clock.setTimer(firstByteMs, () => {
                if (startedCold) {
                    recordColdFirstByte();
                }
                onFirstByte(firstByteMs);
            });
            const cancelEnd = clock.setTimer(firstByteMs + workMs, () => {
                changeInFlight(-1);
                isRunning = false;
                recordCompletion();
                onEnd();
            });
            let isRunning = true;
            return {
                cancel() {
                    if (isRunning) {
                        isRunning = false;
                        cancelFirstByte();
                        cancelEnd();
                        changeInFlight(-1);
                    }
                },
            };
        },
        coldStart(requests = requestsUntilWarm) {
            isCold = true;
            requestsLeftUntilWarm = requests;
            coldSpans.push({ startMs: clock.nowMs(), firstByteMs: undefined, endMs: undefined });
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
        coldSpans,
        busyMs() {
            changeInFlight(0);
            return busyMs;
        },
    };
}
