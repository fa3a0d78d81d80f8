import { create } from "@bufbuild/protobuf";
import type * as core from "@peridotloft/core";
import * as gen from "./gen/scheduling_pb.js";
import * as constants from "./SchedulingConstants.js";
import type { MessageSender } from "./SchedulingMessages.js";

export interface BorrowedLease {
    readonly lender: core.VmId;
    readonly lenderIncarnation: number;
    readonly leaseId: number;
    readonly upstream: core.UpstreamId;
    readonly index: number;
    readonly customer: core.CustomerId;
    readonly estimatedCost: number;
    /** Time in ms on this VM's clock by which the request must have ended. */
    readonly deadlineMs: number;
}

/** Records leases from other VMs, which makes repeated grants idempotent, and retries returns until a reply arrives. */
export interface SlotBorrower {
    /**
     * Returns the active lease of a repeated grant, or:
     *
     * - `new`: the first message of this grant.
     * - `ended`: the lease was declined or returned, or it is from an earlier incarnation of the lender.
     */
    classifyGrant(lender: core.VmId, lenderIncarnation: number, leaseId: number): "new" | "ended" | BorrowedLease;
    addLease(lease: BorrowedLease): void;
    recordDeclined(lender: core.VmId, lenderIncarnation: number, leaseId: number): void;
    returnLease(lease: BorrowedLease, actualCost: number, failed: boolean): void;
    /** Refuses all later grants from incarnations of the lender before this one. */
    fenceLender(lender: core.VmId, incarnation: number): void;
    leases(): readonly BorrowedLease[];
    tick(): void;
}

interface PendingReturn {
    readonly lender: core.VmId;
    readonly message: gen.Return;
    readonly expiresMs: number;
    nextSendMs: number;
}

export interface SlotBorrowerOptions {
    readonly clock: core.Clock;
    readonly sender: MessageSender;
    readonly wantLifetimeMs: number;
}

const keyOf = (lender: core.VmId, incarnation: number, leaseId: number): string =>
    `${lender}/${incarnation}/${leaseId}`;

export function createSlotBorrower({ clock, sender, wantLifetimeMs }: SlotBorrowerOptions): SlotBorrower {
    const activeLeases = new Map<string, BorrowedLease>();
    const endedLeases = new Map<string, number>();
    const pendingReturns = new Map<string, PendingReturn>();
    const minIncarnations = new Map<core.VmId, number>();

    const markEnded = (key: string): void => {
        activeLeases.delete(key);
        endedLeases.set(key, clock.nowMs());
    };

    /** Evicts old entries. A repeated grant of that age is declined in any case, because its want has expired. */
    const evictEnded = (): void => {
        const oldestMs = clock.nowMs() - 2 * wantLifetimeMs;
        for (const [key, endedMs] of endedLeases) {
            if (endedMs >= oldestMs) {
                return;
            }
            endedLeases.delete(key);
        }
    };

    const sendReturn = async (key: string, pendingReturn: PendingReturn): Promise<void> => {
        pendingReturn.nextSendMs = clock.nowMs() + constants.callTimeoutMs + constants.returnRetryMs;
        const result = await sender.call(pendingReturn.lender, { case: "return", value: pendingReturn.message });
        if (result.isOk()) {
            pendingReturns.delete(key);
        }
        else {
            pendingReturn.nextSendMs = clock.nowMs() + constants.returnRetryMs;
        }
    };

    return {
        classifyGrant(lender, lenderIncarnation, leaseId) {
            const minIncarnation = minIncarnations.get(lender) ?? 0;
            const key = keyOf(lender, lenderIncarnation, leaseId);
            if (lenderIncarnation < minIncarnation || endedLeases.has(key)) {
                return "ended";
            }
            minIncarnations.set(lender, lenderIncarnation);
            return activeLeases.get(key) ?? "new";
        },
        addLease: lease => void activeLeases.set(keyOf(lease.lender, lease.lenderIncarnation, lease.leaseId), lease),
        recordDeclined: (lender, incarnation, leaseId) => markEnded(keyOf(lender, incarnation, leaseId)),
        returnLease(lease, actualCost, failed) {
            const key = keyOf(lease.lender, lease.lenderIncarnation, lease.leaseId);
            markEnded(key);
            const message = create(gen.ReturnSchema, {
                lease: lease.leaseId,
                lenderIncarnation: lease.lenderIncarnation,
                upstream: lease.upstream,
                slot: lease.index,
                actualCost,
                failed,
            });
            // By this time the lender has freed the slot because the lease expired.
            const expiresMs = Math.max(lease.deadlineMs, clock.nowMs()) + 2 * constants.leaseMarginMs;
            const pendingReturn = { lender: lease.lender, message, expiresMs, nextSendMs: 0 };
            pendingReturns.set(key, pendingReturn);
            void sendReturn(key, pendingReturn);
        },
        fenceLender: (lender, incarnation) =>
            void minIncarnations.set(lender, Math.max(minIncarnations.get(lender) ?? 0, incarnation)),
        leases: () => [...activeLeases.values()],
        tick() {
            const nowMs = clock.nowMs();
            evictEnded();
            pendingReturns.forEach((pendingReturn, key) => {
                if (pendingReturn.expiresMs <= nowMs) {
                    pendingReturns.delete(key);
                }
                else if (pendingReturn.nextSendMs <= nowMs) {
                    void sendReturn(key, pendingReturn);
                }
            });
        },
    };
}
