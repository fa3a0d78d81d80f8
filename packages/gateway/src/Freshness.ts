import type * as catalog from "@peridotloft/catalog";
import type { GatewaySettings } from "./GatewaySettings.js";

/** Decides whether the configuration is recent enough to accept or refuse a request. */
export interface Freshness {
    /** Whether a key in the configuration may be accepted. Confirms a configuration that is too old with the store first. */
    mayAcceptKeys(): Promise<boolean> | true;
    /** Whether a key or route that the configuration lacks may be refused as unknown. Confirms like `mayAcceptKeys`. */
    mayRefuseUnknown(): Promise<boolean> | true;
    /** Like `mayAcceptKeys`, but without a call to the store. */
    acceptsKeysWithoutConfirming(): boolean;
}

/** Margin in ms within the bounds for requests in flight and for clock drift. */
const boundMarginMs = 400;

export function createFreshness(
    follower: Pick<catalog.CatalogFollower, "ageMs" | "confirm">,
    settings: Pick<GatewaySettings, "keyWithdrawalMs" | "configApplyMs">,
): Freshness {
    const isWithin = (limitMs: number): boolean => follower.ageMs() <= limitMs;
    const confirmWithin = (limitMs: number): Promise<boolean> | true =>
        isWithin(limitMs) ? true : follower.confirm().then(() => isWithin(limitMs));
    return {
        mayAcceptKeys: () => confirmWithin(settings.keyWithdrawalMs - boundMarginMs),
        mayRefuseUnknown: () => confirmWithin(settings.configApplyMs - boundMarginMs),
        acceptsKeysWithoutConfirming: () => isWithin(settings.keyWithdrawalMs - boundMarginMs),
    };
}
