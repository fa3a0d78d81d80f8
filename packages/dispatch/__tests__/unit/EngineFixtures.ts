import type * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";

export const pool = core.poolId("llm");
/** Assumed prefill rate of an engine in tokens/ms with `configOf`: 1.5 times its share of the stated throughput. */
export const prefillTokensPerMs = 75;
const statedTokensPerMs = 50;

export const route: catalog.Route = {
    id: core.routeId("chat"),
    host: "api.example",
    pathPrefix: "/chat/",
    kind: "stream",
    targets: [{ pool, weight: 1 }],
    timeoutMs: 5_000,
    objectiveMs: 600,
    priority: 1,
    maxAttempts: 1,
    open: false,
    resumable: false,
    maxEventGapMs: undefined,
};

const configOf = (engines: number, slots: number, coldRatePerS: number): catalog.FleetConfig => ({
    version: 1,
    routes: [route],
    pools: [{
        id: pool,
        maxConnections: 1_000,
        coldStartMs: 0,
        coldRatePerS,
        engine: { slots, cacheTokens: 314_200 },
    }],
    customers: [],
    limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 10_000,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 5_000,
        tokensPerS: statedTokensPerMs * 1_000 * engines,
    },
});

export const upstreamOf = (id: string, more: Partial<catalog.Upstream> = {}): catalog.Upstream => ({
    id: core.upstreamId(id),
    pool,
    host: "10.1.0.1",
    port: 8_000,
    zone: core.zoneId("z1"),
    slots: 128,
    leaving: false,
    softwareVersion: "v1",
    coldLeftMs: 0,
    startedWallMs: 1,
    sequence: undefined,
    ...more,
});

/** The changes that publish a configuration and its engines. */
export const fleetChanges = (engines: number, slots: number, coldRatePerS = 0): catalog.PositionedChange[] => [
    {
        item: "config",
        position: { era: 0, revision: 1 },
        change: { kind: "config", config: configOf(engines, slots, coldRatePerS) },
    },
    ...Array.from({ length: engines }, (_, index): catalog.PositionedChange => ({
        item: `servers/i-${index}`,
        position: { era: 0, revision: index + 2 },
        change: { kind: "upstream", upstream: upstreamOf(`i-${index}`, { port: 8_000 + index, slots }) },
    })),
];
