import type * as core from "@peridotloft/core";
import * as constants from "./SchedulingConstants.js";

/** Service from one VM's slots to one customer of one pool, in cost units divided by the customer's weight. */
export interface CustomerTotal {
    readonly pool: core.PoolId;
    readonly customer: core.CustomerId;
    /** Cost of completed requests. It never decreases within one incarnation of the VM. */
    readonly settled: number;
    /** Estimated cost of requests in flight. */
    readonly pending: number;
    /** Amount by which the customer was raised when it became backlogged. The fleet uses the largest known value. */
    readonly lift: number;
    /** Number of requests in the VM's own queue. */
    readonly waiting: number;
}

/** Counts service per VM incarnation and derives the virtual time of each customer over the whole fleet. */
export interface ServiceTotals {
    /** Adds the estimated cost of a granted slot, in cost units. */
    charge(pool: core.PoolId, customer: core.CustomerId, cost: number): void;
    /** Replaces an estimated cost by the actual one. */
    settle(pool: core.PoolId, customer: core.CustomerId, estimatedCost: number, actualCost: number): void;
    /** Sets the length of this VM's queue. A customer that had no backlog on any VM is raised to the floor. */
    setWaiting(pool: core.PoolId, customer: core.CustomerId, waiting: number): void;
    /** Records how many requests a VM has reported as waiting there. */
    recordPeerWaiting(from: core.VmId, pool: core.PoolId, customer: core.CustomerId, waiting: number): void;
    /** Service from the whole fleet plus lift. The customer with the smallest virtual time is served first. */
    virtualTime(pool: core.PoolId, customer: core.CustomerId): number;
    /** Applies the total of another VM; ignored if it is from an earlier incarnation than the known one. */
    apply(from: core.VmId, incarnation: number, total: CustomerTotal): void;
    /** Takes the most urgent changed totals for a gossip message. */
    takeUpdates(limit: number): readonly CustomerTotal[];
    /** Takes changed lifts for a gossip message. */
    takeLiftUpdates(limit: number): readonly CustomerTotal[];
    applyLift(pool: core.PoolId, customer: core.CustomerId, lift: number): void;
    /** Samples the virtual time floor of each pool; called on every tick. */
    sampleFloors(): void;
    /** Marks all totals and lifts for sending, for a peer that may have missed some. */
    markAllForResend(): void;
    /** This VM's totals and the fleet's service, for a VM that has restarted. */
    snapshot(): readonly (CustomerTotal & { readonly fleetSettled: number; })[];
    /** After a restart: adds the service that peers report and that is missing from the totals received so far. */
    adoptFleetService(pool: core.PoolId, customer: core.CustomerId, fleetSettled: number): void;
}

/** Service from another VM in its current incarnation. */
interface PeerTotal {
    incarnation: number;
    settled: number;
    pending: number;
}

interface CustomerRecord {
    readonly pool: core.PoolId;
    readonly customer: core.CustomerId;
    readonly peerTotals: Map<core.VmId, PeerTotal>;
    readonly remoteBacklogs: Map<core.VmId, number>;
    /** Service from earlier incarnations of all VMs. */
    baseService: number;
    /** Sum of `baseService` and the service from other VMs. */
    othersService: number;
    /** Whether `baseService` contains service that peers reported after a restart of this VM. */
    isAdopted: boolean;
    settled: number;
    pending: number;
    lift: number;
    waiting: number;
    sendsLeft: number;
    liftSendsLeft: number;
    lastSentMs: number;
    lastSentService: number;
}

export interface ServiceTotalsOptions {
    readonly clock: core.Clock;
    readonly weightOf: (customer: core.CustomerId) => number;
    /** Time in ms by which another VM's totals may be out of date. */
    readonly stalenessMs: () => number;
    /** Chooses the virtual time floor to which a newly backlogged customer is raised. */
    readonly chooseFloor?: (backlogged: readonly number[], all: readonly number[]) => number;
}

/** The minimum over the backlogged customers; without a backlog, the maximum over all customers. */
export const minimumOfBacklogged = (backlogged: readonly number[], all: readonly number[]): number =>
    backlogged.length > 0 ? Math.min(...backlogged) : Math.max(0, ...all);

export function createServiceTotals(options: ServiceTotalsOptions): ServiceTotals {
    const { clock, weightOf, chooseFloor = minimumOfBacklogged } = options;
    const pools = new Map<core.PoolId, Map<core.CustomerId, CustomerRecord>>();
    const floorHistories = new Map<core.PoolId, readonly { readonly atMs: number; readonly floor: number; }[]>();

    const recordOf = (pool: core.PoolId, customer: core.CustomerId): CustomerRecord => {
        const customers = pools.get(pool) ?? new Map<core.CustomerId, CustomerRecord>();
        pools.set(pool, customers);
        const known = customers.get(customer);
        if (known) {
            return known;
        }
        const record: CustomerRecord = {
            pool,
            customer,
            peerTotals: new Map(),
            remoteBacklogs: new Map(),
            baseService: 0,
            othersService: 0,
            isAdopted: false,
            settled: 0,
            pending: 0,
            lift: 0,
            waiting: 0,
            sendsLeft: 0,
            liftSendsLeft: 0,
            lastSentMs: 0,
            lastSentService: 0,
        };
        customers.set(customer, record);
        return record;
    };

    const fleetService = (record: CustomerRecord): number => record.othersService + record.settled + record.pending;
    const virtualTime = (record: CustomerRecord): number => fleetService(record) + record.lift;

    const markChanged = (record: CustomerRecord): void => {
        record.sendsLeft = constants.gossipSendCount;
    };

    const isBacklogged = (record: CustomerRecord): boolean => {
        if (record.waiting > 0) {
            return true;
        }
        const oldestMs = clock.nowMs() - constants.remoteBacklogLifetimeMs;
        return [...record.remoteBacklogs.values()].some(reportedMs => reportedMs >= oldestMs);
    };

    const floorOf = (pool: core.PoolId, excluded?: CustomerRecord): number => {
        const all = [...pools.get(pool)?.values() ?? []].filter(other => other !== excluded);
        return chooseFloor(all.filter(isBacklogged).map(virtualTime), all.map(virtualTime));
    };

    const sampleFloor = (customers: Map<core.CustomerId, CustomerRecord>, pool: core.PoolId): void => {
        const nowMs = clock.nowMs();
        const history = floorHistories.get(pool) ?? [];
        if (![...customers.values()].some(isBacklogged)) {
            floorHistories.delete(pool);
        }
        else if (nowMs - (history.at(-1)?.atMs ?? -Infinity) >= constants.floorSamplePeriodMs) {
            const oldestMs = nowMs - options.stalenessMs() - constants.floorSamplePeriodMs;
            floorHistories.set(pool, [...history.filter(({ atMs }) => atMs >= oldestMs), {
                atMs: nowMs,
                floor: floorOf(pool),
            }]);
        }
    };

    /**
     * Raises a newly backlogged customer to the floor of one exchange period ago, because the totals of other VMs may be
     * that old. Raised to the current floor, a customer with little work would wait behind a flood until their totals
     * catch up.
     */
    const raiseToFloor = (record: CustomerRecord): void => {
        const earlierFloor = floorHistories.get(record.pool)?.[0]?.floor ?? Infinity;
        const missing = Math.min(earlierFloor, floorOf(record.pool, record)) - virtualTime(record);
        if (missing > 0) {
            record.lift += missing;
            record.liftSendsLeft = constants.gossipSendCount;
        }
    };

    const updateOthersService = (record: CustomerRecord): void => {
        record.othersService = record.baseService;
        record.peerTotals.forEach(peerTotal => record.othersService += peerTotal.settled + peerTotal.pending);
    };

    const setRemoteBacklog = (record: CustomerRecord, from: core.VmId, waiting: number): void => {
        if (waiting > 0) {
            record.remoteBacklogs.set(from, clock.nowMs());
        }
        else {
            record.remoteBacklogs.delete(from);
        }
    };

    const applyPeerTotal = (
        record: CustomerRecord,
        from: core.VmId,
        incarnation: number,
        total: CustomerTotal,
    ): boolean => {
        const known = record.peerTotals.get(from);
        const { settled, pending } = total;
        if (known && incarnation < known.incarnation) {
            return false;
        }
        if (!known && record.isAdopted) {
            record.baseService -= settled + pending; // The adopted service already contains it.
        }
        if (known && incarnation > known.incarnation) {
            record.baseService += known.settled + known.pending;
        }
        const isSameIncarnation = known?.incarnation === incarnation;
        record.peerTotals.set(from, {
            incarnation,
            settled: isSameIncarnation ? Math.max(known.settled, settled) : settled,
            // A reordered message has a smaller settled total, and its estimates are out of date.
            pending: isSameIncarnation && settled < known.settled ? known.pending : pending,
        });
        updateOthersService(record);
        return true;
    };

    const totalOf = ({ pool, customer, settled, pending, lift, waiting }: CustomerRecord): CustomerTotal => ({
        pool,
        customer,
        settled,
        pending,
        lift,
        waiting,
    });

    /**
     * Unsent service of a backlogged customer is more urgent, because it affects which customer is served next. Overdue
     * updates come first.
     */
    const urgencyOf = (record: CustomerRecord): number => {
        if (record.sendsLeft > 0 && clock.nowMs() - record.lastSentMs > constants.overdueUpdateMs) {
            return Infinity;
        }
        const unsentService = Math.abs(record.settled + record.pending - record.lastSentService);
        return isBacklogged(record) ? unsentService * constants.backloggedUrgencyFactor : unsentService;
    };

    const records = (): CustomerRecord[] => [...pools.values()].flatMap(customers => [...customers.values()]);

    const applyLift = (record: CustomerRecord, lift: number): void => {
        if (lift > record.lift) {
            record.lift = lift;
            // Relay the lift once, because with many peers a message reaches only some of them.
            record.liftSendsLeft = 1;
        }
    };

    return {
        charge(pool, customer, cost) {
            const record = recordOf(pool, customer);
            record.pending += cost / weightOf(customer);
            markChanged(record);
        },
        settle(pool, customer, estimatedCost, actualCost) {
            const record = recordOf(pool, customer);
            record.pending = Math.max(0, record.pending - estimatedCost / weightOf(customer));
            record.settled += Math.max(0, actualCost) / weightOf(customer);
            markChanged(record);
        },
        setWaiting(pool, customer, waiting) {
            const record = recordOf(pool, customer);
            if (waiting > 0 && !isBacklogged(record)) {
                raiseToFloor(record);
            }
            if ((waiting > 0) !== (record.waiting > 0)) {
                markChanged(record);
            }
            record.waiting = waiting;
        },
        recordPeerWaiting(from, pool, customer, waiting) {
            const record = recordOf(pool, customer);
            if (waiting > 0 && !isBacklogged(record)) {
                raiseToFloor(record);
            }
            setRemoteBacklog(record, from, waiting);
        },
        virtualTime: (pool, customer) => virtualTime(recordOf(pool, customer)),
        apply(from, incarnation, total) {
            const record = recordOf(total.pool, total.customer);
            if (applyPeerTotal(record, from, incarnation, total)) {
                applyLift(record, total.lift);
                setRemoteBacklog(record, from, total.waiting);
            }
        },
        takeUpdates(limit) {
            const nowMs = clock.nowMs();
            return records()
                .filter(record => record.sendsLeft > 0 || nowMs - record.lastSentMs > constants.gossipRefreshPeriodMs)
                .map(record => ({ record, urgency: urgencyOf(record) }))
                .sort((left, right) => right.urgency - left.urgency)
                .slice(0, limit)
                .map(({ record }) => {
                    record.sendsLeft = Math.max(0, record.sendsLeft - 1);
                    record.lastSentMs = nowMs;
                    record.lastSentService = record.settled + record.pending;
                    return totalOf(record);
                });
        },
        takeLiftUpdates(limit) {
            return records().filter(record => record.liftSendsLeft > 0).slice(0, limit).map(record => {
                record.liftSendsLeft--;
                return totalOf(record);
            });
        },
        applyLift: (pool, customer, lift) => applyLift(recordOf(pool, customer), lift),
        sampleFloors: () => pools.forEach(sampleFloor),
        markAllForResend() {
            records().forEach(record => {
                record.sendsLeft = Math.max(1, record.sendsLeft);
                record.liftSendsLeft = Math.max(Math.sign(record.lift), record.liftSendsLeft);
            });
        },
        snapshot: () => records().map(record => ({ ...totalOf(record), fleetSettled: fleetService(record) })),
        adoptFleetService(pool, customer, fleetSettled) {
            const record = recordOf(pool, customer);
            const missing = fleetSettled - fleetService(record);
            if (missing > 0) {
                record.baseService += missing;
                record.isAdopted = true;
                updateOthersService(record);
            }
        },
    };
}
