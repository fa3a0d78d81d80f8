import type * as core from "@peridotloft/core";

/**
 * Determines whether a request may be retried:
 *
 * - `idempotent`: may run more than once.
 * - `non-idempotent`: runs at most once for each attempt of a caller.
 * - `stream`: the response is an event stream; runs once unless its route is resumable.
 */
export type RequestKind = "idempotent" | "non-idempotent" | "stream";

/** A pool that receives a weighted share of a route's requests. */
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
    /** Longest time in ms that a caller waits for the response. */
    readonly timeoutMs: number;
    /** Latency objective in ms for the response, or for the first event of a stream. */
    readonly objectiveMs: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Maximum number of upstreams to which one attempt of a caller is sent. */
    readonly maxAttempts: number;
    /** Whether requests are accepted without a key. */
    readonly open: boolean;
    /** Whether an interrupted stream may resume at another upstream after its last event. */
    readonly resumable: boolean;
    /** Objective in ms for the gap between events of a stream; undefined if none is configured. */
    readonly maxEventGapMs: number | undefined;
}

/** Properties of the engines of a pool. */
export interface EngineTraits {
    /** Requests that one engine processes concurrently. */
    readonly slots: number;
    /** Tokens that an engine's KV cache holds. */
    readonly cacheTokens: number;
}

export interface Pool {
    readonly id: core.PoolId;
    /** Connections that one upstream accepts from all VMs together. */
    readonly maxConnections: number;
    /** Time in ms for which an upstream is cold after its start. */
    readonly coldStartMs: number;
    /** Rate limit of a cold upstream in requests/s; 0 if there is none. */
    readonly coldRatePerS: number;
    /** Undefined for plain services. */
    readonly engine: EngineTraits | undefined;
}

export interface Customer {
    readonly id: core.CustomerId;
    readonly keys: readonly string[];
    /** Overrides the priority of the route. */
    readonly priority: number | undefined;
}

/** Bounds on what a caller may send. */
export interface EntryLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
    /** Throughput of all engines together: each input token counts once, each generated token twice. */
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
    /** Requests that it processes concurrently. */
    readonly slots: number;
    readonly leaving: boolean;
    /** Version of the software that it runs; undefined if another VM, of an earlier build, relayed its entry. */
    readonly softwareVersion: string | undefined;
    /** Time in ms for which it remained cold when it registered. */
    readonly coldLeftMs: number;
    /** Start of its current run, in ms since 1970; undefined if it did not state one. */
    readonly startedWallMs: number | undefined;
    /** Number of this statement, which increases within a run; undefined if it did not state one. */
    readonly sequence: number | undefined;
}

/**
 * Position in the store's change history. A store that is restored from a copy begins a new era and issues revisions after
 * that of the copy again, so revisions of different eras are not comparable.
 */
export interface Position {
    /** Increases each time that the store is restored. */
    readonly era: number;
    /** Increases with each change within an era. */
    readonly revision: number;
}

/** The position before any change. */
export const initialPosition: Position = { era: 0, revision: 0 };

/** Whether a position is later than another one. */
export function isAfter(left: Position, right: Position): boolean {
    return left.era === right.era ? left.revision > right.revision : left.era > right.era;
}

/** Whether two positions are equal. */
export function isSamePosition(left: Position | undefined, right: Position | undefined): boolean {
    return left?.era === right?.era && left?.revision === right?.revision;
}

/** A change of one published item. */
export type CatalogChange =
    | { readonly kind: "config"; readonly config: FleetConfig; }
    | { readonly kind: "upstream"; readonly upstream: Upstream; }
    | { readonly kind: "upstream-removed"; readonly id: core.UpstreamId; }
    | { readonly kind: "zone-evacuated"; readonly zone: core.ZoneId; }
    | { readonly kind: "zone-restored"; readonly zone: core.ZoneId; }
    | { readonly kind: "unreadable"; readonly upstream: core.UpstreamId | undefined; readonly reason: string; };

/** A change with the item it belongs to and its position in the store's history. */
export interface PositionedChange {
    /** Name of the item in the store. */
    readonly item: string;
    readonly position: Position;
    readonly change: CatalogChange;
}
