import type * as core from "@peridotloft/core";
import type { Customer, FleetConfig, Pool, PositionedChange, Upstream } from "./Catalog.js";
import { createRouteTable, type RouteTable } from "./RouteTable.js";

/** A registered upstream with the time at which this VM learned of it. */
export interface KnownUpstream extends Upstream {
    /** Time in ms on this VM's clock until which it is cold. */
    readonly coldUntilMs: number;
    /** Time in ms on this VM's clock at which this entry was learned. */
    readonly learnedMs: number;
}

/** The active configuration with its lookup tables. */
export interface ActiveConfig {
    readonly config: FleetConfig;
    readonly routes: RouteTable;
    readonly pools: ReadonlyMap<core.PoolId, Pool>;
    readonly customersByKey: ReadonlyMap<string, Customer>;
}

/** This VM's copy of everything that the platform publishes. */
export interface CatalogSnapshot {
    readonly activeConfig: ActiveConfig | undefined;
    readonly upstreams: ReadonlyMap<core.UpstreamId, KnownUpstream>;
    readonly upstreamsByPool: ReadonlyMap<core.PoolId, readonly KnownUpstream[]>;
    readonly evacuatedZones: ReadonlySet<core.ZoneId>;
}

export const emptySnapshot: CatalogSnapshot = {
    activeConfig: undefined,
    upstreams: new Map(),
    upstreamsByPool: new Map(),
    evacuatedZones: new Set(),
};

/** Builds the lookup tables of a configuration. */
export function indexConfig(config: FleetConfig): ActiveConfig {
    return {
        config,
        routes: createRouteTable(config.routes),
        pools: new Map(config.pools.map(pool => [pool.id, pool])),
        customersByKey: new Map(config.customers.flatMap(customer => customer.keys.map(key => [key, customer]))),
    };
}

/** Applies changes in order. Returns the same snapshot if there are no changes. */
export function applyChanges(
    snapshot: CatalogSnapshot,
    changes: readonly PositionedChange[],
    nowMs: number,
): CatalogSnapshot {
    if (changes.length === 0) {
        return snapshot;
    }
    // Copied once for all changes, so that applying a listing of thousands of upstreams takes linear time.
    const upstreams = new Map(snapshot.upstreams);
    const evacuatedZones = new Set(snapshot.evacuatedZones);
    let active = snapshot.activeConfig;
    changes.forEach(({ change }) => {
        switch (change.kind) {
            case "config":
                active = newerConfig(active, change.config);
                break;
            case "upstream":
                upstreams.set(change.upstream.id, {
                    ...change.upstream,
                    coldUntilMs: nowMs + change.upstream.coldLeftMs,
                    learnedMs: nowMs,
                });
                break;
            case "upstream-removed":
                upstreams.delete(change.id);
                break;
            case "zone-evacuated":
                evacuatedZones.add(change.zone);
                break;
            case "zone-restored":
                evacuatedZones.delete(change.zone);
                break;
            case "unreadable":
                if (change.upstream !== undefined) {
                    upstreams.delete(change.upstream);
                }
                break;
        }
    });
    return { activeConfig: active, upstreams, upstreamsByPool: groupByPool(upstreams.values()), evacuatedZones };
}

// An active version is never replaced by an older one, which a stale response may contain.
function newerConfig(current: ActiveConfig | undefined, config: FleetConfig): ActiveConfig {
    return current && current.config.version >= config.version ? current : indexConfig(config);
}

function groupByPool(upstreams: Iterable<KnownUpstream>): ReadonlyMap<core.PoolId, readonly KnownUpstream[]> {
    const byPool = new Map<core.PoolId, KnownUpstream[]>();
    [...upstreams].forEach(upstream => {
        const list = byPool.get(upstream.pool) ?? [];
        list.push(upstream);
        byPool.set(upstream.pool, list);
    });
    return byPool;
}
