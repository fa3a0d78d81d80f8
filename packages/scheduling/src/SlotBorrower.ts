import { create } from "@bufbuild/protobuf";
import type * as core from "@peridotloft/core";
import * as gen from "./gen/scheduling_pb.js";
import * as constants from "./SchedulingConstants.js";
import type { MessageSender } from "./SchedulingMessages.js";

export interface BorrowedLease {
    readonly lender: core.VmId;
    readonly lenderIncarnation: number;
    readonly lease: number;
    readonly upstream: core.UpstreamId;
    readonly index: number;
    readonly customer: core.CustomerId;
    readonly estimatedCost: number;
    /** Time on this VM's clock at which the request must have ended, in ms. */
    readonly deadlineMs: number;
}

/** Remembers leases from other VMs, so that a repeated grant is recognised, and returns them reliably. */
export interface SlotBorrower {
    /** - `new`: not seen before. - `ended`: declined, returned, or from an earlier run of the lender. */
    check(lender: core.VmId, lenderIncarnation: number, lease: number): "new" | "ended" | BorrowedLease;
    hold(lease: BorrowedLease): void;
    noteDeclined(lender: core.VmId, lenderIncarnation: number, lease: number): void;
    giveBack(lease: BorrowedLease, actualCost: number, failed: boolean): void;
    /** Rejects all later grants from earlier runs of the lender. */
    fence(lender: core.VmId, incarnation: number): void;
    held(): readonly BorrowedLease[];
    tick(): void;
}

interface OpenReturn {
    readonly lender: core.VmId;
    readonly message: gen.Return;
    readonly giveUpMs: number;
    nextMs: number;
}

export interface SlotBorrowerOptions {
    readonly clock: core.Clock;
    readonly sender: MessageSender;
    readonly wantLifetimeMs: number;
}

const keyOf = (lender: core.VmId, incarnation: number, lease: number): string => `${lender}/${incarnation}/${lease}`;

export function createSlotBorrower({ clock, sender, wantLifetimeMs }: SlotBorrowerOptions): SlotBorrower {
    const held = new Map<string, BorrowedLease>();
    const ended = new Map<string, number>();
    const returns = new Map<string, OpenReturn>();
    const fences = new Map<core.VmId, number>();

    const noteEnded = (key: string): void => {
        held.delete(key);
        ended.set(key, clock.nowMs());
    };

    /** A repeated grant is refused anyway once the want it answers is too old. */
    const forgetEnded = (): void => {
        const oldestMs = clock.nowMs() - 2 * wantLifetimeMs;
        for (const [key, endedMs] of ended) {
            if (endedMs >= oldestMs) {
                return;
            }
            ended.delete(key);
        }
    };

    const send = async (key: string, open: OpenReturn): Promise<void> => {
        open.nextMs = clock.nowMs() + constants.callTimeoutMs + constants.returnRetryMs;
        const result = await sender.call(open.lender, { case: "return", value: open.message });
        if (result.isOk()) {
            returns.delete(key);
        }
        else {
            open.nextMs = clock.nowMs() + constants.returnRetryMs;
        }
    };

    return {
        check(lender, lenderIncarnation, lease) {
            const fence = fences.get(lender) ?? 0;
            const key = keyOf(lender, lenderIncarnation, lease);
            if (lenderIncarnation < fence || ended.has(key)) {
                return "ended";
            }
            fences.set(lender, lenderIncarnation);
            return held.get(key) ?? "new";
        },
        hold: lease => void held.set(keyOf(lease.lender, lease.lenderIncarnation, lease.lease), lease),
        noteDeclined: (lender, incarnation, lease) => noteEnded(keyOf(lender, incarnation, lease)),
        giveBack(lease, actualCost, failed) {
            const key = keyOf(lease.lender, lease.lenderIncarnation, lease.lease);
            noteEnded(key);
            const message = create(gen.ReturnSchema, {
                lease: lease.lease,
                lenderIncarnation: lease.lenderIncarnation,
                upstream: lease.upstream,
                slot: lease.index,
                actualCost,
                failed,
            });
            // After this time the lender has freed the slot by itself.
            const giveUpMs = Math.max(lease.deadlineMs, clock.nowMs()) + 2 * constants.leaseMarginMs;
            const open = { lender: lease.lender, message, giveUpMs, nextMs: 0 };
            returns.set(key, open);
            void send(key, open);
        },
        fence: (lender, incarnation) => void fences.set(lender, Math.max(fences.get(lender) ?? 0, incarnation)),
        held: () => [...held.values()],
        tick() {
            const nowMs = clock.nowMs();
            forgetEnded();
            returns.forEach((open, key) => {
                if (open.giveUpMs <= nowMs) {
                    returns.delete(key);
                }
                else if (open.nextMs <= nowMs) {
                    void send(key, open);
                }
            });
        },
    };
}
