import { create, toBinary } from "@bufbuild/protobuf";
import * as core from "@peridotloft/core";
import type { Result } from "neverthrow";
import type { Dispatcher } from "./Dispatcher.js";
import type { DocumentView } from "./DocumentView.js";
import * as gen from "./gen/scheduling_pb.js";
import * as constants from "./SchedulingConstants.js";
import { decode } from "./SchedulingMessages.js";
import type { ServiceTotals } from "./ServiceTotals.js";
import type { BorrowedLease, SlotBorrower } from "./SlotBorrower.js";
import type { SlotLender } from "./SlotLender.js";
import type { SlotRecovery } from "./SlotRecovery.js";
import type { SlotTable } from "./SlotTable.js";
import type { UpstreamHealth } from "./UpstreamHealth.js";
import type { PhaseTable } from "./UpstreamPhase.js";
import type { WantSender } from "./WantSender.js";
import type { WantTable } from "./WantTable.js";

export interface SchedulingHandlerOptions {
    readonly incarnation: number;
    readonly clock: core.Clock;
    readonly view: () => DocumentView;
    readonly dispatcher: Dispatcher;
    readonly table: SlotTable;
    readonly recovery: SlotRecovery;
    readonly lender: SlotLender;
    readonly borrower: SlotBorrower;
    readonly wants: WantTable;
    readonly wantSender: WantSender;
    readonly totals: ServiceTotals;
    readonly phases: PhaseTable;
    readonly health: UpstreamHealth;
    readonly recordContact: (from: core.VmId) => void;
}

const emptyReply = new Uint8Array();

/** Handles messages from the schedulers of other VMs. */
export function createSchedulingHandler(options: SchedulingHandlerOptions): core.SliceHandler {
    const { clock, view, dispatcher, table, borrower, lender, totals, phases } = options;

    const onWant = (from: core.VmId, incarnation: number, want: gen.Want): Uint8Array => {
        const pool = core.poolId(want.pool);
        const entries = want.entries.map(entry => ({
            ...entry,
            customer: core.customerId(entry.customer),
            excluded: entry.excluded.map(core.upstreamId),
        }));
        if (options.wants.replaceWant(from, incarnation, pool, want.sequence, entries)) {
            entries.forEach(entry => totals.recordPeerWaiting(from, pool, entry.customer, entry.waiting));
            dispatcher.dispatch(pool);
        }
        return emptyReply;
    };

    const encodeAccepted = (lease: BorrowedLease): Uint8Array =>
        toBinary(
            gen.GrantAnswerSchema,
            create(gen.GrantAnswerSchema, {
                accepted: true,
                customer: lease.customer,
                estimatedCost: lease.estimatedCost,
                remainingMs: Math.max(0, Math.ceil(lease.deadlineMs - clock.nowMs())),
            }),
        );

    const tryRunGranted = (
        from: core.VmId,
        incarnation: number,
        grant: gen.Grant,
        pool: core.PoolId | undefined,
    ): BorrowedLease | undefined => {
        const wantSentMs = options.wantSender.sentAtMs(grant.wantSequence);
        if (wantSentMs === undefined || pool === undefined) {
            return undefined;
        }
        return dispatcher.runOnBorrowedSlot({
            lender: from,
            lenderIncarnation: incarnation,
            leaseId: grant.lease,
            pool,
            upstream: core.upstreamId(grant.upstream),
            index: grant.slot,
            customer: core.customerId(grant.customer),
            epoch: grant.epoch,
            leaseEndMs: wantSentMs + grant.lifetimeMs,
        });
    };

    const declineGrant = (
        from: core.VmId,
        incarnation: number,
        leaseId: number,
        pool: core.PoolId | undefined,
        customer: core.CustomerId,
    ): Uint8Array => {
        const othersWaiting = pool !== undefined && dispatcher.queueOf(pool).size > 0;
        if (pool) {
            options.wantSender.recordDeclined(pool, from, othersWaiting ? customer : undefined);
        }
        borrower.recordDeclined(from, incarnation, leaseId);
        return toBinary(gen.GrantAnswerSchema, create(gen.GrantAnswerSchema, { othersWaiting }));
    };

    const onGrant = (from: core.VmId, incarnation: number, grant: gen.Grant): Uint8Array => {
        const grantState = borrower.classifyGrant(from, incarnation, grant.lease);
        if (grantState !== "new") {
            return grantState === "ended" ? emptyReply : encodeAccepted(grantState);
        }
        const pool = view().upstreams.get(core.upstreamId(grant.upstream))?.pool.id;
        const customer = core.customerId(grant.customer);
        if (pool) {
            options.wantSender.recordGrant(pool, from, customer);
        }
        const lease = tryRunGranted(from, incarnation, grant, pool);
        if (!lease) {
            return declineGrant(from, incarnation, grant.lease, pool, customer);
        }
        return encodeAccepted(lease);
    };

    const onReturn = (from: core.VmId, message: gen.Return): Uint8Array => {
        const upstream = core.upstreamId(message.upstream);
        if (message.failed) {
            phases.recordFailure(upstream);
        }
        if (message.lenderIncarnation === options.incarnation) {
            lender.handleReturn(message.lease, message.actualCost);
            return emptyReply;
        }
        // An earlier incarnation of this VM granted the lease, so only the recovery of the slot is affected.
        const slot = table.find(upstream, message.slot);
        if (slot) {
            options.recovery.recordReturn(from, slot);
            dispatcher.dispatchAll();
        }
        return emptyReply;
    };

    const heldSlots = (): gen.HeldSlot[] => {
        const nowMs = clock.nowMs();
        const remainingMs = (untilMs: number): number =>
            Math.max(0, Math.ceil(untilMs - nowMs)) + constants.leaseMarginMs;
        const borrowed = borrower.leases().map(({ upstream, index, deadlineMs }) => ({
            upstream,
            slot: index,
            remainingMs: remainingMs(deadlineMs),
        }));
        const own = table.inUse().map(({ upstream, index, use }) => ({
            upstream,
            slot: index,
            remainingMs: remainingMs(use?.expiresMs ?? 0),
        }));
        return [...borrowed, ...own].map(slot => create(gen.HeldSlotSchema, slot));
    };

    const onHeld = (from: core.VmId, incarnation: number): Uint8Array => {
        borrower.fenceLender(from, incarnation);
        return toBinary(
            gen.HeldAnswerSchema,
            create(gen.HeldAnswerSchema, {
                incarnation: options.incarnation,
                slots: heldSlots(),
                upstreams: phases.states().map(state => create(gen.UpstreamStateSchema, state)),
                totals: totals.snapshot().map(total => create(gen.CustomerTotalSchema, total)),
            }),
        );
    };

    const onReport = (report: gen.UpstreamReport): Uint8Array => {
        const known = view().upstreams.get(core.upstreamId(report.upstream));
        if (known) {
            options.health.handleReport(known.upstream, report.epoch, report.fallback);
        }
        return emptyReply;
    };

    const handleRequest = (from: core.VmId, { incarnation, kind }: gen.SchedulingRequest): Uint8Array => {
        options.recordContact(from);
        switch (kind.case) {
            case "want":
                return onWant(from, incarnation, kind.value);
            case "grant":
                return onGrant(from, incarnation, kind.value);
            case "return":
                return onReturn(from, kind.value);
            case "held":
                return onHeld(from, incarnation);
            case "report":
                return onReport(kind.value);
            case undefined:
                return emptyReply;
        }
    };

    return (from, payload): Promise<Result<Uint8Array, string>> =>
        Promise.resolve(decode(gen.SchedulingRequestSchema, payload).map(request => handleRequest(from, request)));
}
