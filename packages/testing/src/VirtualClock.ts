import type * as core from "@peridotloft/core";

interface Timer {
    readonly dueMs: number;
    readonly order: number;
    readonly callback: () => void;
}

/** A clock that moves only when a test advances it. Promise callbacks run between timers. */
export interface VirtualClock extends core.Clock {
    /** Runs all timers that are due within the next `durationMs`, in order. */
    advance(durationMs: number): Promise<void>;
}

// Chains of awaits inside a handler need several turns before they set their next timer.
const turnsBetweenTimers = 2;

export function createVirtualClock(startMs = 0): VirtualClock {
    let nowMs = startMs;
    let order = 0;
    const timers = new Set<Timer>();

    const nextDue = (limitMs: number): Timer | undefined => {
        let best: Timer | undefined;
        for (const timer of timers) {
            if (timer.dueMs > limitMs) {
                continue;
            }
            if (!best || timer.dueMs < best.dueMs || (timer.dueMs === best.dueMs && timer.order < best.order)) {
                best = timer;
            }
        }
        return best;
    };

    const settle = async (): Promise<void> => {
        for (let turn = 0; turn < turnsBetweenTimers; turn++) {
            await new Promise<void>(resolve => setImmediate(resolve));
        }
    };

    return {
        nowMs: () => nowMs,
        wallMs: () => nowMs,
        setTimer(delayMs, callback) {
            const timer = { dueMs: nowMs + Math.max(0, delayMs), order: order++, callback };
            timers.add(timer);
            return () => {
                timers.delete(timer);
            };
        },
        async advance(durationMs) {
            const limitMs = nowMs + durationMs;
            await settle();
            for (let timer = nextDue(limitMs); timer; timer = nextDue(limitMs)) {
                timers.delete(timer);
                nowMs = timer.dueMs;
                timer.callback();
                const following = nextDue(nowMs);
                if (!following) {
                    await settle();
                }
            }
            nowMs = limitMs;
            await settle();
        },
    };
}

/** A view of `clock` that stands still between `pause` and `resume` of its process; due timers run on resume. */
export interface PausableClock extends core.Clock {
    pause(): void;
    resume(): void;
}

export function createPausableClock(clock: core.Clock): PausableClock {
    let paused = false;
    let held: (() => void)[] = [];
    return {
        nowMs: () => clock.nowMs(),
        wallMs: () => clock.wallMs(),
        setTimer(delayMs, callback) {
            let cancelled = false;
            const run = (): void => {
                if (cancelled) {
                    return;
                }
                if (paused) {
                    held.push(run);
                    return;
                }
                callback();
            };
            const cancel = clock.setTimer(delayMs, run);
            return () => {
                cancelled = true;
                cancel();
            };
        },
        pause() {
            paused = true;
        },
        resume() {
            paused = false;
            const due = held;
            held = [];
            due.forEach(run => run());
        },
    };
}
