import type * as core from "@peridotloft/core";

interface Timer {
    readonly dueMs: number;
    readonly order: number;
    readonly callback: () => void;
    taken?: boolean;
}

/** Timers in the order in which they are due. A heap, because large fleets set tens of thousands of them. */
interface TimerQueue {
    /** Returns a function that removes the timer. */
    add(timer: Timer): () => void;
    hasDue(limitMs: number): boolean;
    /** Removes and returns the next timer that is due by `limitMs`. */
    takeDue(limitMs: number): Timer | undefined;
}

function createTimerQueue(): TimerQueue {
    const heap: Timer[] = [];
    const cancelled = new Set<Timer>();

    const precedes = (left: Timer, right: Timer): boolean =>
        left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.order < right.order);

    const at = (index: number): Timer => heap[index] as Timer;

    const swap = (left: number, right: number): void => {
        [heap[left], heap[right]] = [at(right), at(left)];
    };

    const siftUp = (start: number): void => {
        let index = start;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!precedes(at(index), at(parent))) {
                return;
            }
            swap(index, parent);
            index = parent;
        }
    };

    const siftDown = (): void => {
        let index = 0;
        for (;;) {
            const children = [2 * index + 1, 2 * index + 2].filter(child => child < heap.length);
            const first = children.reduce((best, child) => precedes(at(child), at(best)) ? child : best, index);
            if (first === index) {
                return;
            }
            swap(index, first);
            index = first;
        }
    };

    const removeFirst = (): void => {
        const last = heap.pop();
        if (last && heap.length > 0) {
            heap[0] = last;
            siftDown();
        }
    };

    const findFirst = (): Timer | undefined => {
        while (heap[0] && cancelled.delete(heap[0])) {
            removeFirst();
        }
        return heap[0];
    };

    const hasDue = (limitMs: number): boolean => (findFirst()?.dueMs ?? Number.POSITIVE_INFINITY) <= limitMs;

    return {
        add(timer) {
            heap.push(timer);
            siftUp(heap.length - 1);
            return () => {
                if (!timer.taken) {
                    cancelled.add(timer);
                }
            };
        },
        hasDue,
        takeDue(limitMs) {
            const first = hasDue(limitMs) ? heap[0] : undefined;
            if (first) {
                first.taken = true;
                removeFirst();
            }
            return first;
        },
    };
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
    const timers = createTimerQueue();

    const settle = async (): Promise<void> => {
        for (let turn = 0; turn < turnsBetweenTimers; turn++) {
            await new Promise<void>(resolve => setImmediate(resolve));
        }
    };

    return {
        nowMs: () => nowMs,
        wallMs: () => nowMs,
        setTimer(delayMs, callback) {
            return timers.add({ dueMs: nowMs + Math.max(0, delayMs), order: order++, callback });
        },
        async advance(durationMs) {
            const limitMs = nowMs + durationMs;
            await settle();
            for (let timer = timers.takeDue(limitMs); timer; timer = timers.takeDue(limitMs)) {
                nowMs = timer.dueMs;
                timer.callback();
                if (!timers.hasDue(nowMs)) {
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
