import type * as catalog from "@peridotloft/catalog";

/**
 * Time in ms within which callers want a request to be read that may be repeated, and the share of their time; the shorter one
 * counts.
 */
export const readPatienceMs = 1_000;
const readPatienceShare = 1 / 3;
/** Time in ms for which callers wait at least for the next event of a stream. */
const minStreamPatienceMs = 2_000;
/** The same as multiples of the route's objective, and of its longest gap between events. */
const objectivesOfPatience = 4;
const eventGapsOfPatience = 8;

/**
 * Time in ms after which the caller of a stream has given up if no event has arrived, whatever its deadline is; infinite for
 * other requests, whose callers wait until their deadline once the request has been read.
 */
export function callerPatienceMs(
    { kind, objectiveMs, maxEventGapMs }: Pick<catalog.Route, "kind" | "objectiveMs" | "maxEventGapMs">,
): number {
    return kind === "stream"
        ? Math.max(
            minStreamPatienceMs,
            objectivesOfPatience * objectiveMs,
            eventGapsOfPatience * (maxEventGapMs ?? 0),
        )
        : Number.POSITIVE_INFINITY;
}

/** Whether the caller of a request has given up before it was read, and sends it again elsewhere. */
export function isReadTooLate(
    { kind, resumable }: Pick<catalog.Route, "kind" | "resumable">,
    waitedMs: number,
    callerTimeoutMs: number | undefined,
): boolean {
    const mayBeRepeated = kind === "stream" ? resumable : kind === "idempotent";
    return mayBeRepeated
        && waitedMs >= Math.min(readPatienceMs, (callerTimeoutMs ?? Number.POSITIVE_INFINITY) * readPatienceShare);
}
