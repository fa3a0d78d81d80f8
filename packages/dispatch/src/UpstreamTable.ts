import type * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";
import { type ColdLimiter, createColdLimiter } from "./ColdLimiter.js";
import type { FleetView } from "./FleetView.js";
import type { AttemptOutcome, Job, Lease } from "./Job.js";
import { createPrefixCache, type PrefixCache } from "./PrefixCache.js";
import { createUpstreamHealth, type UpstreamHealth } from "./UpstreamHealth.js";

export interface UpstreamTableOptions {
    readonly clock: core.Clock;
    readonly catalog: core.SnapshotCell<catalog.CatalogSnapshot>;
    readonly fleet: FleetView;
    readonly log: telemetry.EventLog;
    readonly metrics: telemetry.Metrics;
}

/** What this VM knows of one upstream from its own requests. */
export interface UpstreamState {
    readonly upstream: catalog.KnownUpstream;
    readonly health: UpstreamHealth;
    readonly cache: PrefixCache;
    /** Requests of this VM that run there. */
    readonly running: number;
    /** Prompt tokens of this VM's requests that wait for their first event there. */
    readonly unreadTokens: number;
    occupy(job: Job, newTokens: number): Lease;
}

/** The state of each registered upstream. */
export interface UpstreamTable {
    stateOf(id: core.UpstreamId): UpstreamState;
    /** Upstreams of a pool that may be sent to now: not leaving, not evacuated, within the cold limit, not tried. */
    usableOf(
        pool: core.PoolId,
        snapshot: catalog.CatalogSnapshot,
        tried: ReadonlySet<core.UpstreamId>,
    ): readonly UpstreamState[];
    /** Most upstreams that the pool had at once since the start of this process. */
    largestPoolSize(pool: core.PoolId): number;
    dispose(): void;
}

/** Part of a cold upstream's rate that the fleet uses. The rest covers VMs that are not known yet. */
const coldRateShare = 0.8;
/** VMs assumed where none were heard, so that a VM that starts alone cannot overload a cold upstream. */
const assumedVms = 10;

export function createUpstreamTable(options: UpstreamTableOptions): UpstreamTable {
    const { clock, log, metrics, fleet } = options;
    const states = new Map<core.UpstreamId, MutableState>();
    const largest = new Map<core.PoolId, number>();

    function poolOf(id: core.PoolId): catalog.Pool | undefined {
        return options.catalog.read().inForce?.pools.get(id);
    }

    const subscription = options.catalog.changes.subscribe(snapshot => {
        [...states.keys()].filter(id => !snapshot.upstreams.has(id)).forEach(id => states.delete(id));
        snapshot.upstreams.forEach(upstream => {
            const known = states.get(upstream.id);
            if (known && isSameRun(known.upstream, upstream)) {
                known.upstream = upstream;
            }
            else {
                // An upstream that starts again under its id holds nothing of its earlier run.
                states.set(upstream.id, createState(upstream));
            }
        });
        snapshot.upstreamsByPool.forEach((list, pool) =>
            largest.set(pool, Math.max(largest.get(pool) ?? 0, list.length))
        );
    });

    function createState(upstream: catalog.KnownUpstream): MutableState {
        const cacheTokens = (): number =>
            (poolOf(upstream.pool)?.engine?.cacheTokens ?? 0) / Math.max(1, fleet.vmCount());
        const state: MutableState = {
            upstream,
            running: 0,
            unreadTokens: 0,
            cold: undefined,
            cache: createPrefixCache(cacheTokens),
            health: createUpstreamHealth((forMs, failureShare) => {
                metrics.count("ejections");
                log.state("upstream-ejected", { upstream: upstream.id, forMs, failureShare });
            }),
            occupy: (job, newTokens) => occupy(state, job, newTokens),
        };
        return state;
    }

    function occupy(state: MutableState, job: Job, newTokens: number): Lease {
        let unread = newTokens;
        let open = true;
        const placedAt = state.upstream;
        state.running++;
        state.unreadTokens += unread;
        state.health.notePlaced(clock.nowMs());
        if (job.prompt) {
            state.cache.touch(job.prompt.parts);
        }
        const read = (): void => {
            state.unreadTokens -= unread;
            unread = 0;
        };
        return {
            upstream: placedAt,
            mayWrite: () => states.get(placedAt.id) === state && isOpenTo(state.upstream, options.catalog.read()),
            noteFirstByte: read,
            end(outcome: AttemptOutcome) {
                core.invariant(open, "a lease ends once");
                open = false;
                read();
                state.running--;
                state.health.note(outcome, clock.nowMs());
                metrics.count("attempts", { outcome });
            },
        };
    }

    function isWithinColdLimit(state: MutableState): boolean {
        const nowMs = clock.nowMs();
        if (state.upstream.coldUntilMs <= nowMs) {
            state.cold = undefined;
            return true;
        }
        const ratePerS = poolOf(state.upstream.pool)?.coldRatePerS ?? 0;
        if (ratePerS <= 0) {
            return true;
        }
        const vmCount = fleet.vmCount() > 1 ? fleet.vmCount() : assumedVms;
        state.cold ??= createColdLimiter((ratePerS * coldRateShare) / vmCount, nowMs);
        return state.cold.tryTake(nowMs);
    }

    return {
        stateOf(id) {
            const state = states.get(id);
            core.invariant(state, "the upstream was chosen from the table");
            return state;
        },
        usableOf(pool, snapshot, tried) {
            const open = (snapshot.upstreamsByPool.get(pool) ?? [])
                .filter(upstream => isOpenTo(upstream, snapshot) && !tried.has(upstream.id))
                .flatMap(upstream => states.get(upstream.id) ?? []);
            const nowMs = clock.nowMs();
            const warm = open.filter(state => state.upstream.coldUntilMs <= nowMs);
            // Cold upstreams bear little; they are used only where no other is left.
            return warm.length > 0 ? warm : open.filter(isWithinColdLimit);
        },
        largestPoolSize: pool => largest.get(pool) ?? 0,
        dispose: () => subscription.unsubscribe(),
    };
}

interface MutableState extends UpstreamState {
    upstream: catalog.KnownUpstream;
    running: number;
    unreadTokens: number;
    cold: ColdLimiter | undefined;
}

function isSameRun(left: catalog.KnownUpstream, right: catalog.KnownUpstream): boolean {
    return left.startedWallMs === right.startedWallMs && left.host === right.host && left.port === right.port;
}

function isOpenTo(upstream: catalog.Upstream, snapshot: catalog.CatalogSnapshot): boolean {
    return !upstream.leaving && !snapshot.evacuatedZones.has(upstream.zone);
}
