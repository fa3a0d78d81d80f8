/** Source of time and timers. Injected, so that tests run on virtual time. */
export interface Clock {
    /** Monotonic time in ms from an arbitrary origin. Use it for every expiry. */
    nowMs(): number;
    /** Wall-clock time in ms since 1970. Use it for log lines and for times sent to other machines. */
    wallMs(): number;
    /** Calls `callback` once after `delayMs`; returns a function that cancels it. */
    setTimer(delayMs: number, callback: () => void): () => void;
}

/** Longest delay in ms that Node.js timers support (24.8 days); a longer one would fire after 1 ms. */
const maxTimerMs = 2 ** 31 - 1;

/**
 * The clock of this process.
 *
 * The monotonic clock can stop while a virtual machine is suspended, which would keep an expired lease valid. Each
 * reading therefore adds the larger of the monotonic and the wall-clock progress since the previous one.
 */
export function createSystemClock(): Clock {
    let elapsedMs = 0;
    let lastMonotonicMs = performance.now();
    let lastWallMs = Date.now();
    return {
        nowMs() {
            const monotonicMs = performance.now();
            const wallMs = Date.now();
            elapsedMs += Math.max(monotonicMs - lastMonotonicMs, wallMs - lastWallMs, 0);
            lastMonotonicMs = monotonicMs;
            lastWallMs = wallMs;
            return elapsedMs;
        },
        wallMs: () => Date.now(),
        setTimer(delayMs, callback) {
            // Node.js truncates the fraction, which would run the callback up to 1 ms early.
            const timer = setTimeout(callback, Math.min(Math.ceil(delayMs), maxTimerMs));
            return () => clearTimeout(timer);
        },
    };
}

/**
 * A clock based on the monotonic clock alone, for the times of requests, which a step of the wall clock must not change.
 */
export function createSteadyClock(): Clock {
    return { ...createSystemClock(), nowMs: () => performance.now() };
}

/**
 * A clock whose timers call back once the sockets have been polled. After a long turn of the event loop, Node.js runs the
 * timers that are due before it reads what has arrived in that turn; here, what has arrived comes first.
 *
 * @param onTurnEnd calls back at the end of the current turn of the event loop, after the sockets have been polled.
 */
export function createPolledClock(clock: Clock, onTurnEnd: (callback: () => void) => void = setImmediate): Clock {
    return {
        ...clock,
        setTimer(delayMs, callback) {
            let isCancelled = false;
            const cancel = clock.setTimer(delayMs, () =>
                onTurnEnd(() => {
                    if (!isCancelled) {
                        callback();
                    }
                }));
            return () => {
                isCancelled = true;
                cancel();
            };
        },
    };
}

/** Calls `callback` every `periodMs`; returns a function that stops it. */
export function setRepeatingTimer(clock: Clock, periodMs: number, callback: () => void): () => void {
    let cancel = clock.setTimer(periodMs, tick);
    function tick(): void {
        cancel = clock.setTimer(periodMs, tick);
        callback();
    }
    return () => cancel();
}
