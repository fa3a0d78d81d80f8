import type * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";

/** The pool and the software version that began a stream. Only upstreams of both can go on with it. */
export interface StreamOrigin {
    readonly pool: core.PoolId;
    /** Undefined if the upstream stated none; no upstream can go on then. */
    readonly softwareVersion: string | undefined;
}

export interface SeenOrigins {
    /** By the hash of the origin. */
    readonly origins: ReadonlyMap<number, StreamOrigin>;
    /** Whether this VM has known the upstreams for that time, so that no other origin is possible. */
    readonly isComplete: boolean;
}

/** The software versions that the upstreams of each pool have had. */
export interface OriginHistory {
    /** Origins that upstreams of the pools had within the last `ageMs`. */
    within(poolHashes: readonly number[], ageMs: number): SeenOrigins;
    dispose(): void;
}

/** Time in ms after which an origin without upstreams is forgotten. */
const retentionMs = 600_000;

interface KnownOrigin {
    readonly origin: StreamOrigin;
    /** Infinite as long as an upstream has it. */
    lastSeenMs: number;
}

function isPresent(known: KnownOrigin | undefined): boolean {
    return known?.lastSeenMs === Number.POSITIVE_INFINITY;
}

export function poolHashOf(pool: core.PoolId): number {
    return core.hash32(pool);
}

export function originHashOf({ pool, softwareVersion }: StreamOrigin): number {
    return core.hash32(`${pool} ${softwareVersion ?? ""}`);
}

/** @param onAdded called when an origin has appeared beside others of its pool. */
export function createOriginHistory(
    catalogCell: core.SnapshotCell<catalog.CatalogSnapshot>,
    clock: core.Clock,
    onAdded: () => void,
): OriginHistory {
    const originsByPool = new Map<number, Map<number, KnownOrigin>>();
    let completeSinceMs = Number.POSITIVE_INFINITY;

    function recordPool(pool: core.PoolId, upstreams: readonly catalog.KnownUpstream[], nowMs: number): boolean {
        const known = originsByPool.get(poolHashOf(pool)) ?? new Map<number, KnownOrigin>();
        originsByPool.set(poolHashOf(pool), known);
        const present = new Map(
            [...new Set(upstreams.map(({ softwareVersion }) => softwareVersion))]
                .map(softwareVersion => ({ pool, softwareVersion }))
                .map(origin => [originHashOf(origin), origin]),
        );
        const hasAdded = known.size > 0 && [...present.keys()].some(hash => !isPresent(known.get(hash)));
        known.forEach((entry, hash) => {
            if (!present.has(hash)) {
                entry.lastSeenMs = Math.min(entry.lastSeenMs, nowMs);
            }
            if (nowMs - entry.lastSeenMs > retentionMs) {
                known.delete(hash);
            }
        });
        present.forEach((origin, hash) => known.set(hash, { origin, lastSeenMs: Number.POSITIVE_INFINITY }));
        return hasAdded;
    }

    function record(snapshot: catalog.CatalogSnapshot): void {
        if (snapshot.upstreams.size === 0 && originsByPool.size === 0) {
            return;
        }
        const nowMs = clock.nowMs();
        completeSinceMs = Math.min(completeSinceMs, nowMs);
        const pools = [...snapshot.upstreamsByPool];
        const present = new Set(pools.map(([pool]) => poolHashOf(pool)));
        originsByPool.forEach((known, poolHash) => {
            if (!present.has(poolHash)) {
                known.forEach(entry => void (entry.lastSeenMs = Math.min(entry.lastSeenMs, nowMs)));
            }
        });
        const added = pools.filter(([pool, upstreams]) => recordPool(pool, upstreams, nowMs));
        if (added.length > 0) {
            onAdded();
        }
    }

    record(catalogCell.read());
    const subscription = catalogCell.changes.subscribe(record);

    return {
        within(poolHashes, ageMs) {
            const nowMs = clock.nowMs();
            const seen = poolHashes.flatMap(poolHash => [...originsByPool.get(poolHash) ?? []])
                .filter(([, { lastSeenMs }]) => nowMs - lastSeenMs <= ageMs);
            return {
                origins: new Map(seen.map(([hash, { origin }]) => [hash, origin])),
                isComplete: nowMs - completeSinceMs >= ageMs,
            };
        },
        dispose: () => subscription.unsubscribe(),
    };
}
