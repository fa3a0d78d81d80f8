import type * as core from "@peridotloft/core";
import type { Slot } from "./SlotTable.js";

/** A slot that a VM said it uses or has lent. */
export interface HeldSlot {
    readonly upstream: core.UpstreamId;
    readonly index: number;
    /** Time in ms until the request's deadline and the margin have passed. */
    readonly remainingMs: number;
}

/**
 * Keeps a slot unused after this VM has gained it (by a restart or a change of ownership), until every other VM has said
 * whether it holds the slot, or the longest lease has passed.
 */
export interface SlotRecovery {
    begin(slots: readonly Slot[], others: readonly core.VmId[], waitMs: number): void;
    isRecovered(slot: Slot): boolean;
    /** VMs that must be asked, again if they said that they hold a slot. */
    toAsk(): readonly core.VmId[];
    /** Slots that a question sent now is about. */
    open(): readonly Slot[];
    /** Notes the answer of a VM to a question about `asked`. */
    noteAnswer(from: core.VmId, asked: readonly Slot[], held: readonly HeldSlot[]): void;
    /** Notes that a VM returned a slot. */
    noteReturn(from: core.VmId, slot: Slot): void;
    /** VMs that were retired no longer hold anything. */
    retain(vms: readonly core.VmId[]): void;
    readonly isDone: boolean;
}

interface Entry {
    readonly slot: Slot;
    readonly unanswered: Set<core.VmId>;
    readonly holders: Map<core.VmId, number>;
    readonly giveUpMs: number;
}

export function createSlotRecovery(clock: core.Clock): SlotRecovery {
    const entries = new Map<Slot, Entry>();

    const isEntryDone = (entry: Entry): boolean => {
        const nowMs = clock.nowMs();
        entry.holders.forEach((untilMs, holder) => untilMs <= nowMs && entry.holders.delete(holder));
        return nowMs >= entry.giveUpMs || (entry.unanswered.size === 0 && entry.holders.size === 0);
    };

    const isRecovered = (slot: Slot): boolean => {
        const entry = entries.get(slot);
        if (entry && !isEntryDone(entry)) {
            return false;
        }
        entries.delete(slot);
        return true;
    };

    const open = (): Slot[] => [...entries.keys()].filter(slot => !isRecovered(slot));

    return {
        begin(slots, others, waitMs) {
            const giveUpMs = clock.nowMs() + waitMs;
            slots.forEach(slot =>
                entries.set(slot, { slot, unanswered: new Set(others), holders: new Map(), giveUpMs })
            );
        },
        isRecovered,
        toAsk() {
            const openEntries = open().flatMap(slot => entries.get(slot) ?? []);
            return [...new Set(openEntries.flatMap(entry => [...entry.unanswered, ...entry.holders.keys()]))];
        },
        open,
        noteAnswer(from, asked, held) {
            const nowMs = clock.nowMs();
            asked.flatMap(slot => entries.get(slot) ?? []).forEach(entry => {
                entry.unanswered.delete(from);
                entry.holders.delete(from);
            });
            held.forEach(({ upstream, index, remainingMs }) =>
                asked
                    .filter(slot => slot.upstream === upstream && slot.index === index)
                    .forEach(slot => entries.get(slot)?.holders.set(from, nowMs + remainingMs))
            );
        },
        noteReturn(from, slot) {
            entries.get(slot)?.holders.delete(from);
        },
        retain(vms) {
            entries.forEach(entry => entry.unanswered.forEach(vm => vms.includes(vm) || entry.unanswered.delete(vm)));
        },
        get isDone() {
            return open().length === 0;
        },
    };
}
