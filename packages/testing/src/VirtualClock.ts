import type * as core from "@peridotloft/core";

interface Timer {
    readonly dueMs: number;
    readonly order: number;
    readonly callback: () => void;
    cancelled: boolean;
}

const isBefore = (left: Timer, right: Timer): boolean =>
    left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.order < right.order);

/** A binary heap, so that simulations of hundreds of VMs do not scan thousands of timers at each step. */
interface TimerHeap {
    push(timer: Timer): void;
    /** The earliest timer that was not cancelled. */
    peek(): Timer | undefined;
    pop(): void;
}

function createTimerHeap(): TimerHeap {
    const heap: Timer[] = [];
    const before = (left: number, right: number): boolean => isBefore(heap[left] as Timer, heap[right] as Timer);
    const swap = (left: number, right: number): void => {
        [heap[left], heap[right]] = [heap[right] as Timer, heap[left] as Timer];
    };
    const siftUp = (index: number): void => {
        for (let child = index; child > 0;) {
            const parent = (child - 1) >> 1;
            if (!before(child, parent)) {
                return;
            }
            swap(child, parent);
            child = parent;
        }
    };
    const siftDown = (): void => {
        for (let parent = 0;;) {
            const left = 2 * parent + 1;
            const right = left + 1;
            const child = right < heap.length && before(right, left) ? right : left;
            if (child >= heap.length || !before(child, parent)) {
                return;
            }
            swap(child, parent);
            parent = child;
        }
    };
    const pop = (): void => {
        const last = heap.pop();
        if (last && heap.length > 0) {
            heap[0] = last;
            siftDown();
        }
    };
    return {
        push(timer) {
            heap.push(timer);
            siftUp(heap.length - 1);
        },
        peek() {
            while (heap[0]?.cancelled) {
                pop();
            }
            return heap[0];
        },
        pop,
    };
}

/**
 * A clock that advances under the control of a test, and by a millionth of a ms at each reading. Promise callbacks run
 * between timers.
 */
export interface VirtualClock extends core.Clock {
    /** Runs all timers that are due within the next `durationMs`, in order. */
    advance(durationMs: number): Promise<void>;
}

// Chains of awaits in a handler need several turns of the event loop before they set their next timer.
const eventLoopTurnsBetweenTimers = 2;

/**
 * Step in ms between two readings of the clock. If the clock did not advance between readings, a time read later than the
 * time with which it is compared would look due, which hides faults that occur with the system clock.
 */
const defaultReadingStepMs = 1e-6;

/** @param readingStepMs 0 is suitable only for tests that compare times for equality. */
export function createVirtualClock(startMs = 0, readingStepMs = defaultReadingStepMs): VirtualClock {
    let nowMs = startMs;
    let order = 0;
    const timers = createTimerHeap();

    const nextDueTimer = (limitMs: number): Timer | undefined => {
        const timer = timers.peek();
        return timer && timer.dueMs <= limitMs ? timer : undefined;
    };

    const runPromiseCallbacks = async (): Promise<void> => {
        for (let turn = 0; turn < eventLoopTurnsBetweenTimers; turn++) {
            await new Promise<void>(resolve => setImmediate(resolve));
        }
    };

    return {
        nowMs: () => nowMs += readingStepMs,
        wallMs: () => nowMs,
        setTimer(delayMs, callback) {
            const timer = { dueMs: nowMs + Math.max(0, delayMs), order: order++, callback, cancelled: false };
            timers.push(timer);
            return () => {
                timer.cancelled = true;
            };
        },
        async advance(durationMs) {
            const limitMs = nowMs + durationMs;
            await runPromiseCallbacks();
            for (let timer = nextDueTimer(limitMs); timer; timer = nextDueTimer(limitMs)) {
                timers.pop();
                nowMs = Math.max(nowMs, timer.dueMs);
                timer.callback();
                const nextTimer = nextDueTimer(nowMs);
                if (!nextTimer) {
                    await runPromiseCallbacks();
                }
            }
            nowMs = Math.max(nowMs, limitMs);
            await runPromiseCallbacks();
        },
    };
}

/** A clock whose timers are suspended between `pause` and `resume` of its process; due timers run on resume. */
export interface PausableClock extends core.Clock {
    pause(): void;
    resume(): void;
}

export function createPausableClock(clock: core.Clock): PausableClock {
    let paused = false;
    let pendingCallbacks: (() => void)[] = [];
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
                    pendingCallbacks.push(run);
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
            const due = pendingCallbacks;
            pendingCallbacks = [];
            due.forEach(run => run());
        },
    };
}
