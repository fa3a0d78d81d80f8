import { create } from "@bufbuild/protobuf";
import * as core from "@peridotloft/core";
import type { DocumentView } from "./DocumentView.js";
import * as gen from "./gen/scheduling_pb.js";
import * as constants from "./SchedulingConstants.js";
import { decode, type MessageSender } from "./SchedulingMessages.js";
import type { ServiceTotals } from "./ServiceTotals.js";
import type { Slot, SlotTable, SlotUse } from "./SlotTable.js";
import type { RemoteWaiter, WantBook } from "./WantBook.js";

/**
 * Lends slots to other VMs. A grant is repeated with the same lease number until it is answered, so a lost message
 * neither leaks nor doubles a slot. An unreturned slot is free again when the lease and a margin have passed.
 */
export interface SlotLender {
    lend(slot: Slot, pool: core.PoolId, waiter: RemoteWaiter): void;
    /** Ends a lease; a repeated or unknown one has no effect. */
    noteReturn(lease: number, actualCost: number): void;
    /**
     * Whether a VM leaves a grant unanswered for longer than usual. It gets no further slots, because each of them would
     * be lost until its lease ends if the VM is cut off.
     */
    isUnresponsive(borrower: core.VmId): boolean;
    /** Repeats unanswered grants and frees expired slots. */
    tick(): void;
    nextLease(): number;
}

export interface SlotLenderOptions {
    readonly clock: core.Clock;
    readonly sender: MessageSender;
    readonly table: SlotTable;
    readonly totals: ServiceTotals;
    readonly wants: WantBook;
    readonly view: () => DocumentView;
    readonly epochOf: (upstream: core.UpstreamId) => number;
    readonly wantLifetimeMs: number;
    /** Time in ms after which a grant counts as unanswered. */
    readonly unansweredGrantMs: number;
    /** Called when slots of the pool became free. */
    readonly onFree: (pool: core.PoolId) => void;
}

interface OpenGrant {
    readonly borrower: core.VmId;
    readonly message: gen.Grant;
    readonly grantedMs: number;
    /** Time at which an unanswered grant is sent again, in ms. */
    nextMs: number;
    /** Whether an earlier message of this grant may have been delivered. */
    isRepeated: boolean;
}

export function createSlotLender(options: SlotLenderOptions): SlotLender {
    const { clock, sender, table, totals, wants, view, onFree } = options;
    const openGrants = new Map<number, OpenGrant>();
    let lastLease = 0;

    const end = (lease: number, actualCost: number): void => {
        openGrants.delete(lease);
        const use = table.free(lease);
        if (use) {
            totals.settle(use.pool, use.customer, use.estimatedCost, actualCost);
            onFree(use.pool);
        }
    };

    const decline = (lease: number, borrower: core.VmId, onlyCustomer: boolean): void => {
        const use = table.findLease(lease)?.use;
        if (use) {
            wants.drop(borrower, use.pool, onlyCustomer ? use.customer : undefined);
        }
        end(lease, 0);
    };

    const recharge = (use: SlotUse, customer: core.CustomerId, estimatedCost: number): void => {
        totals.settle(use.pool, use.customer, use.estimatedCost, 0);
        totals.charge(use.pool, customer, estimatedCost);
        use.customer = customer;
        use.estimatedCost = estimatedCost;
    };

    const confirm = (lease: number, answer: gen.GrantAnswer): void => {
        openGrants.delete(lease);
        const use = table.findLease(lease)?.use;
        if (use) {
            use.expiresMs = clock.nowMs() + answer.remainingMs + constants.leaseMarginMs;
            recharge(use, core.customerId(answer.customer), answer.estimatedCost);
        }
    };

    const send = async (grant: OpenGrant): Promise<void> => {
        const { lease } = grant.message;
        grant.nextMs = clock.nowMs() + 2 * constants.callTimeoutMs;
        const result = await sender.call(grant.borrower, { case: "grant", value: grant.message });
        if (openGrants.get(lease) !== grant) {
            return;
        }
        result.match(payload => {
            decode(gen.GrantAnswerSchema, payload).map(answer =>
                answer.accepted ? confirm(lease, answer) : decline(lease, grant.borrower, answer.othersWaiting)
            );
        }, error => {
            // An earlier repetition may have been delivered; only an answer of the borrower or time ends such a grant.
            if (!grant.isRepeated && core.verdictOfPeerError(error) === "not-run") {
                decline(lease, grant.borrower, false);
            }
            grant.isRepeated = true;
        });
    };

    const lifetimeMs = (pool: core.PoolId): number =>
        (view().pools.get(pool)?.deadlineMs ?? 0) + options.wantLifetimeMs;

    const nextLease = (): number => ++lastLease;

    return {
        nextLease,
        lend(slot, pool, waiter) {
            const lease = nextLease();
            const lifetime = lifetimeMs(pool);
            wants.take(pool, waiter);
            table.occupy(slot, {
                lease,
                borrower: waiter.from,
                expiresMs: clock.nowMs() + lifetime + constants.leaseMarginMs,
                pool,
                customer: waiter.customer,
                estimatedCost: waiter.estimatedCost,
            });
            totals.charge(pool, waiter.customer, waiter.estimatedCost);
            const message = create(gen.GrantSchema, {
                lease,
                pool,
                upstream: slot.upstream,
                slot: slot.index,
                customer: waiter.customer,
                wantSequence: waiter.sequence,
                epoch: options.epochOf(slot.upstream),
                lifetimeMs: lifetime,
            });
            const grant = { borrower: waiter.from, message, grantedMs: clock.nowMs(), nextMs: 0, isRepeated: false };
            openGrants.set(lease, grant);
            void send(grant);
        },
        noteReturn: end,
        isUnresponsive(borrower) {
            const oldestMs = clock.nowMs() - options.unansweredGrantMs;
            return [...openGrants.values()].some(grant => grant.borrower === borrower && grant.grantedMs < oldestMs);
        },
        tick() {
            const nowMs = clock.nowMs();
            table.inUse()
                .flatMap(slot => slot.use?.borrower && slot.use.expiresMs <= nowMs ? [slot.use] : [])
                .forEach(use => end(use.lease, use.estimatedCost));
            openGrants.forEach(grant => grant.nextMs <= nowMs && void send(grant));
        },
    };
}
