import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import murmurhash from "murmurhash";

export interface TotalName {
    readonly pool: core.PoolId;
    readonly customer: core.CustomerId;
}

/** Numbers the customers of all pools and the upstreams, so that gossip needs one or two bytes for a name. */
export interface GossipKeys {
    /** Hash of all names in order. Numbers mean the same on two VMs only if their digests are equal. */
    readonly digest: number;
    /** Undefined for a customer that the document does not name. */
    keyOfTotal(pool: core.PoolId, customer: core.CustomerId): number | undefined;
    findTotal(key: number): TotalName | undefined;
    /** Undefined for an upstream that the document does not name. */
    keyOfUpstream(upstream: core.UpstreamId): number | undefined;
    findUpstream(key: number): core.UpstreamId | undefined;
}

export function createGossipKeys(document: documents.FleetDocument): GossipKeys {
    const customers = document.customers.map(customer => customer.id).sort();
    const pools = document.pools.map(pool => pool.id).sort();
    const upstreams = document.pools.flatMap(pool => pool.upstreams.map(upstream => upstream.id)).sort();
    const names = pools.flatMap(pool => customers.map(customer => ({ pool, customer })));
    const textOf = ({ pool, customer }: TotalName): string => `${pool}/${customer}`;
    const totalKeys = new Map(names.map((name, key) => [textOf(name), key]));
    const upstreamKeys = new Map(upstreams.map((upstream, key) => [upstream, key]));
    return {
        digest: murmurhash.v3([...names.map(textOf), ...upstreams].join("\n")),
        keyOfTotal: (pool, customer) => totalKeys.get(textOf({ pool, customer })),
        findTotal: key => names[key],
        keyOfUpstream: upstream => upstreamKeys.get(upstream),
        findUpstream: key => upstreams[key],
    };
}
