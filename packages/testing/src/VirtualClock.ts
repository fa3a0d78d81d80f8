import type * as core from "@peridotloft/core";

interface Timer {
    readonly dueMs: number;
    readonly order: number;
    readonly callback: () => void;
    cancelled: boolean;
}

const isBefore = (left: Timer, right: Timer): boolean =>
    left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.order < right.order);

/** A binary heap, so that fleets of hundreds of VMs need not scan thousands of timers for each step. */
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

/** A clock that moves when a test advances it, and by a millionth of a ms at each reading. Promise callbacks run between timers. */
export interface VirtualClock extends core.Clock {
    /** Runs all timers that are due within the next `durationMs`, in order. */
    advance(durationMs: number): Promise<void>;
}

// Chains of awaits inside a handler need several turns before they set their next timer.
const turnsBetweenTimers = 2;

/**
 * Distance between two readings of the clock, in ms. On a clock that stands still between readings, a time that was
 * read later than the time it is compared with looks due, which hides faults that appear on the system clock.
 */
const defaultReadingStepMs = 1e-6;

/** `readingStepMs` of 0 suits only tests that compare times for equality. */
export function createVirtualClock(startMs = 0, readingStepMs = defaultReadingStepMs): VirtualClock {
    let nowMs = startMs;
    let order = 0;
    const timers = createTimerHeap();

    const nextDue = (limitMs: number): Timer | undefined => {
        const timer = timers.peek();
        return timer && timer.dueMs <= limitMs ? timer : undefined;
    };

    const settle = async (): Promise<void> => {
        for (let turn = 0; turn < turnsBetweenTimers; turn++) {
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
            await settle();
            for (let timer = nextDue(limitMs); timer; timer = nextDue(limitMs)) {
                timers.pop();
                nowMs = Math.max(nowMs, timer.dueMs);
                timer.callback();
                const following = nextDue(nowMs);
                if (!following) {
                    await settle();
                }
            }
            nowMs = Math.max(nowMs, limitMs);
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
