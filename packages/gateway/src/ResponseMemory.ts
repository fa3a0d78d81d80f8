import type * as core from "@peridotloft/core";
import type { Result } from "neverthrow";
import { type BodyMemoryFull, createBodyMemory } from "./BodyMemory.js";
import { maxResponseBytes } from "./ResponseRelay.js";

/** The memory of the response to one attempt. */
export interface ResponseReservation {
    /**
     * Reserves the bytes that arrive with the head of a response, before they can be paused. Waits in order of arrival for up to
     * `maxWaitMs`; fails at once if too many requests wait already. Undefined if they are reserved at once.
     */
    reserveFirst(maxWaitMs: number): Promise<Result<void, BodyMemoryFull>> | undefined;
    /** Reserves bytes in all. Waits in order of arrival until it is released. Undefined if they are reserved at once. */
    growTo(bytes: number): Promise<Result<void, BodyMemoryFull>> | undefined;
    /** Returns the bytes beyond `bytes`. */
    shrinkTo(bytes: number): void;
    /** Calls back once, now or later, if others wait for memory while this response still holds some. */
    yieldWhenNeeded(onNeeded: () => void): void;
    /** Returns all bytes and stops waiting; nothing can be reserved any more. */
    release(): void;
}

/**
 * Bounds the bytes that a process holds for responses that are read whole, until their callers have taken them. The first bytes of
 * each response have a memory of their own, which is reserved before the request is sent: they arrive unasked, and responses that
 * wait for the rest cannot keep others from beginning.
 */
export interface ResponseMemory {
    readonly maxBytes: number;
    reservedBytes(): number;
    /** Number of requests and responses that wait for memory. */
    waitingCount(): number;
    openReservation(): ResponseReservation;
}

export interface ResponseMemoryOptions {
    readonly clock: core.Clock;
    readonly random: core.Random;
    /** Bytes that all responses may hold together. */
    readonly maxBytes: number;
}

/** Bytes that Node.js reads at a time. */
export const firstBytes = 64 * 1024;
/** Share of the memory for the first bytes. */
const firstShare = 0.6;

export function createResponseMemory({ clock, random, maxBytes }: ResponseMemoryOptions): ResponseMemory {
    const create = (bytes: number, maxWaitingBytes: number) =>
        createBodyMemory({ clock, random, maxBytes: bytes, smallBytes: 0, largeShare: 1, maxWaitingBytes });
    const maxFirstBytes = Math.max(firstBytes, Math.floor(maxBytes * firstShare));
    const first = create(maxFirstBytes, maxFirstBytes);
    // Each of those that wait has a place in the memory for the first bytes, and its request a deadline.
    const rest = create(Math.max(maxResponseBytes, maxBytes - maxFirstBytes), Number.POSITIVE_INFINITY);

    function openReservation(): ResponseReservation {
        const ownFirst = first.openReservation();
        const ownRest = rest.openReservation();
        let reservedFirstBytes = 0;
        let reservedBytes = 0;
        return {
            reserveFirst(maxWaitMs) {
                reservedFirstBytes = reservedBytes = firstBytes;
                return ownFirst.tryReserve(firstBytes) ? undefined : ownFirst.reserve(firstBytes, maxWaitMs);
            },
            growTo(bytes) {
                const missingBytes = Math.max(0, bytes - reservedBytes);
                reservedBytes += missingBytes;
                return missingBytes === 0 || ownRest.tryReserve(missingBytes)
                    ? undefined
                    : ownRest.reserve(missingBytes, Number.POSITIVE_INFINITY);
            },
            shrinkTo(bytes) {
                reservedBytes = Math.min(reservedBytes, bytes);
                reservedFirstBytes = Math.min(reservedFirstBytes, reservedBytes);
                ownFirst.shrinkTo(reservedFirstBytes);
                ownRest.shrinkTo(reservedBytes - reservedFirstBytes);
            },
            yieldWhenNeeded(onNeeded) {
                ownFirst.yieldWhenNeeded(onNeeded);
                ownRest.yieldWhenNeeded(onNeeded);
            },
            release() {
                ownFirst.release();
                ownRest.release();
            },
        };
    }

    return {
        maxBytes: first.maxBytes + rest.maxBytes,
        reservedBytes: () => first.reservedBytes() + rest.reservedBytes(),
        waitingCount: () => first.waitingCount() + rest.waitingCount(),
        openReservation,
    };
}
