import type * as core from "@peridotloft/core";

/**
 * What may be repeated:
 *
 * - `idempotent`: may run more than once.
 * - `non-idempotent`: runs at most once for each attempt of a caller.
 * - `stream`: answers with events; runs once unless its route is resumable.
 */
export type RequestKind = "idempotent" | "non-idempotent" | "stream";

/** A pool that takes part of a route's requests. */
export interface RouteTarget {
    readonly pool: core.PoolId;
    readonly weight: number;
}

export interface Route {
    readonly id: core.RouteId;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RequestKind;
    readonly targets: readonly RouteTarget[];
    /** Longest time in ms that a caller is kept waiting. */
    readonly timeoutMs: number;
    /** Time in ms within which an answer, or the first event of a stream, is on time. */
    readonly objectiveMs: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Most upstreams that one attempt of a caller may be sent to. */
    readonly maxAttempts: number;
    /** Whether requests need no key. */
    readonly open: boolean;
    /** Whether a stream may go on at another upstream after its last event. */
    readonly resumable: boolean;
    /** Longest pause in ms between events of a stream that is on time; undefined where none is set. */
    readonly maxEventGapMs: number | undefined;
}

/** What is known of the engines of a pool. */
export interface EngineTraits {
    /** Requests that one engine processes at once. */
    readonly slots: number;
    /** Tokens that an engine's KV cache holds. */
    readonly cacheTokens: number;
}

export interface Pool {
    readonly id: core.PoolId;
    /** Connections that one upstream accepts from all VMs together. */
    readonly maxConnections: number;
    /** Time in ms after its start for which an upstream is cold. */
    readonly coldStartMs: number;
    /** Requests/s that a cold upstream bears; 0 when there is no limit. */
    readonly coldRatePerS: number;
    /** Undefined for plain services. */
    readonly engine: EngineTraits | undefined;
}

export interface Customer {
    readonly id: core.CustomerId;
    readonly keys: readonly string[];
    /** Goes before the priority of the route. */
    readonly priority: number | undefined;
}

/** Bounds on what a caller may send. */
export interface EntryLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
    /** Throughput of all engines together: each token read counts once, each generated token twice. */
    readonly tokensPerS: number | undefined;
}

/** One version of the configuration. */
export interface FleetConfig {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly pools: readonly Pool[];
    readonly customers: readonly Customer[];
    readonly limits: EntryLimits;
}

/** An upstream as it registered itself. */
export interface Upstream {
    readonly id: core.UpstreamId;
    readonly pool: core.PoolId;
    /** IPv4 address. */
    readonly host: string;
    readonly port: number;
    readonly zone: core.ZoneId;
    /** Requests that it processes at once. */
    readonly slots: number;
    readonly leaving: boolean;
    /** Time in ms for which it stayed cold when it said so. */
    readonly coldLeftMs: number;
    /** Start of this run, in ms since 1970; undefined if it did not say. */
    readonly startedWallMs: number | undefined;
}

/** Position in the history of the store. Grows with each change. */
export type Position = number;

/** A change of one published item. */
export type CatalogChange =
    | { readonly kind: "config"; readonly config: FleetConfig; }
    | { readonly kind: "upstream"; readonly upstream: Upstream; }
    | { readonly kind: "upstream-removed"; readonly id: core.UpstreamId; }
    | { readonly kind: "zone-evacuated"; readonly zone: core.ZoneId; }
    | { readonly kind: "zone-restored"; readonly zone: core.ZoneId; }
    | { readonly kind: "unreadable"; readonly upstream: core.UpstreamId | undefined; readonly reason: string; };

/** A change with its place in the store. */
export interface PlacedChange {
    /** Name of the item in the store. */
    readonly item: string;
    readonly position: Position;
    readonly change: CatalogChange;
}
