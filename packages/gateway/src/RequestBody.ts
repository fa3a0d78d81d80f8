import type * as http from "node:http";
import { type BodyMemory, smallBodyBytes } from "./BodyMemory.js";
import { createWholeBody, type WholeBody } from "./WholeBody.js";

export interface RequestBodyOptions {
    readonly memory: BodyMemory;
    readonly maxBytes: number;
    /** Time in ms for which the caller may have to wait for memory now. */
    readonly maxWaitMs: () => number;
    /** Called with the bytes that are reserved from now on. */
    readonly onReserved: (bytes: number) => void;
}

export function createRequestBody(
    request: http.IncomingMessage,
    { memory, maxBytes, maxWaitMs, onReserved }: RequestBodyOptions,
): WholeBody {
    const reservation = memory.openReservation();
    return createWholeBody(request, maxBytes, {
        undeclaredSizes: [16 * 1024, smallBodyBytes],
        async grow(fromBytes, toBytes) {
            const smallBytes = Math.min(toBytes, smallBodyBytes);
            // What arrives before the rest is reserved is in memory as well.
            const result = await reservation.reserve(Math.max(0, smallBytes - fromBytes), 0);
            const grown = result.isOk() && toBytes > smallBytes
                ? await reservation.reserve(toBytes - Math.max(smallBytes, fromBytes), maxWaitMs())
                : result;
            if (grown.isOk()) {
                onReserved(toBytes);
            }
            return grown;
        },
        shrinkTo(bytes) {
            reservation.shrinkTo(bytes);
            onReserved(bytes);
        },
        release() {
            reservation.release();
            onReserved(0);
        },
    });
}
