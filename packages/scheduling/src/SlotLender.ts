import { create } from "@bufbuild/protobuf";
import * as core from "@peridotloft/core";
import type { DocumentView } from "./DocumentView.js";
import * as gen from "./gen/scheduling_pb.js";
import * as constants from "./SchedulingConstants.js";
import { decode, type MessageSender } from "./SchedulingMessages.js";
import type { ServiceTotals } from "./ServiceTotals.js";
import type { Slot, SlotTable, SlotUse } from "./SlotTable.js";
import type { RemoteWaiter, WantTable } from "./WantTable.js";

/**
 * Lends slots to other VMs. A grant is sent again with the same lease number until a reply arrives, so that a lost
 * message neither leaks a slot nor assigns it twice. A slot that is not returned is freed a margin after its lease has
 * expired.
 */
export interface SlotLender {
    lend(slot: Slot, pool: core.PoolId, waiter: RemoteWaiter): void;
    /** Ends a lease. An unknown lease, such as that of a repeated return, is ignored. */
    handleReturn(leaseId: number, actualCost: number): void;
    /**
     * Whether a VM has not replied to a grant for too long. It gets no further grants, because while it is partitioned,
     * each slot granted to it would stay unused until its lease expires.
     */
    hasOverdueGrant(borrower: core.VmId): boolean;
    /** Sends grants without a reply again and frees slots whose lease has expired. */
    tick(): void;
    nextLeaseId(): number;
}

export interface SlotLenderOptions {
    readonly clock: core.Clock;
    readonly sender: MessageSender;
    readonly table: SlotTable;
    readonly totals: ServiceTotals;
    readonly wants: WantTable;
    readonly view: () => DocumentView;
    readonly epochOf: (upstream: core.UpstreamId) => number;
    readonly wantLifetimeMs: number;
    /** Time in ms after which a VM that has not replied to a grant gets no further grants. */
    readonly overdueGrantMs: number;
    /** Called when a slot of the pool becomes free. */
    readonly onFree: (pool: core.PoolId) => void;
}

interface PendingGrant {
    readonly borrower: core.VmId;
    readonly message: gen.Grant;
    readonly grantedMs: number;
    /** Time in ms at which the grant is sent again if no reply has arrived. */
    nextSendMs: number;
    /** Whether the next message repeats this grant, so that an earlier message may have been delivered. */
    isResend: boolean;
}

export function createSlotLender(options: SlotLenderOptions): SlotLender {
    const { clock, sender, table, totals, wants, view, onFree } = options;
    const pendingGrants = new Map<number, PendingGrant>();
    let lastLeaseId = 0;

    const endLease = (leaseId: number, actualCost: number): void => {
        pendingGrants.delete(leaseId);
        const use = table.free(leaseId);
        if (use) {
            totals.settle(use.pool, use.customer, use.estimatedCost, actualCost);
            onFree(use.pool);
        }
    };

    const handleDeclined = (leaseId: number, borrower: core.VmId, onlyCustomer: boolean): void => {
        const use = table.findLease(leaseId)?.use;
        if (use) {
            wants.removeWant(borrower, use.pool, onlyCustomer ? use.customer : undefined);
        }
        endLease(leaseId, 0);
    };

    const replaceCharge = (use: SlotUse, customer: core.CustomerId, estimatedCost: number): void => {
        totals.settle(use.pool, use.customer, use.estimatedCost, 0);
        totals.charge(use.pool, customer, estimatedCost);
        use.customer = customer;
        use.estimatedCost = estimatedCost;
    };

    const handleAccepted = (leaseId: number, reply: gen.GrantAnswer): void => {
        pendingGrants.delete(leaseId);
        const use = table.findLease(leaseId)?.use;
        if (use) {
            use.expiresMs = clock.nowMs() + reply.remainingMs + constants.leaseMarginMs;
            replaceCharge(use, core.customerId(reply.customer), reply.estimatedCost);
        }
    };

    const sendGrant = async (grant: PendingGrant): Promise<void> => {
        const { lease: leaseId } = grant.message;
        grant.nextSendMs = clock.nowMs() + 2 * constants.callTimeoutMs;
        const result = await sender.call(grant.borrower, { case: "grant", value: grant.message });
        if (pendingGrants.get(leaseId) !== grant) {
            return;
        }
        result.match(payload => {
            decode(gen.GrantAnswerSchema, payload).map(reply =>
                reply.accepted
                    ? handleAccepted(leaseId, reply)
                    : handleDeclined(leaseId, grant.borrower, reply.othersWaiting)
            );
        }, error => {
            // An earlier message of a repeated grant may have been delivered, so only a reply or the expiry ends it.
            if (!grant.isResend && core.verdictOfPeerError(error) === "not-run") {
                handleDeclined(leaseId, grant.borrower, false);
            }
            grant.isResend = true;
        });
    };

    const leaseLifetimeMs = (pool: core.PoolId): number =>
        (view().pools.get(pool)?.deadlineMs ?? 0) + options.wantLifetimeMs;

    const nextLeaseId = (): number => ++lastLeaseId;

    return {
        nextLeaseId,
        lend(slot, pool, waiter) {
            const leaseId = nextLeaseId();
            const lifetime = leaseLifetimeMs(pool);
            wants.countGrant(pool, waiter);
            table.occupy(slot, {
                leaseId,
                borrower: waiter.from,
                expiresMs: clock.nowMs() + lifetime + constants.leaseMarginMs,
                pool,
                customer: waiter.customer,
                estimatedCost: waiter.estimatedCost,
            });
            totals.charge(pool, waiter.customer, waiter.estimatedCost);
            const message = create(gen.GrantSchema, {
                lease: leaseId,
                upstream: slot.upstream,
                slot: slot.index,
                customer: waiter.customer,
                wantSequence: waiter.sequence,
                epoch: options.epochOf(slot.upstream),
                lifetimeMs: lifetime,
            });
            const grant = { borrower: waiter.from, message, grantedMs: clock.nowMs(), nextSendMs: 0, isResend: false };
            pendingGrants.set(leaseId, grant);
            void sendGrant(grant);
        },
        handleReturn: endLease,
        hasOverdueGrant(borrower) {
            const oldestMs = clock.nowMs() - options.overdueGrantMs;
            return [...pendingGrants.values()].some(grant => grant.borrower === borrower && grant.grantedMs < oldestMs);
        },
        tick() {
            const nowMs = clock.nowMs();
            table.inUse()
                .flatMap(slot => slot.use?.borrower && slot.use.expiresMs <= nowMs ? [slot.use] : [])
                .forEach(use => endLease(use.leaseId, use.estimatedCost));
            pendingGrants.forEach(grant => grant.nextSendMs <= nowMs && void sendGrant(grant));
        },
    };
}
