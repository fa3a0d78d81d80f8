import type * as core from "@peridotloft/core";
import type { Slot } from "./SlotTable.js";

/** A slot that a VM has reported as used by it or lent by it. */
export interface HeldSlot {
    readonly upstream: core.UpstreamId;
    readonly index: number;
    /** Time in ms until the deadline of the request and the margin have passed. */
    readonly remainingMs: number;
}

/**
 * Keeps a slot unassigned after this VM has gained it (by a restart or a change of ownership) until every other VM has
 * reported whether it holds the slot and no VM holds it, or until the longest possible lease has expired.
 */
export interface SlotRecovery {
    beginRecovery(slots: readonly Slot[], others: readonly core.VmId[], waitMs: number): void;
    isRecovered(slot: Slot): boolean;
    /** VMs to query: those that have not replied yet, and those that still hold a slot. */
    peersToQuery(): readonly core.VmId[];
    /** Slots that are not recovered yet. A query that is sent now covers them. */
    unrecoveredSlots(): readonly Slot[];
    /** Records the reply of a VM to a query that covered `queriedSlots`. */
    recordReply(from: core.VmId, queriedSlots: readonly Slot[], held: readonly HeldSlot[]): void;
    /** Records that a VM has returned a slot. */
    recordReturn(from: core.VmId, slot: Slot): void;
    /** Stops waiting for replies from VMs that are not in `vms`, as retired VMs hold no slots. */
    retainVms(vms: readonly core.VmId[]): void;
    readonly isDone: boolean;
}

interface RecoveryEntry {
    readonly slot: Slot;
    /** VMs that have not replied yet. */
    readonly pendingPeers: Set<core.VmId>;
    readonly holders: Map<core.VmId, number>;
    readonly deadlineMs: number;
}

export function createSlotRecovery(clock: core.Clock): SlotRecovery {
    const entries = new Map<Slot, RecoveryEntry>();

    const isEntryDone = (entry: RecoveryEntry): boolean => {
        const nowMs = clock.nowMs();
        entry.holders.forEach((untilMs, holder) => untilMs <= nowMs && entry.holders.delete(holder));
        return nowMs >= entry.deadlineMs || (entry.pendingPeers.size === 0 && entry.holders.size === 0);
    };

    const isRecovered = (slot: Slot): boolean => {
        const entry = entries.get(slot);
        if (entry && !isEntryDone(entry)) {
            return false;
        }
        entries.delete(slot);
        return true;
    };

    const unrecoveredSlots = (): Slot[] => [...entries.keys()].filter(slot => !isRecovered(slot));

    return {
        beginRecovery(slots, others, waitMs) {
            const deadlineMs = clock.nowMs() + waitMs;
            slots.forEach(slot =>
                entries.set(slot, { slot, pendingPeers: new Set(others), holders: new Map(), deadlineMs })
            );
        },
        isRecovered,
        peersToQuery() {
            const pendingEntries = unrecoveredSlots().flatMap(slot => entries.get(slot) ?? []);
            return [...new Set(pendingEntries.flatMap(entry => [...entry.pendingPeers, ...entry.holders.keys()]))];
        },
        unrecoveredSlots,
        recordReply(from, queriedSlots, held) {
            const nowMs = clock.nowMs();
            queriedSlots.flatMap(slot => entries.get(slot) ?? []).forEach(entry => {
                entry.pendingPeers.delete(from);
                entry.holders.delete(from);
            });
            held.forEach(({ upstream, index, remainingMs }) =>
                queriedSlots
                    .filter(slot => slot.upstream === upstream && slot.index === index)
                    .forEach(slot => entries.get(slot)?.holders.set(from, nowMs + remainingMs))
            );
        },
        recordReturn(from, slot) {
            entries.get(slot)?.holders.delete(from);
        },
        retainVms(vms) {
            entries.forEach(entry =>
                entry.pendingPeers.forEach(vm => vms.includes(vm) || entry.pendingPeers.delete(vm))
            );
        },
        get isDone() {
            return unrecoveredSlots().length === 0;
        },
    };
}
