import type * as core from "@peridotloft/core";
import type { Job } from "./Job.js";

/** Times of this VM's responses after their first event, by route. */
export interface RunTimes {
    /** Records the time in ms of a response. Returns the one expected before; undefined if the route had none yet. */
    record(job: Job, runMs: number): number | undefined;
}

/** Weight of the newest response in the moving average. */
const newestWeight = 0.05;

export function createRunTimes(): RunTimes {
    const msPerTokenByRoute = new Map<core.RouteId, number>();
    return {
        record({ route, prompt }, runMs) {
            const tokens = Math.max(1, prompt?.maxOutputTokens ?? 0);
            const expected = msPerTokenByRoute.get(route.id);
            const observed = runMs / tokens;
            msPerTokenByRoute.set(
                route.id,
                expected === undefined ? observed : expected + newestWeight * (observed - expected),
            );
            return expected === undefined ? undefined : expected * tokens;
        },
    };
}
