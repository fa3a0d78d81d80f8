import type * as core from "@peridotloft/core";
import { err, ok } from "neverthrow";
import { createDeadlineEstimate, type DeadlineEstimate } from "./DeadlineEstimate.js";
import type { DocumentView } from "./DocumentView.js";
import { createFairQueue, type FairQueue, type Waiter } from "./FairQueue.js";
import type { RunningLeases } from "./RunningLeases.js";
import type { QueueRefusal } from "./Scheduler.js";
import type { SchedulingPolicy } from "./SchedulingPolicy.js";
import type { ServiceTotals } from "./ServiceTotals.js";
import type { BorrowedLease, SlotBorrower } from "./SlotBorrower.js";
import type { SlotLender } from "./SlotLender.js";
import type { SlotRecovery } from "./SlotRecovery.js";
import type { Slot, SlotTable } from "./SlotTable.js";
import type { PhaseTable } from "./UpstreamPhase.js";
import { pickUpstream, type UpstreamChoice } from "./UpstreamPicker.js";
import type { RemoteWaiter, WantBook } from "./WantBook.js";
import type { WantSender } from "./WantSender.js";

/** A grant from another VM, as the dispatcher needs it. */
export interface OfferedSlot {
    readonly lender: core.VmId;
    readonly lenderIncarnation: number;
    readonly lease: number;
    readonly pool: core.PoolId;
    readonly upstream: core.UpstreamId;
    readonly index: number;
    readonly customer: core.CustomerId;
    readonly epoch: number;
    /** Time on this VM's clock until which the lender keeps the slot, in ms. */
    readonly usableUntilMs: number;
}

/** Brings waiting requests and free slots together: own ones, lent ones and borrowed ones. */
export interface Dispatcher {
    queueOf(pool: core.PoolId): FairQueue;
    estimateOf(pool: core.PoolId): DeadlineEstimate;
    queues(): ReadonlyMap<core.PoolId, FairQueue>;
    /** Gives free slots of the pool to those who wait, here or on other VMs. */
    pump(pool: core.PoolId): void;
    pumpAll(): void;
    /** Runs a waiting request on a slot of another VM; undefined when no request can use it. */
    runBorrowed(offer: OfferedSlot): BorrowedLease | undefined;
    refuse(waiter: Waiter, kind: QueueRefusal["kind"]): void;
    /** Number of slots of the pool that this VM could give now. */
    freeSlots(pool: core.PoolId): number;
}

export interface DispatcherOptions {
    readonly self: core.VmId;
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly policy: SchedulingPolicy;
    readonly view: () => DocumentView;
    readonly table: SlotTable;
    readonly recovery: SlotRecovery;
    readonly phases: PhaseTable;
    readonly totals: ServiceTotals;
    readonly wants: WantBook;
    readonly wantSender: WantSender;
    readonly lender: () => SlotLender;
    readonly borrower: SlotBorrower;
    readonly leases: () => RunningLeases;
}

interface Candidate {
    readonly customer: core.CustomerId;
    readonly priority: number;
    readonly local: Waiter | undefined;
    readonly remote: RemoteWaiter | undefined;
}

interface SlotChoice extends UpstreamChoice {
    readonly slot: Slot;
}

export function createDispatcher(options: DispatcherOptions): Dispatcher {
    const { self, clock, random, policy, view, table, recovery, phases, totals, wants, wantSender, borrower } = options;
    const queues = new Map<core.PoolId, FairQueue>();
    const estimates = new Map<core.PoolId, DeadlineEstimate>();

    const estimateOf = (pool: core.PoolId): DeadlineEstimate => {
        const estimate = estimates.get(pool) ?? createDeadlineEstimate(clock);
        estimates.set(pool, estimate);
        return estimate;
    };

    const queueOf = (pool: core.PoolId): FairQueue => {
        const queue = queues.get(pool) ?? createFairQueue({
            virtualTime: customer => totals.virtualTime(pool, customer),
            onLength: (customer, length) => totals.setWaiting(pool, customer, length),
        });
        queues.set(pool, queue);
        return queue;
    };

    const isGivable = (slot: Slot): boolean => {
        const known = view().upstreams.get(slot.upstream);
        return slot.use === undefined
            && known?.inService === true
            && slot.index < phases.usableSlots(known.upstream)
            && !phases.isHeldOff(slot.upstream)
            && recovery.isRecovered(slot);
    };

    const loadOf = (upstream: core.UpstreamId): number => {
        const owned = table.ofUpstream(upstream);
        return owned.filter(slot => slot.use).length / Math.max(1, owned.length);
    };

    const choices = (pool: core.PoolId): SlotChoice[] => {
        const perUpstream = new Map<core.UpstreamId, SlotChoice>();
        table.ofPool(pool).filter(isGivable).forEach(slot => {
            const zone = view().upstreams.get(slot.upstream)?.upstream.zone;
            if (zone && !perUpstream.has(slot.upstream)) {
                perUpstream.set(slot.upstream, { upstream: slot.upstream, zone, load: loadOf(slot.upstream), slot });
            }
        });
        return [...perUpstream.values()];
    };

    const candidates = (pool: core.PoolId): Candidate[] => {
        const queue = queueOf(pool);
        const remotes = new Map(wants.waiters(pool).map(waiter => [waiter.customer, waiter]));
        return [...new Set([...queue.customers(), ...remotes.keys()])]
            .map(customer => {
                const oldest = queue.oldest(customer);
                const remote = remotes.get(customer);
                const isLocal = oldest && (!remote || oldest.enqueuedMs <= remote.sinceMs);
                const sinceMs = isLocal ? oldest.enqueuedMs : remote?.sinceMs ?? 0;
                return {
                    customer,
                    priority: policy.priority(totals.virtualTime(pool, customer), sinceMs),
                    local: isLocal ? oldest : undefined,
                    remote: isLocal ? undefined : remote,
                };
            })
            .sort((left, right) => left.priority - right.priority);
    };

    const finishWaiting = (pool: core.PoolId, waiter: Waiter): void => {
        const queue = queueOf(pool);
        queue.remove(waiter);
        estimateOf(pool).noteGrant(waiter.request.customer, queue.lengthOf(waiter.request.customer));
    };

    const runOwn = (pool: core.PoolId, slot: Slot, waiter: Waiter): void => {
        const { customer, estimatedCost } = waiter.request;
        const known = view().upstreams.get(slot.upstream);
        if (!known) {
            return;
        }
        const lease = options.lender().nextLease();
        table.occupy(slot, {
            lease,
            borrower: undefined,
            expiresMs: waiter.deadlineMs,
            pool,
            customer,
            estimatedCost,
        });
        totals.charge(pool, customer, estimatedCost);
        finishWaiting(pool, waiter);
        waiter.resolve(ok(
            options.leases().start({
                upstream: known.upstream,
                pool,
                epoch: phases.epochOf(slot.upstream),
                deadlineMs: waiter.deadlineMs,
                onEnd: actualCost => options.lender().noteReturn(lease, actualCost),
            }),
        ));
    };

    const giveTo = (pool: core.PoolId, candidate: Candidate, free: readonly SlotChoice[]): boolean => {
        const { local, remote } = candidate;
        const excluded = local?.request.exclude ?? [];
        const vm = remote?.from ?? self;
        const fitting = free.filter(choice => !excluded.includes(choice.upstream));
        const slot = pickUpstream(fitting, view().zones.get(vm), random)?.slot;
        if (!slot) {
            return false;
        }
        if (local) {
            runOwn(pool, slot, local);
        }
        else if (remote) {
            options.lender().lend(slot, pool, remote);
        }
        return true;
    };

    const hasWaiters = (pool: core.PoolId): boolean => queueOf(pool).size > 0 || wants.waiters(pool).length > 0;

    const pump = (pool: core.PoolId): void => {
        while (hasWaiters(pool)) {
            const free = choices(pool);
            if (free.length === 0 || !candidates(pool).some(candidate => giveTo(pool, candidate, free))) {
                break;
            }
        }
        wantSender.update(pool, queueOf(pool));
    };

    /** Another customer would not be the one that the lender's order of service chose, so it has no claim. */
    const waiterFor = (offer: OfferedSlot): Waiter | undefined => {
        const waiter = queueOf(offer.pool).firstFor(offer.customer, offer.upstream);
        return waiter && waiter.deadlineMs > clock.nowMs() ? waiter : undefined;
    };

    return {
        queueOf,
        estimateOf,
        queues: () => queues,
        pump,
        pumpAll: () => new Set([...queues.keys(), ...wants.pools()]).forEach(pump),
        runBorrowed(offer) {
            const known = view().upstreams.get(offer.upstream);
            const isUsable = known?.inService && offer.index < phases.usableSlots(known.upstream);
            const waiter = isUsable ? waiterFor(offer) : undefined;
            if (!known || !waiter) {
                return undefined;
            }
            const lease: BorrowedLease = {
                lender: offer.lender,
                lenderIncarnation: offer.lenderIncarnation,
                lease: offer.lease,
                upstream: offer.upstream,
                index: offer.index,
                customer: waiter.request.customer,
                estimatedCost: waiter.request.estimatedCost,
                deadlineMs: Math.min(waiter.deadlineMs, offer.usableUntilMs),
            };
            borrower.hold(lease);
            finishWaiting(offer.pool, waiter);
            waiter.resolve(ok(
                options.leases().start({
                    upstream: known.upstream,
                    pool: offer.pool,
                    epoch: offer.epoch,
                    deadlineMs: lease.deadlineMs,
                    onEnd: (actualCost, failed) => borrower.giveBack(lease, actualCost, failed),
                }),
            ));
            return lease;
        },
        refuse(waiter, kind) {
            const { pool, customer } = waiter.request;
            if (queueOf(pool).remove(waiter)) {
                const retryAfterMs = Math.round(
                    estimateOf(pool).expectedMs(customer, queueOf(pool).lengthOf(customer)),
                );
                waiter.resolve(err({ kind, retryAfterMs }));
            }
        },
        freeSlots: pool => hasWaiters(pool) ? 0 : table.ofPool(pool).filter(isGivable).length,
    };
}
