import type * as catalog from "@peridotloft/catalog";
import type * as core from "@peridotloft/core";

/** The pools to which each route has led. */
export interface RoutePools {
    /** Pools to which the route leads, or has led within the last `ageMs`. */
    within(route: core.RouteId, ageMs: number): readonly core.PoolId[];
    dispose(): void;
}

/** @param onChanged called when a route leads to another pool than before. */
export function createRoutePools(
    catalogCell: core.SnapshotCell<catalog.CatalogSnapshot>,
    clock: core.Clock,
    onChanged: () => void,
): RoutePools {
    /** Times in ms at which each route last led to a pool; infinite for the pools to which it leads now. */
    const lastSeenMs = new Map<core.RouteId, Map<core.PoolId, number>>();
    let config: catalog.FleetConfig | undefined;

    function recordRoute({ id, targets }: catalog.Route): boolean {
        const known = lastSeenMs.get(id) ?? new Map<core.PoolId, number>();
        lastSeenMs.set(id, known);
        const hasChanged = known.size > 0
            && targets.some(({ pool }) => known.get(pool) !== Number.POSITIVE_INFINITY);
        const nowMs = clock.nowMs();
        known.forEach((atMs, pool) => known.set(pool, Math.min(atMs, nowMs)));
        targets.forEach(({ pool }) => known.set(pool, Number.POSITIVE_INFINITY));
        return hasChanged;
    }

    const subscription = catalogCell.changes.subscribe(({ activeConfig }) => {
        if (!activeConfig || activeConfig.config === config) {
            return;
        }
        config = activeConfig.config;
        const current = new Set(config.routes.map(({ id }) => id));
        [...lastSeenMs.keys()].filter(id => !current.has(id)).forEach(id => lastSeenMs.delete(id));
        if (config.routes.filter(recordRoute).length > 0) {
            onChanged();
        }
    });

    return {
        within: (route, ageMs) =>
            [...lastSeenMs.get(route) ?? []]
                .filter(([, atMs]) => clock.nowMs() - atMs <= ageMs)
                .map(([pool]) => pool),
        dispose: () => subscription.unsubscribe(),
    };
}
