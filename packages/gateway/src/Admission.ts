import type * as catalog from "@peridotloft/catalog";
import type * as core from "@peridotloft/core";
import { err, ok, type Result } from "neverthrow";
import type { Freshness } from "./Freshness.js";
import { createRefusal, type Refusal } from "./Refusal.js";
import type { CallerRequest } from "./WireCodec.js";

/** A request that the configuration in force allows. */
export interface AllowedRequest {
    readonly route: catalog.Route;
    readonly customer: catalog.Customer | undefined;
}

/** Finds the route and the customer of a request. An unknown route or key is denied only on fresh knowledge. */
export async function allowRequest(
    read: () => catalog.CatalogSnapshot,
    freshness: Freshness,
    request: CallerRequest,
    path: string,
): Promise<Result<AllowedRequest, Refusal>> {
    const first = find(read(), request, path);
    const needsFresh = first.isErr()
        ? isDenial(first.error) && freshness.mayDenyUnknown()
        : first.value.customer !== undefined && freshness.mayAcceptKeys();
    if (needsFresh === true || needsFresh === false) {
        return first;
    }
    const isFresh = await needsFresh;
    const second = find(read(), request, path);
    return isFresh ? second : err(createRefusal("stale-configuration"));
}

function isDenial({ reason }: Refusal): boolean {
    return reason === "unknown-route" || reason === "unknown-key";
}

function find(
    snapshot: catalog.CatalogSnapshot,
    request: CallerRequest,
    path: string,
): Result<AllowedRequest, Refusal> {
    if (!snapshot.inForce) {
        return err(createRefusal("starting"));
    }
    const route = snapshot.inForce.routes.find(request.host, path);
    if (!route) {
        return err(createRefusal("unknown-route"));
    }
    if (route.open || snapshot.inForce.config.customers.length === 0) {
        return ok({ route, customer: undefined });
    }
    const customer = request.key === undefined ? undefined : snapshot.inForce.customersByKey.get(request.key);
    return customer ? ok({ route, customer }) : err(createRefusal("unknown-key"));
}

/** Chooses one of the route's pools by weight. */
export function choosePool(route: catalog.Route, random: core.Random): core.PoolId | undefined {
    const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
    let left = random() * total;
    return route.targets.find(({ weight }) => (left -= weight) < 0)?.pool ?? route.targets.at(0)?.pool;
}
