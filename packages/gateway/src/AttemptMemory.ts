import type * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";
import type { Result } from "neverthrow";
import { firstBytes, type ResponseMemory, type ResponseReservation } from "./ResponseMemory.js";
import type { BufferMemory } from "./WholeBody.js";

/** Memory for the responses to the attempts of one request: for the latest, and for an earlier one that is kept. */
export interface AttemptMemory {
    /**
     * Reserves memory for the response to the next attempt; undefined if it need not wait. Fails with the time in ms after which
     * the caller may retry.
     */
    reserveNext(requestId: core.RequestId, maxWaitMs: number): Promise<Result<void, number>> | undefined;
    /** Memory for the response to the latest attempt, for which its upstream waits until the deadline. */
    latest(): BufferMemory;
    /** Keeps the latest response in place of the one that was kept before. */
    keepLatest(): void;
    /** Lets others have the memory of responses that their caller does not take; `onYield` is called when they need it. */
    yieldWhenNeeded(onYield: () => void): void;
    release(): void;
}

export function createAttemptMemory(
    responseMemory: Pick<ResponseMemory, "openReservation">,
    log: telemetry.EventLog,
): AttemptMemory {
    let current: ResponseReservation | undefined;
    let kept: ResponseReservation | undefined;
    /** Whether first bytes are reserved before the request is sent, as for all but streams. */
    let hasFirstBytes = false;

    return {
        reserveNext(requestId, maxWaitMs) {
            if (current !== kept) {
                current?.release();
            }
            current = responseMemory.openReservation();
            hasFirstBytes = true;
            return current.reserveFirst(maxWaitMs)?.then(result =>
                result.mapErr(({ retryAfterMs, ...inputs }) => {
                    log.failure("response-memory-full", { requestId, retryAfterMs, ...inputs });
                    return retryAfterMs;
                })
            );
        },
        latest() {
            const reservation = current ??= responseMemory.openReservation();
            return {
                // One that holds a part of the rest would keep it while it waits for more.
                undeclaredSizes: hasFirstBytes ? [16 * 1024, firstBytes] : [],
                grow: (_, toBytes) => reservation.growTo(toBytes),
                shrinkTo: reservation.shrinkTo,
                release: reservation.release,
            };
        },
        keepLatest() {
            kept?.release();
            kept = current;
        },
        yieldWhenNeeded(onYield) {
            current?.yieldWhenNeeded(onYield);
            kept?.yieldWhenNeeded(onYield);
        },
        release() {
            current?.release();
            kept?.release();
        },
    };
}
