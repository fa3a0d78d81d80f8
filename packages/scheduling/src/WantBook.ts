import type * as core from "@peridotloft/core";
import * as constants from "./SchedulingConstants.js";

export interface WantEntry {
    readonly customer: core.CustomerId;
    readonly waiting: number;
    readonly estimatedCost: number;
    readonly oldestWaitMs: number;
}

/** A customer that waits on another VM. */
export interface RemoteWaiter {
    readonly from: core.VmId;
    readonly customer: core.CustomerId;
    readonly estimatedCost: number;
    /** Sequence number of the want, to be named in the grant. */
    readonly sequence: number;
    /** Time on this VM's clock at which its oldest request began to wait, in ms. */
    readonly sinceMs: number;
}

/** What other VMs are waiting for, as they last said. */
export interface WantBook {
    /** Replaces what the VM wanted before in this pool; false when a newer want is known. */
    put(
        from: core.VmId,
        incarnation: number,
        pool: core.PoolId,
        sequence: number,
        entries: readonly WantEntry[],
    ): boolean;
    /** One waiter for each customer, the one that has waited longest, from VMs that may be given slots. */
    waiters(pool: core.PoolId): readonly RemoteWaiter[];
    /** Counts one granted slot against the want. */
    take(pool: core.PoolId, waiter: RemoteWaiter): void;
    /** Forgets what a VM that declined a grant wanted, for one customer or for all. */
    drop(from: core.VmId, pool: core.PoolId, customer: core.CustomerId | undefined): void;
    pools(): readonly core.PoolId[];
}

interface Want {
    readonly incarnation: number;
    readonly sequence: number;
    readonly receivedMs: number;
    readonly left: Map<core.CustomerId, { waiting: number; waiter: RemoteWaiter; }>;
}

export function createWantBook(clock: core.Clock, isUnresponsive: (vm: core.VmId) => boolean): WantBook {
    const books = new Map<core.PoolId, Map<core.VmId, Want>>();

    const isOutdated = (known: Want, incarnation: number, sequence: number): boolean =>
        incarnation < known.incarnation || (incarnation === known.incarnation && sequence <= known.sequence);

    return {
        put(from, incarnation, pool, sequence, entries) {
            const book = books.get(pool) ?? new Map<core.VmId, Want>();
            books.set(pool, book);
            const known = book.get(from);
            if (known && isOutdated(known, incarnation, sequence)) {
                return false;
            }
            const receivedMs = clock.nowMs();
            const left = new Map(entries.map(({ customer, waiting, estimatedCost, oldestWaitMs }) => [customer, {
                waiting,
                waiter: { from, customer, estimatedCost, sequence, sinceMs: receivedMs - oldestWaitMs },
            }]));
            book.set(from, { incarnation, sequence, receivedMs, left });
            return true;
        },
        waiters(pool) {
            const oldestMs = clock.nowMs() - constants.wantLifetimeMs;
            const longest = new Map<core.CustomerId, RemoteWaiter>();
            books.get(pool)?.forEach((want, from) => {
                if (want.receivedMs < oldestMs) {
                    want.left.clear();
                }
                if (want.left.size === 0 || isUnresponsive(from)) {
                    return;
                }
                want.left.forEach(({ waiter }, customer) => {
                    const best = longest.get(customer);
                    if (!best || waiter.sinceMs < best.sinceMs) {
                        longest.set(customer, waiter);
                    }
                });
            });
            return [...longest.values()];
        },
        take(pool, { from, customer }) {
            const left = books.get(pool)?.get(from)?.left;
            const entry = left?.get(customer);
            if (entry && --entry.waiting <= 0) {
                left?.delete(customer);
            }
        },
        drop(from, pool, customer) {
            const left = books.get(pool)?.get(from)?.left;
            if (customer === undefined) {
                left?.clear();
            }
            else {
                left?.delete(customer);
            }
        },
        pools: () => [...books.keys()],
    };
}
