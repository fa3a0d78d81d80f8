import type * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";

/** The pool and the software version that began a stream. Only upstreams of both can go on with it. */
export interface StreamOrigin {
    readonly pool: core.PoolId;
    /** Undefined if it is not known; no upstream can go on then. */
    readonly softwareVersion: string | undefined;
    /** Whether a VM has recorded that it began the stream; false if it was inferred. */
    readonly isRecorded: boolean;
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

/**
 * Largest age in ms of a catalog that is followed. Beyond it, upstreams may have started again with another version under their
 * ids.
 */
export const maxCatalogAgeMs = 3_000;
/** Interval in ms at which the age of the catalog is checked. */
const ageCheckIntervalMs = 250;
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

export function originHashOf({ pool, softwareVersion }: Pick<StreamOrigin, "pool" | "softwareVersion">): number {
    return core.hash32(`${pool} ${softwareVersion ?? ""}`);
}

export interface OriginHistoryOptions {
    readonly clock: core.Clock;
    readonly catalog: core.SnapshotCell<catalog.CatalogSnapshot>;
    /** Age of the catalog in ms: it may lack changes that were made within this time. */
    catalogAgeMs(): number;
    /** Called when an origin has appeared beside others of its pool. */
    onAdded(): void;
}

export function createOriginHistory(options: OriginHistoryOptions): OriginHistory {
    const { clock, catalog: catalogCell, onAdded } = options;
    const originsByPool = new Map<number, Map<number, KnownOrigin>>();
    let completeSinceMs = Number.POSITIVE_INFINITY;

    function recordPool(pool: core.PoolId, upstreams: readonly catalog.KnownUpstream[], nowMs: number): boolean {
        const known = originsByPool.get(poolHashOf(pool)) ?? new Map<number, KnownOrigin>();
        originsByPool.set(poolHashOf(pool), known);
        const present = new Map(
            [...new Set(upstreams.map(({ softwareVersion }) => softwareVersion))]
                .map(softwareVersion => ({ pool, softwareVersion, isRecorded: false }))
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

    /** Versions that came and left while the catalog was not followed are unknown. */
    function checkAge(): void {
        if (options.catalogAgeMs() > maxCatalogAgeMs && Number.isFinite(completeSinceMs)) {
            completeSinceMs = clock.nowMs();
        }
    }

    const subscription = catalogCell.changes.subscribe(record);
    const stopChecking = core.setRepeatingTimer(clock, ageCheckIntervalMs, checkAge);

    return {
        within(poolHashes, ageMs) {
            checkAge();
            const nowMs = clock.nowMs();
            const seen = poolHashes.flatMap(poolHash => [...originsByPool.get(poolHash) ?? []])
                .filter(([, { lastSeenMs }]) => nowMs - lastSeenMs <= ageMs);
            return {
                origins: new Map(seen.map(([hash, { origin }]) => [hash, origin])),
                isComplete: nowMs - completeSinceMs >= ageMs,
            };
        },
        dispose() {
            subscription.unsubscribe();
            stopChecking();
        },
    };
}
