import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import murmurhash from "murmurhash";

/** A customer of one pool, for which service totals are kept. */
export interface PoolCustomer {
    readonly pool: core.PoolId;
    readonly customer: core.CustomerId;
}

/** Assigns numbers to upstreams and to the customers of each pool, so that gossip needs one or two bytes for a name. */
export interface GossipKeys {
    /** Hash of all names in order. Two VMs assign the same numbers only if their digests are equal. */
    readonly digest: number;
    /** Undefined for a customer that the document does not name. */
    keyOfTotal(pool: core.PoolId, customer: core.CustomerId): number | undefined;
    findTotal(key: number): PoolCustomer | undefined;
    /** Undefined for an upstream that the document does not name. */
    keyOfUpstream(upstream: core.UpstreamId): number | undefined;
    findUpstream(key: number): core.UpstreamId | undefined;
}

export function createGossipKeys(document: documents.FleetDocument): GossipKeys {
    const customers = document.customers.map(customer => customer.id).sort();
    const pools = document.pools.map(pool => pool.id).sort();
    const upstreams = document.pools.flatMap(pool => pool.upstreams.map(upstream => upstream.id)).sort();
    const poolCustomers = pools.flatMap(pool => customers.map(customer => ({ pool, customer })));
    const textOf = ({ pool, customer }: PoolCustomer): string => `${pool}/${customer}`;
    const totalKeys = new Map(poolCustomers.map((name, key) => [textOf(name), key]));
    const upstreamKeys = new Map(upstreams.map((upstream, key) => [upstream, key]));
    return {
        digest: murmurhash.v3([...poolCustomers.map(textOf), ...upstreams].join("\n")),
        keyOfTotal: (pool, customer) => totalKeys.get(textOf({ pool, customer })),
        findTotal: key => poolCustomers[key],
        keyOfUpstream: upstream => upstreamKeys.get(upstream),
        findUpstream: key => upstreams[key],
    };
}
