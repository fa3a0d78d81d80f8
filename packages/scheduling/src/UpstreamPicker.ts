import * as core from "@peridotloft/core";

export interface UpstreamChoice {
    readonly upstream: core.UpstreamId;
    readonly zone: core.ZoneId;
    /** Share of the usable slots that are in use as far as this VM knows, in [0, 1]. */
    readonly load: number;
}

/** Chooses the least loaded upstream. Among equals it prefers the requester's zone, then spreads by chance. */
export function pickUpstream<T extends UpstreamChoice>(
    choices: readonly T[],
    zone: core.ZoneId | undefined,
    random: core.Random,
): T | undefined {
    const least = Math.min(...choices.map(choice => choice.load));
    const equal = choices.filter(choice => choice.load === least);
    const near = equal.filter(choice => choice.zone === zone);
    return core.shuffle(near.length > 0 ? near : equal, random)[0];
}
