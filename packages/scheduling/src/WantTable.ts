import type * as core from "@peridotloft/core";
import * as constants from "./SchedulingConstants.js";

export interface WantEntry {
    readonly customer: core.CustomerId;
    readonly waiting: number;
    readonly estimatedCost: number;
    readonly oldestWaitMs: number;
    /** Upstreams at which the oldest request has failed. */
    readonly excluded: readonly core.UpstreamId[];
}

/** A customer with waiting requests on another VM. */
export interface RemoteWaiter {
    readonly from: core.VmId;
    readonly customer: core.CustomerId;
    readonly estimatedCost: number;
    /** Sequence number of the want; the grant refers to it. */
    readonly sequence: number;
    /** Time in ms on this VM's clock at which the oldest request began to wait. */
    readonly waitingSinceMs: number;
    readonly excluded: readonly core.UpstreamId[];
}

/** The latest wants of other VMs. A want announces how many requests of each customer wait on a VM for slots of a pool. */
export interface WantTable {
    /** Replaces the VM's previous want for this pool; false if a newer want is already present. */
    replaceWant(
        from: core.VmId,
        incarnation: number,
        pool: core.PoolId,
        sequence: number,
        entries: readonly WantEntry[],
    ): boolean;
    /** The longest waiter of each customer, without the waiters on VMs that have not replied to a grant. */
    longestWaiters(pool: core.PoolId): readonly RemoteWaiter[];
    /** Subtracts one granted slot from the want of the waiter. */
    countGrant(pool: core.PoolId, waiter: RemoteWaiter): void;
    /** Removes the want of a VM that declined a grant, for one customer or, if undefined, for all. */
    removeWant(from: core.VmId, pool: core.PoolId, customer: core.CustomerId | undefined): void;
    pools(): readonly core.PoolId[];
}

interface Want {
    readonly incarnation: number;
    readonly sequence: number;
    readonly receivedMs: number;
    readonly remaining: Map<core.CustomerId, { waiting: number; waiter: RemoteWaiter; }>;
}

export function createWantTable(clock: core.Clock, hasOverdueGrant: (vm: core.VmId) => boolean): WantTable {
    const wantsByPool = new Map<core.PoolId, Map<core.VmId, Want>>();

    const isOutdated = (current: Want, incarnation: number, sequence: number): boolean =>
        incarnation < current.incarnation || (incarnation === current.incarnation && sequence <= current.sequence);

    return {
        replaceWant(from, incarnation, pool, sequence, entries) {
            const poolWants = wantsByPool.get(pool) ?? new Map<core.VmId, Want>();
            wantsByPool.set(pool, poolWants);
            const current = poolWants.get(from);
            if (current && isOutdated(current, incarnation, sequence)) {
                return false;
            }
            const receivedMs = clock.nowMs();
            const remaining = new Map(
                entries.map(({ customer, waiting, estimatedCost, oldestWaitMs, excluded }) => [customer, {
                    waiting,
                    waiter: {
                        from,
                        customer,
                        estimatedCost,
                        sequence,
                        waitingSinceMs: receivedMs - oldestWaitMs,
                        excluded,
                    },
                }]),
            );
            poolWants.set(from, { incarnation, sequence, receivedMs, remaining });
            return true;
        },
        longestWaiters(pool) {
            const oldestMs = clock.nowMs() - constants.wantLifetimeMs;
            const longest = new Map<core.CustomerId, RemoteWaiter>();
            wantsByPool.get(pool)?.forEach((want, from) => {
                if (want.receivedMs < oldestMs) {
                    want.remaining.clear();
                }
                if (want.remaining.size === 0 || hasOverdueGrant(from)) {
                    return;
                }
                want.remaining.forEach(({ waiter }, customer) => {
                    const best = longest.get(customer);
                    if (!best || waiter.waitingSinceMs < best.waitingSinceMs) {
                        longest.set(customer, waiter);
                    }
                });
            });
            return [...longest.values()];
        },
        countGrant(pool, { from, customer }) {
            const remaining = wantsByPool.get(pool)?.get(from)?.remaining;
            const entry = remaining?.get(customer);
            if (entry && --entry.waiting <= 0) {
                remaining?.delete(customer);
            }
        },
        removeWant(from, pool, customer) {
            const remaining = wantsByPool.get(pool)?.get(from)?.remaining;
            if (customer === undefined) {
                remaining?.clear();
            }
            else {
                remaining?.delete(customer);
            }
        },
        pools: () => [...wantsByPool.keys()],
    };
}
