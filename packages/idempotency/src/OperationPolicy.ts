import type * as core from "@peridotloft/core";
import * as constants from "./OperationConstants.js";

/** Rules on which at-most-once execution depends. All times are on one VM's own clock. */
export interface OperationPolicy {
    /** Whether records that start at `sinceMs` contain every earlier attempt with a key that is resent within `windowMs`. */
    coversHistory(sinceMs: number, nowMs: number, windowMs: number): boolean;
    /** Whether an attempt may have arrived at the fleet too long ago to be admitted as new. */
    isTooOld(earliestArrivalMs: number, nowMs: number): boolean;
    /** Whether an attempt may have arrived before a refusal with `not-run` at `refusedMs`. */
    precedesRefusal(earliestArrivalMs: number, refusedMs: number): boolean;
    isTicketExpired(expiresMs: number, nowMs: number): boolean;
    isSameRequest(stored: Uint8Array, received: Uint8Array): boolean;
    /** Verdict on the whole operation, not only on this attempt, after a failed call to its owner. */
    verdictOfPeerError(error: core.PeerError): core.Verdict;
    /** Last time in ms at which an operation that ended at `endedMs` is still stored. */
    expiryOf(endedMs: number, windowMs: number): number;
}

export const defaultPolicy: OperationPolicy = {
    coversHistory: (sinceMs, nowMs, windowMs) => nowMs - sinceMs > windowMs + constants.maxAttemptAgeMs,
    isTooOld: (earliestArrivalMs, nowMs) => nowMs - earliestArrivalMs > constants.maxAttemptAgeMs,
    precedesRefusal: (earliestArrivalMs, refusedMs) => earliestArrivalMs <= refusedMs,
    isTicketExpired: (expiresMs, nowMs) => nowMs >= expiresMs,
    isSameRequest: (stored, received) => Buffer.compare(stored, received) === 0,
    // An earlier attempt may have reached the owner, even if this one certainly did not.
    verdictOfPeerError: () => "may-have-run",
    expiryOf: (endedMs, windowMs) => endedMs + windowMs + constants.maxAttemptAgeMs,
};
