import type * as core from "@peridotloft/core";
import { createHash } from "node:crypto";
import type { FleetDocument, Pool, ServiceState, Upstream } from "./FleetDocument.js";

const severity: Record<ServiceState, number> = { "in-service": 0, "leaving": 1, "out": 2 };

/** Returns the state of an upstream or of its availability zone, whichever is more restrictive. */
export function effectiveUpstreamState(document: FleetDocument, upstream: Upstream): ServiceState {
    const zoneState = document.zones.find(zone => zone.id === upstream.zone)?.state ?? "out";
    return severity[zoneState] > severity[upstream.state] ? zoneState : upstream.state;
}

export function findPool(document: FleetDocument, id: core.PoolId): Pool | undefined {
    return document.pools.find(pool => pool.id === id);
}

export function findPoolOfModel(document: FleetDocument, model: string): Pool | undefined {
    return document.pools.find(pool => pool.kind === "engine" && pool.models.includes(model));
}

/** Returns the SHA-256 of a document's JSON text as 64 hex digits. It distinguishes documents of the same version. */
export function digestOf(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}
