import * as core from "@peridotloft/core";

export interface UpstreamChoice {
    readonly upstream: core.UpstreamId;
    readonly zone: core.ZoneId;
    /** Share of the slots coordinated by this VM that are in use, in [0, 1]. */
    readonly load: number;
}

/** Chooses the least loaded upstream. Among equal loads it prefers the requester's zone, then chooses at random. */
export function pickUpstream<T extends UpstreamChoice>(
    choices: readonly T[],
    zone: core.ZoneId | undefined,
    random: core.Random,
): T | undefined {
    const least = Math.min(...choices.map(choice => choice.load));
    const leastLoaded = choices.filter(choice => choice.load === least);
    const sameZone = leastLoaded.filter(choice => choice.zone === zone);
    return core.shuffle(sameZone.length > 0 ? sameZone : leastLoaded, random)[0];
}
