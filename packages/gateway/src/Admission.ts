import type * as catalog from "@peridotloft/catalog";
import type * as core from "@peridotloft/core";
import { err, ok, type Result } from "neverthrow";
import type { Freshness } from "./Freshness.js";
import { createRefusal, type Refusal } from "./Refusal.js";
import type { CallerRequest } from "./WireCodec.js";

/** Route and customer of a request that the current configuration allows. */
export interface AllowedRequest {
    readonly route: catalog.Route;
    readonly customer: catalog.Customer | undefined;
}

/**
 * Resolves the route and the customer of a request. Refuses an unknown route or key only after it has checked that the
 * configuration is up to date.
 */
export async function allowRequest(
    read: () => catalog.CatalogSnapshot,
    freshness: Freshness,
    request: CallerRequest,
    path: string,
): Promise<Result<AllowedRequest, Refusal>> {
    const cached = resolveRouteAndCustomer(read(), request, path);
    const confirmation = cached.isErr()
        ? isUnknownRefusal(cached.error) && freshness.mayRefuseUnknown()
        : cached.value.customer !== undefined && freshness.mayAcceptKeys();
    if (confirmation === true || confirmation === false) {
        return cached;
    }
    const isConfirmed = await confirmation;
    const confirmed = resolveRouteAndCustomer(read(), request, path);
    return isConfirmed ? confirmed : err(createRefusal("stale-configuration"));
}

function isUnknownRefusal({ reason }: Refusal): boolean {
    return reason === "unknown-route" || reason === "unknown-key";
}

function resolveRouteAndCustomer(
    snapshot: catalog.CatalogSnapshot,
    request: CallerRequest,
    path: string,
): Result<AllowedRequest, Refusal> {
    if (!snapshot.activeConfig) {
        return err(createRefusal("starting"));
    }
    const route = snapshot.activeConfig.routes.find(request.host, path);
    if (!route) {
        return err(createRefusal("unknown-route"));
    }
    if (route.open || snapshot.activeConfig.config.customers.length === 0) {
        return ok({ route, customer: undefined });
    }
    const customer = request.key === undefined ? undefined : snapshot.activeConfig.customersByKey.get(request.key);
    return customer ? ok({ route, customer }) : err(createRefusal("unknown-key"));
}

/** Picks one of the route's pools at random, in proportion to the weights. */
export function choosePool(route: catalog.Route, random: core.Random): core.PoolId | undefined {
    const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
    let remaining = random() * total;
    return route.targets.find(({ weight }) => (remaining -= weight) < 0)?.pool ?? route.targets.at(0)?.pool;
}
