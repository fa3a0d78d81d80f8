import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import { createGossipKeys, type GossipKeys } from "./GossipKeys.js";
import type { SchedulingPolicy } from "./SchedulingPolicy.js";

export interface UpstreamView {
    readonly upstream: documents.Upstream;
    readonly pool: documents.Pool;
    readonly inService: boolean;
}

/** Indexes of one document version, built once when the document is adopted. */
export interface DocumentView {
    readonly document: documents.FleetDocument;
    readonly upstreams: ReadonlyMap<core.UpstreamId, UpstreamView>;
    readonly pools: ReadonlyMap<core.PoolId, documents.Pool>;
    readonly customers: ReadonlyMap<core.CustomerId, documents.Customer>;
    readonly vmZones: ReadonlyMap<core.VmId, core.ZoneId>;
    readonly gossipKeys: GossipKeys;
    /** VMs that are not retired. */
    readonly vms: readonly core.VmId[];
}

export function createDocumentView(document: documents.FleetDocument, policy: SchedulingPolicy): DocumentView {
    const upstreams = document.pools.flatMap(pool =>
        pool.upstreams.map(upstream => ({
            upstream,
            pool,
            inService: policy.isInService(document, upstream),
        }))
    );
    return {
        document,
        upstreams: new Map(upstreams.map(view => [view.upstream.id, view])),
        pools: new Map(document.pools.map(pool => [pool.id, pool])),
        customers: new Map(document.customers.map(customer => [customer.id, customer])),
        vmZones: new Map(document.vms.map(vm => [vm.id, vm.zone])),
        gossipKeys: createGossipKeys(document),
        vms: document.vms.filter(vm => vm.state !== "retired").map(vm => vm.id),
    };
}
