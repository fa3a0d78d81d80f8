import type * as http from "node:http";
import type { Clock } from "./Clock.js";

/** Time in ms for which the rest of a request body is read and discarded. */
const lingerMs = 2_000;
/** Bytes of a request body that are discarded at most. */
const maxDiscardedBytes = 64 * 1024 * 1024;

/**
 * Sends the body of a response whose headers, with the length of `body`, have been sent, and ends the response.
 *
 * If the connection is closed after it and the request's body has not been read to its end, the response ends once that body
 * has ended, after 2 s, or after 64 MiB: a connection that is closed with unread bytes is reset, and its client may
 * lose a response that has already arrived (RFC 9112, section 9.6).
 */
export function endResponse(
    response: http.ServerResponse,
    body: Uint8Array,
    closesConnection: boolean,
    clock: Clock,
): void {
    const request = response.req;
    if (!closesConnection || request.complete) {
        response.end(body);
        return;
    }
    let discardedBytes = 0;
    const end = (): void => {
        cancelTimer();
        request.off("end", end).off("close", end).off("data", discard);
        response.end();
    };
    const discard = (chunk: Buffer): void => {
        discardedBytes += chunk.length;
        if (discardedBytes > maxDiscardedBytes) {
            end();
        }
    };
    const cancelTimer = clock.setTimer(lingerMs, end);
    response.write(body);
    request.on("data", discard).on("end", end).on("close", end).resume();
}
