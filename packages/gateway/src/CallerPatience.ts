import type * as catalog from "@peridotloft/catalog";

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
