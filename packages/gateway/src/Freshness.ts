import type * as catalog from "@peridotloft/catalog";
import type { GatewaySettings } from "./GatewaySettings.js";

/** Decides what this VM may conclude from a configuration of some age. */
export interface Freshness {
    /** Whether a key that the configuration holds may be accepted. Asks the store if the last answer is too old. */
    mayAcceptKeys(): Promise<boolean> | true;
    /** Whether a key or route that the configuration lacks is known not to exist. */
    mayDenyUnknown(): Promise<boolean> | true;
    /** The same as `mayAcceptKeys`, without asking. */
    acceptsKeysNow(): boolean;
}

/** Part of the bounds kept for requests that are on their way and for clocks that differ in speed. */
const marginMs = 400;

export function createFreshness(
    follower: Pick<catalog.CatalogFollower, "ageMs" | "confirm">,
    settings: Pick<GatewaySettings, "keyWithdrawalMs" | "configApplyMs">,
): Freshness {
    const within = (limitMs: number): boolean => follower.ageMs() <= limitMs;
    const ask = (limitMs: number): Promise<boolean> | true =>
        within(limitMs) ? true : follower.confirm().then(() => within(limitMs));
    return {
        mayAcceptKeys: () => ask(settings.keyWithdrawalMs - marginMs),
        mayDenyUnknown: () => ask(settings.configApplyMs - marginMs),
        acceptsKeysNow: () => within(settings.keyWithdrawalMs - marginMs),
    };
}
