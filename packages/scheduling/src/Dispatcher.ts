import type * as core from "@peridotloft/core";
import { err, ok } from "neverthrow";
import { type CompletionEstimate, createCompletionEstimate } from "./CompletionEstimate.js";
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
import type { WantSender } from "./WantSender.js";
import type { RemoteWaiter, WantTable } from "./WantTable.js";

/** A slot that another VM has granted, before a request is chosen for it. */
export interface SlotOffer {
    readonly lender: core.VmId;
    readonly lenderIncarnation: number;
    readonly leaseId: number;
    readonly pool: core.PoolId;
    readonly upstream: core.UpstreamId;
    readonly index: number;
    readonly customer: core.CustomerId;
    readonly epoch: number;
    /** Time in ms on this VM's clock until which the lender reserves the slot. */
    readonly leaseEndMs: number;
}

/**
 * Assigns free slots to waiting requests: slots of this VM to local requests and to other VMs, and borrowed slots to local
 * requests.
 */
export interface Dispatcher {
    queueOf(pool: core.PoolId): FairQueue;
    completionEstimateOf(pool: core.PoolId): CompletionEstimate;
    queues(): ReadonlyMap<core.PoolId, FairQueue>;
    /** Assigns free slots of the pool to requests that wait on this VM or on other VMs. */
    dispatch(pool: core.PoolId): void;
    dispatchAll(): void;
    /** Starts a waiting request on a slot that another VM has granted; undefined if no request can use it. */
    runOnBorrowedSlot(offer: SlotOffer): BorrowedLease | undefined;
    refuse(waiter: Waiter, kind: QueueRefusal["kind"]): void;
    /** Number of slots of the pool that this VM could assign now; 0 while requests wait. */
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
    readonly wants: WantTable;
    readonly wantSender: WantSender;
    /** Functions, because the lender and the leases are created after the dispatcher and depend on it. */
    readonly lender: () => SlotLender;
    readonly borrower: SlotBorrower;
    readonly leases: () => RunningLeases;
}

/** The longest-waiting request of a customer, either on this VM or on another one. */
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
    const estimates = new Map<core.PoolId, CompletionEstimate>();

    const completionEstimateOf = (pool: core.PoolId): CompletionEstimate => {
        const estimate = estimates.get(pool) ?? createCompletionEstimate(clock);
        estimates.set(pool, estimate);
        return estimate;
    };

    const queueOf = (pool: core.PoolId): FairQueue => {
        const queue = queues.get(pool) ?? createFairQueue({
            virtualTime: customer => totals.virtualTime(pool, customer),
            onLengthChange: (customer, length) => totals.setWaiting(pool, customer, length),
        });
        queues.set(pool, queue);
        return queue;
    };

    const isAssignable = (slot: Slot): boolean => {
        const known = view().upstreams.get(slot.upstream);
        return slot.use === undefined
            && known?.inService === true
            && slot.index < phases.usableSlots(known.upstream)
            && !phases.isBackingOff(slot.upstream)
            && recovery.isRecovered(slot);
    };

    const loadOf = (upstream: core.UpstreamId): number => {
        const owned = table.ofUpstream(upstream);
        return owned.filter(slot => slot.use).length / Math.max(1, owned.length);
    };

    const assignableSlots = (pool: core.PoolId): SlotChoice[] => {
        const perUpstream = new Map<core.UpstreamId, SlotChoice>();
        table.ofPool(pool).filter(isAssignable).forEach(slot => {
            const zone = view().upstreams.get(slot.upstream)?.upstream.zone;
            if (zone && !perUpstream.has(slot.upstream)) {
                perUpstream.set(slot.upstream, { upstream: slot.upstream, zone, load: loadOf(slot.upstream), slot });
            }
        });
        return [...perUpstream.values()];
    };

    const rankedCandidates = (pool: core.PoolId): Candidate[] => {
        const queue = queueOf(pool);
        const remotes = new Map(wants.longestWaiters(pool).map(waiter => [waiter.customer, waiter]));
        return [...new Set([...queue.customers(), ...remotes.keys()])]
            .map(customer => {
                const oldest = queue.oldest(customer);
                const remote = remotes.get(customer);
                const isLocal = oldest && (!remote || oldest.enqueuedMs <= remote.waitingSinceMs);
                const sinceMs = isLocal ? oldest.enqueuedMs : remote?.waitingSinceMs ?? 0;
                return {
                    customer,
                    priority: policy.priority(totals.virtualTime(pool, customer), sinceMs),
                    local: isLocal ? oldest : undefined,
                    remote: isLocal ? undefined : remote,
                };
            })
            .sort((left, right) => left.priority - right.priority);
    };

    const removeGranted = (pool: core.PoolId, waiter: Waiter): void => {
        const queue = queueOf(pool);
        queue.remove(waiter);
        completionEstimateOf(pool).recordGrant(waiter.request.customer, queue.lengthOf(waiter.request.customer));
    };

    const runOnOwnedSlot = (pool: core.PoolId, slot: Slot, waiter: Waiter): void => {
        const { customer, estimatedCost } = waiter.request;
        const known = view().upstreams.get(slot.upstream);
        if (!known) {
            return;
        }
        const leaseId = options.lender().nextLeaseId();
        table.occupy(slot, {
            leaseId,
            borrower: undefined,
            expiresMs: waiter.deadlineMs,
            pool,
            customer,
            estimatedCost,
        });
        totals.charge(pool, customer, estimatedCost);
        removeGranted(pool, waiter);
        waiter.resolve(ok(
            options.leases().startLease({
                upstream: known.upstream,
                pool,
                epoch: phases.epochOf(slot.upstream),
                deadlineMs: waiter.deadlineMs,
                onEnd: actualCost => options.lender().handleReturn(leaseId, actualCost),
            }),
        ));
    };

    const tryAssign = (pool: core.PoolId, candidate: Candidate, free: readonly SlotChoice[]): boolean => {
        const { local, remote } = candidate;
        const excluded = local?.request.exclude ?? remote?.excluded ?? [];
        const vm = remote?.from ?? self;
        const eligible = free.filter(choice => !excluded.includes(choice.upstream));
        const slot = pickUpstream(eligible, view().vmZones.get(vm), random)?.slot;
        if (!slot) {
            return false;
        }
        if (local) {
            runOnOwnedSlot(pool, slot, local);
        }
        else if (remote) {
            options.lender().lend(slot, pool, remote);
        }
        return true;
    };

    const hasWaiters = (pool: core.PoolId): boolean => queueOf(pool).size > 0 || wants.longestWaiters(pool).length > 0;

    const dispatch = (pool: core.PoolId): void => {
        while (hasWaiters(pool)) {
            const free = assignableSlots(pool);
            if (free.length === 0 || !rankedCandidates(pool).some(candidate => tryAssign(pool, candidate, free))) {
                break;
            }
        }
        wantSender.update(pool, queueOf(pool));
    };

    /** Only the granted customer is eligible, because the lender chose it by virtual time. */
    const eligibleWaiter = (offer: SlotOffer): Waiter | undefined => {
        const waiter = queueOf(offer.pool).firstEligible(offer.customer, offer.upstream);
        return waiter && waiter.deadlineMs > clock.nowMs() ? waiter : undefined;
    };

    return {
        queueOf,
        completionEstimateOf,
        queues: () => queues,
        dispatch,
        dispatchAll: () => new Set([...queues.keys(), ...wants.pools()]).forEach(dispatch),
        runOnBorrowedSlot(offer) {
            const known = view().upstreams.get(offer.upstream);
            const isUsable = known?.inService && offer.index < phases.usableSlots(known.upstream);
            const waiter = isUsable ? eligibleWaiter(offer) : undefined;
            if (!known || !waiter) {
                return undefined;
            }
            const lease: BorrowedLease = {
                lender: offer.lender,
                lenderIncarnation: offer.lenderIncarnation,
                leaseId: offer.leaseId,
                upstream: offer.upstream,
                index: offer.index,
                customer: waiter.request.customer,
                estimatedCost: waiter.request.estimatedCost,
                deadlineMs: Math.min(waiter.deadlineMs, offer.leaseEndMs),
            };
            borrower.addLease(lease);
            removeGranted(offer.pool, waiter);
            waiter.resolve(ok(
                options.leases().startLease({
                    upstream: known.upstream,
                    pool: offer.pool,
                    epoch: offer.epoch,
                    deadlineMs: lease.deadlineMs,
                    onEnd: (actualCost, failed) => borrower.returnLease(lease, actualCost, failed),
                }),
            ));
            return lease;
        },
        refuse(waiter, kind) {
            const { pool, customer } = waiter.request;
            if (queueOf(pool).remove(waiter)) {
                const retryAfterMs = Math.round(
                    completionEstimateOf(pool).expectedCompletionMs(customer, queueOf(pool).lengthOf(customer)),
                );
                waiter.resolve(err({ kind, retryAfterMs }));
            }
        },
        freeSlots: pool => hasWaiters(pool) ? 0 : table.ofPool(pool).filter(isAssignable).length,
    };
}
