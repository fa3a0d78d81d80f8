import type * as core from "@peridotloft/core";
import { err, ok, type Result } from "neverthrow";

/** Why bytes were not reserved, and when they are expected to be free. */
export interface BodyMemoryFull {
    /** Time in ms. */
    readonly retryAfterMs: number;
    readonly requestedBytes: number;
    readonly reservedBytes: number;
    readonly maxBytes: number;
    /** Number of other bodies that wait for memory. */
    readonly waiting: number;
    /** Time in ms for which this body waited. */
    readonly waitedMs: number;
}

/** The memory of one body. */
export interface BodyReservation {
    /**
     * Reserves bytes in addition to those reserved before. Beyond `smallBodyBytes` in all, waits in order of arrival for up to
     * `maxWaitMs`; fails at once if too many bodies wait already.
     */
    reserve(bytes: number, maxWaitMs: number): Promise<Result<void, BodyMemoryFull>>;
    /** Reserves bytes at once; false if that would exceed the limit or pass others that wait. */
    tryReserve(bytes: number): boolean;
    /** Calls back once, now or later, if another body waits for memory while this one still holds some. */
    yieldWhenNeeded(onNeeded: () => void): void;
    /** Returns the bytes beyond `bytes`. */
    shrinkTo(bytes: number): void;
    /** Returns all bytes and stops waiting; nothing can be reserved any more. */
    release(): void;
}

/** Bounds the bytes that a process holds for bodies of one kind, whatever their number and sizes. */
export interface BodyMemory {
    /** Size in bytes of the largest body for which there can be memory. */
    readonly maxBodyBytes: number;
    readonly maxBytes: number;
    reservedBytes(): number;
    waitingCount(): number;
    openReservation(): BodyReservation;
}

export interface BodyMemoryOptions {
    readonly clock: core.Clock;
    readonly random: core.Random;
    /** Bytes that all bodies may hold together. */
    readonly maxBytes: number;
    /** Size in bytes up to which bodies may use all of the memory and do not wait for it. */
    readonly smallBytes?: number;
    /** Share of the memory that may be used by what lies beyond this size. */
    readonly largeShare?: number;
    /** Bytes for which bodies may wait together; by default as many as large ones may hold. */
    readonly maxWaitingBytes?: number;
}

/** The defaults, which are those for the bodies of requests. */
export const smallBodyBytes = 128 * 1024;
const largeBodyShare = 0.75;
/** Time in ms for which bodies hold their bytes, until this is known. */
const defaultHeldMs = 300;
/** Range in ms of the expected times. */
const minRetryMs = 50;
const maxRetryMs = 1_000;
/** Largest share by which such a time is extended, so that callers do not retry at the same time. */
const retrySpread = 0.3;

interface WaitingBody {
    readonly bytes: number;
    readonly grant: () => void;
}

/** A body that gives up its memory once others wait for it. */
interface YieldingBody {
    readonly heldBytes: () => number;
    readonly onNeeded: () => void;
}

export function createBodyMemory(options: BodyMemoryOptions): BodyMemory {
    const { clock, random, maxBytes, smallBytes = smallBodyBytes, largeShare = largeBodyShare } = options;
    const maxLargeBytes = Math.floor(maxBytes * largeShare);
    const { maxWaitingBytes = maxLargeBytes } = options;
    const waiting = new Set<WaitingBody>();
    /** In the order in which they began to yield. */
    const yielding = new Set<YieldingBody>();
    /** Bytes that bodies which were told to yield have not returned yet. */
    let yieldedBytes = 0;
    let reservedBytes = 0;
    let waitingBytes = 0;
    /** Mean time in ms for which a byte was held, over about as many bytes as there are. */
    let meanHeldMs = defaultHeldMs;

    function returnBytes(bytes: number, heldMs: number): void {
        if (bytes > 0) {
            meanHeldMs += (heldMs - meanHeldMs) * bytes / maxBytes;
            reservedBytes -= bytes;
            grantWaiting();
        }
    }

    function grantWaiting(): void {
        for (const body of waiting) {
            if (reservedBytes + body.bytes > maxLargeBytes) {
                return;
            }
            body.grant();
        }
    }

    /** Tells as many bodies to yield as hold what is waited for. */
    function yieldToWaiting(): void {
        for (const body of yielding) {
            if (reservedBytes - yieldedBytes + waitingBytes <= maxLargeBytes) {
                return;
            }
            yielding.delete(body);
            yieldedBytes += body.heldBytes();
            body.onNeeded();
        }
    }

    function describeFull(bytes: number, limitBytes: number, waitedMs: number): BodyMemoryFull {
        // In the mean time for which a byte is held, all of the memory is returned once.
        const expectedMs = meanHeldMs * (reservedBytes + waitingBytes + bytes) / limitBytes;
        return {
            retryAfterMs: Math.round(
                Math.min(maxRetryMs, Math.max(minRetryMs, expectedMs)) * (1 + retrySpread * random()),
            ),
            requestedBytes: bytes,
            reservedBytes,
            maxBytes,
            waiting: waiting.size,
            waitedMs: Math.round(waitedMs),
        };
    }

    function openReservation(): BodyReservation {
        let ownBytes = 0;
        let reservedMs = clock.nowMs();
        let isReleased = false;
        let stopWaiting: () => void = () => undefined;
        let yieldingBody: YieldingBody | undefined;

        const isSmall = (bytes: number): boolean => ownBytes + bytes <= smallBytes;
        const limitFor = (bytes: number): number => isSmall(bytes) ? maxBytes : maxLargeBytes;

        function tryReserve(bytes: number): boolean {
            const mayPass = waiting.size === 0 || isSmall(bytes);
            const isReserved = !isReleased && mayPass && reservedBytes + bytes <= limitFor(bytes);
            if (isReserved) {
                take(bytes);
            }
            return isReserved;
        }

        function stopYielding(): void {
            if (yieldingBody && !yielding.delete(yieldingBody)) {
                yieldedBytes -= ownBytes;
            }
            yieldingBody = undefined;
        }

        function take(bytes: number): void {
            ownBytes += bytes;
            reservedBytes += bytes;
            reservedMs = clock.nowMs();
        }

        function shrinkTo(bytes: number): void {
            const returned = Math.max(0, ownBytes - bytes);
            ownBytes -= returned;
            returnBytes(returned, clock.nowMs() - reservedMs);
        }

        function wait(bytes: number, maxWaitMs: number): Promise<Result<void, BodyMemoryFull>> {
            const startedMs = clock.nowMs();
            return new Promise(resolve => {
                const leave = (): void => {
                    cancelTimer();
                    waiting.delete(body);
                    waitingBytes -= bytes;
                    stopWaiting = () => undefined;
                };
                const fail = (): void => {
                    leave();
                    resolve(err(describeFull(bytes, maxLargeBytes, clock.nowMs() - startedMs)));
                    grantWaiting();
                };
                const body: WaitingBody = {
                    bytes,
                    grant() {
                        leave();
                        take(bytes);
                        resolve(ok(undefined));
                    },
                };
                const cancelTimer = clock.setTimer(maxWaitMs, fail);
                stopWaiting = fail;
                waiting.add(body);
                waitingBytes += bytes;
                yieldToWaiting();
            });
        }

        return {
            reserve(bytes, maxWaitMs) {
                if (tryReserve(bytes)) {
                    return Promise.resolve(ok(undefined));
                }
                // More than all of the memory is not returned in the time that callers can wait.
                return isReleased || isSmall(bytes) || waitingBytes + bytes > maxWaitingBytes
                    ? Promise.resolve(err(describeFull(bytes, limitFor(bytes), 0)))
                    : wait(bytes, maxWaitMs);
            },
            tryReserve,
            yieldWhenNeeded(onNeeded) {
                stopYielding();
                if (ownBytes > 0) {
                    yieldingBody = { heldBytes: () => ownBytes, onNeeded };
                    yielding.add(yieldingBody);
                    yieldToWaiting();
                }
            },
            shrinkTo,
            release() {
                isReleased = true;
                stopWaiting();
                stopYielding();
                shrinkTo(0);
            },
        };
    }

    return {
        maxBodyBytes: maxLargeBytes,
        maxBytes,
        reservedBytes: () => reservedBytes,
        waitingCount: () => waiting.size,
        openReservation,
    };
}
