/** Source of time and timers. Injected, so that tests run on virtual time. */
export interface Clock {
    /** Time in ms from an arbitrary origin; never runs backwards. Use it for every expiry. */
    nowMs(): number;
    /** Wall-clock time in ms since 1970. Use it for log lines and for times that cross machines. */
    wallMs(): number;
    /** Calls `callback` once after `delayMs`; returns a function that cancels it. */
    setTimer(delayMs: number, callback: () => void): () => void;
}

/** Longest delay in ms that Node.js timers keep (24.8 days); a longer one would run after 1 ms. */
const maxTimerMs = 2 ** 31 - 1;

/**
 * The clock of this process.
 *
 * The monotonic clock can stand still while a virtual machine is suspended, which would keep an expired lease alive.
 * So each reading adds the larger of the monotonic and the wall-clock progress since the last one.
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
            // Node.js drops the fraction, which would run the callback up to 1 ms early.
            const timer = setTimeout(callback, Math.min(Math.ceil(delayMs), maxTimerMs));
            return () => clearTimeout(timer);
        },
    };
}

/**
 * A clock that follows the monotonic clock alone. It measures requests, which a step of the time of day must not age.
 */
export function createSteadyClock(): Clock {
    return { ...createSystemClock(), nowMs: () => performance.now() };
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
