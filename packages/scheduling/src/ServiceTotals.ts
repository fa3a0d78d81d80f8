import type * as core from "@peridotloft/core";
import * as constants from "./SchedulingConstants.js";

/** What one VM has served to one customer of one pool, in cost units divided by the customer's weight. */
export interface CustomerTotal {
    readonly pool: core.PoolId;
    readonly customer: core.CustomerId;
    /** Grows only, within one incarnation of the VM. */
    readonly settled: number;
    /** Estimates of requests in flight. */
    readonly pending: number;
    /** Credit removed at the start of a backlog. The fleet uses the largest value. */
    readonly lift: number;
    /** Requests that wait in the VM's own queue. */
    readonly waiting: number;
}

/** Counts service per VM incarnation and derives the virtual time of each customer over the whole fleet. */
export interface ServiceTotals {
    /** Counts the estimate of a granted slot, in cost units. */
    charge(pool: core.PoolId, customer: core.CustomerId, cost: number): void;
    /** Replaces an estimate by the settled cost. */
    settle(pool: core.PoolId, customer: core.CustomerId, estimatedCost: number, actualCost: number): void;
    /** Sets the length of this VM's queue. A customer that was nowhere backlogged loses its credit. */
    setWaiting(pool: core.PoolId, customer: core.CustomerId, waiting: number): void;
    notePeerWaiting(from: core.VmId, pool: core.PoolId, customer: core.CustomerId, waiting: number): void;
    virtualTime(pool: core.PoolId, customer: core.CustomerId): number;
    apply(from: core.VmId, incarnation: number, total: CustomerTotal): void;
    /** The totals that peers most need to learn. */
    takeNews(limit: number): readonly CustomerTotal[];
    /** Lifts that peers should learn. */
    takeLifts(limit: number): readonly CustomerTotal[];
    applyLift(pool: core.PoolId, customer: core.CustomerId, lift: number): void;
    /** Notes the level of the backlogged customers; to be called on every tick. */
    sample(): void;
    /** Marks everything as news, for a peer that may have missed some. */
    tellAgain(): void;
    /** This VM's totals and the fleet's service, for a VM that has restarted. */
    snapshot(): readonly (CustomerTotal & { readonly fleetSettled: number; })[];
    /** After a restart: counts the service that peers remember and that this VM has not heard from its origin. */
    adoptFleet(pool: core.PoolId, customer: core.CustomerId, fleetSettled: number): void;
}

interface Origin {
    incarnation: number;
    settled: number;
    pending: number;
}

interface Record {
    readonly pool: core.PoolId;
    readonly customer: core.CustomerId;
    readonly origins: Map<core.VmId, Origin>;
    readonly backlogs: Map<core.VmId, number>;
    /** Service by earlier incarnations. */
    base: number;
    /** Sum over base and other VMs. */
    others: number;
    adopted: boolean;
    settled: number;
    pending: number;
    lift: number;
    waiting: number;
    repeats: number;
    liftRepeats: number;
    toldMs: number;
    toldService: number;
}

export interface ServiceTotalsOptions {
    readonly clock: core.Clock;
    readonly weightOf: (customer: core.CustomerId) => number;
    /** Time in ms by which another VM's view of the totals may be behind. */
    readonly stalenessMs: () => number;
    /** Chooses the virtual time that a newly backlogged customer is raised to. */
    readonly raiseTo?: (backlogged: readonly number[], all: readonly number[]) => number;
}

/** The minimum of the backlogged customers; with no backlog, the customer that was served most starts the round. */
export const minimumOfBacklogged = (backlogged: readonly number[], all: readonly number[]): number =>
    backlogged.length > 0 ? Math.min(...backlogged) : Math.max(0, ...all);

export function createServiceTotals(options: ServiceTotalsOptions): ServiceTotals {
    const { clock, weightOf, raiseTo = minimumOfBacklogged } = options;
    const pools = new Map<core.PoolId, Map<core.CustomerId, Record>>();
    const levels = new Map<core.PoolId, readonly { readonly atMs: number; readonly level: number; }[]>();

    const recordOf = (pool: core.PoolId, customer: core.CustomerId): Record => {
        const customers = pools.get(pool) ?? new Map<core.CustomerId, Record>();
        pools.set(pool, customers);
        const known = customers.get(customer);
        if (known) {
            return known;
        }
        const record: Record = {
            pool,
            customer,
            origins: new Map(),
            backlogs: new Map(),
            base: 0,
            others: 0,
            adopted: false,
            settled: 0,
            pending: 0,
            lift: 0,
            waiting: 0,
            repeats: 0,
            liftRepeats: 0,
            toldMs: 0,
            toldService: 0,
        };
        customers.set(customer, record);
        return record;
    };

    const served = (record: Record): number => record.others + record.settled + record.pending;
    const virtualTime = (record: Record): number => served(record) + record.lift;

    const touch = (record: Record): void => {
        record.repeats = constants.gossipRepeats;
    };

    const isBacklogged = (record: Record): boolean => {
        if (record.waiting > 0) {
            return true;
        }
        const oldestMs = clock.nowMs() - constants.backlogFreshMs;
        return [...record.backlogs.values()].some(heardMs => heardMs >= oldestMs);
    };

    const levelOf = (pool: core.PoolId, except?: Record): number => {
        const all = [...pools.get(pool)?.values() ?? []].filter(other => other !== except);
        return raiseTo(all.filter(isBacklogged).map(virtualTime), all.map(virtualTime));
    };

    const samplePool = (customers: Map<core.CustomerId, Record>, pool: core.PoolId): void => {
        const nowMs = clock.nowMs();
        const history = levels.get(pool) ?? [];
        if (![...customers.values()].some(isBacklogged)) {
            levels.delete(pool);
        }
        else if (nowMs - (history.at(-1)?.atMs ?? -Infinity) >= constants.levelSampleMs) {
            const oldestMs = nowMs - options.stalenessMs() - constants.levelSampleMs;
            levels.set(pool, [...history.filter(({ atMs }) => atMs >= oldestMs), {
                atMs: nowMs,
                level: levelOf(pool),
            }]);
        }
    };

    /**
     * A customer is raised to the level of one exchange period ago. Other VMs know the level only that well; raised to
     * the present level, a customer with little work would wait behind a flood until their totals catch up.
     */
    const raise = (record: Record): void => {
        const earlier = levels.get(record.pool)?.[0]?.level ?? Infinity;
        const missing = Math.min(earlier, levelOf(record.pool, record)) - virtualTime(record);
        if (missing > 0) {
            record.lift += missing;
            record.liftRepeats = constants.gossipRepeats;
        }
    };

    const recount = (record: Record): void => {
        record.others = record.base;
        record.origins.forEach(origin => record.others += origin.settled + origin.pending);
    };

    const noteBacklog = (record: Record, from: core.VmId, waiting: number): void => {
        if (waiting > 0) {
            record.backlogs.set(from, clock.nowMs());
        }
        else {
            record.backlogs.delete(from);
        }
    };

    const applyOrigin = (record: Record, from: core.VmId, incarnation: number, total: CustomerTotal): boolean => {
        const known = record.origins.get(from);
        const { settled, pending } = total;
        if (known && incarnation < known.incarnation) {
            return false;
        }
        if (!known && record.adopted) {
            record.base -= settled + pending; // What peers remembered already contains it.
        }
        if (known && incarnation > known.incarnation) {
            record.base += known.settled + known.pending;
        }
        const isSameRun = known?.incarnation === incarnation;
        record.origins.set(from, {
            incarnation,
            settled: isSameRun ? Math.max(known.settled, settled) : settled,
            // A late message has a smaller settled total, and its estimates are out of date.
            pending: isSameRun && settled < known.settled ? known.pending : pending,
        });
        recount(record);
        return true;
    };

    const totalOf = ({ pool, customer, settled, pending, lift, waiting }: Record): CustomerTotal => ({
        pool,
        customer,
        settled,
        pending,
        lift,
        waiting,
    });

    /** Untold service counts most where customers wait, as it decides who is next; old news come first in any case. */
    const urgencyOf = (record: Record): number => {
        if (record.repeats > 0 && clock.nowMs() - record.toldMs > constants.oldNewsMs) {
            return Infinity;
        }
        const untold = Math.abs(record.settled + record.pending - record.toldService);
        return isBacklogged(record) ? untold * constants.backloggedUrgency : untold;
    };

    const records = (): Record[] => [...pools.values()].flatMap(customers => [...customers.values()]);

    const applyLift = (record: Record, lift: number): void => {
        if (lift > record.lift) {
            record.lift = lift;
            // Relayed, because with many peers a message reaches only some of them.
            record.liftRepeats = 1;
        }
    };

    return {
        charge(pool, customer, cost) {
            const record = recordOf(pool, customer);
            record.pending += cost / weightOf(customer);
            touch(record);
        },
        settle(pool, customer, estimatedCost, actualCost) {
            const record = recordOf(pool, customer);
            record.pending = Math.max(0, record.pending - estimatedCost / weightOf(customer));
            record.settled += Math.max(0, actualCost) / weightOf(customer);
            touch(record);
        },
        setWaiting(pool, customer, waiting) {
            const record = recordOf(pool, customer);
            if (waiting > 0 && !isBacklogged(record)) {
                raise(record);
            }
            if ((waiting > 0) !== (record.waiting > 0)) {
                touch(record);
            }
            record.waiting = waiting;
        },
        notePeerWaiting(from, pool, customer, waiting) {
            const record = recordOf(pool, customer);
            if (waiting > 0 && !isBacklogged(record)) {
                raise(record);
            }
            noteBacklog(record, from, waiting);
        },
        virtualTime: (pool, customer) => virtualTime(recordOf(pool, customer)),
        apply(from, incarnation, total) {
            const record = recordOf(total.pool, total.customer);
            if (applyOrigin(record, from, incarnation, total)) {
                applyLift(record, total.lift);
                noteBacklog(record, from, total.waiting);
            }
        },
        takeNews(limit) {
            const nowMs = clock.nowMs();
            return records()
                .filter(record => record.repeats > 0 || nowMs - record.toldMs > constants.gossipRefreshMs)
                .map(record => ({ record, urgency: urgencyOf(record) }))
                .sort((left, right) => right.urgency - left.urgency)
                .slice(0, limit)
                .map(({ record }) => {
                    record.repeats = Math.max(0, record.repeats - 1);
                    record.toldMs = nowMs;
                    record.toldService = record.settled + record.pending;
                    return totalOf(record);
                });
        },
        takeLifts(limit) {
            return records().filter(record => record.liftRepeats > 0).slice(0, limit).map(record => {
                record.liftRepeats--;
                return totalOf(record);
            });
        },
        applyLift: (pool, customer, lift) => applyLift(recordOf(pool, customer), lift),
        sample: () => pools.forEach(samplePool),
        tellAgain() {
            records().forEach(record => {
                record.repeats = Math.max(1, record.repeats);
                record.liftRepeats = Math.max(Math.sign(record.lift), record.liftRepeats);
            });
        },
        snapshot: () => records().map(record => ({ ...totalOf(record), fleetSettled: served(record) })),
        adoptFleet(pool, customer, fleetSettled) {
            const record = recordOf(pool, customer);
            const missing = fleetSettled - served(record);
            if (missing > 0) {
                record.base += missing;
                record.adopted = true;
                recount(record);
            }
        },
    };
}
