import type * as core from "@peridotloft/core";
import * as constants from "./OperationConstants.js";

/** The rules that at-most-once execution rests on, as functions of readings of one VM's own clock. */
export interface OperationPolicy {
    /** Whether a memory that begins at `sinceMs` contains every earlier attempt of a key that is sent within `windowMs`. */
    coversHistory(sinceMs: number, nowMs: number, windowMs: number): boolean;
    /** Whether an attempt arrived at the fleet too long ago to be admitted as new. */
    isLate(enteredMs: number, nowMs: number): boolean;
    /** Whether an attempt may have arrived before a `not-run` that was given at `refusedMs`. */
    precedesRefusal(enteredMs: number, refusedMs: number): boolean;
    isTicketExpired(expiresMs: number, nowMs: number): boolean;
    isSameRequest(known: Uint8Array, received: Uint8Array): boolean;
    /** Verdict on the operation, and not only on this attempt, after a failed call to its owner. */
    verdictOfPeerError(error: core.PeerError): core.Verdict;
    /** Last time in ms at which an operation that ended at `endedMs` is still remembered. */
    expiryOf(endedMs: number, windowMs: number): number;
}

export const defaultPolicy: OperationPolicy = {
    coversHistory: (sinceMs, nowMs, windowMs) => nowMs - sinceMs > windowMs + constants.maxAttemptAgeMs,
    isLate: (enteredMs, nowMs) => nowMs - enteredMs > constants.maxAttemptAgeMs,
    precedesRefusal: (enteredMs, refusedMs) => enteredMs <= refusedMs,
    isTicketExpired: (expiresMs, nowMs) => nowMs >= expiresMs,
    isSameRequest: (known, received) => Buffer.compare(known, received) === 0,
    // An earlier attempt may have reached the owner, even if this one certainly did not.
    verdictOfPeerError: () => "may-have-run",
    expiryOf: (endedMs, windowMs) => endedMs + windowMs + constants.maxAttemptAgeMs,
};
