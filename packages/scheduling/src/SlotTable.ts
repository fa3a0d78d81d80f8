import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import type { Ownership } from "@peridotloft/ownership";
import type { DocumentView } from "./DocumentView.js";

/** One request that occupies a slot of this VM. */
export interface SlotUse {
    readonly lease: number;
    /** The VM that runs the request; undefined when it is this VM. */
    readonly borrower: core.VmId | undefined;
    /** Time on this VM's clock at which a lent slot is free even if it was not returned, in ms. */
    expiresMs: number;
    pool: core.PoolId;
    customer: core.CustomerId;
    estimatedCost: number;
}

/**
 * - `owner`: this VM owns the slot and may act on it.
 * - `substitute`: this VM has taken over the warm slot of a silent owner.
 * - `none`: another VM decides.
 */
export type SlotRole = "owner" | "substitute" | "none";

export interface Slot {
    readonly resource: string;
    readonly upstream: core.UpstreamId;
    readonly index: number;
    role: SlotRole;
    /** VM that decides on the slot as far as this VM knows. */
    decider: core.VmId | undefined;
    use: SlotUse | undefined;
}

/** The slots of all upstreams, and what the ones that this VM decides on are used for. */
export interface SlotTable {
    /** Adopts a document; returns the slots that this VM owns now and did not own before. */
    adopt(view: DocumentView): readonly Slot[];
    /** Recomputes who decides on each slot; returns the slots that this VM owns now and did not own before. */
    refresh(): readonly Slot[];
    /** Whether a slot waits for its previous owner. */
    readonly hasWaiting: boolean;
    /** Slots that this VM decides on, whether in use or not. */
    ofUpstream(upstream: core.UpstreamId): readonly Slot[];
    ofPool(pool: core.PoolId): readonly Slot[];
    /** VMs that decide on at least one slot of the pool, without this VM. */
    deciders(pool: core.PoolId): readonly core.VmId[];
    find(upstream: core.UpstreamId, index: number): Slot | undefined;
    findLease(lease: number): Slot | undefined;
    occupy(slot: Slot, use: SlotUse): void;
    /** Frees the slot of this lease; returns its use, or undefined when the lease is not known. */
    free(lease: number): SlotUse | undefined;
    /** Every slot in use, also those that this VM no longer decides on. */
    inUse(): readonly Slot[];
}

export interface SlotTableOptions {
    readonly self: core.VmId;
    readonly ownership: Ownership;
    readonly isSilent: (peer: core.VmId) => boolean;
    readonly mayTakeOver: (index: number, upstream: documents.Upstream) => boolean;
}

export const slotResource = (upstream: core.UpstreamId, index: number): string => `slot/${upstream}/${index}`;

export function createSlotTable({ self, ownership, isSilent, mayTakeOver }: SlotTableOptions): SlotTable {
    const slots = new Map<string, Slot>();
    const leases = new Map<number, Slot>();
    let view: DocumentView | undefined;
    let hasWaiting = false;
    let byUpstream = new Map<core.UpstreamId, Slot[]>();
    let byPool = new Map<core.PoolId, Slot[]>();
    let decidersOf = new Map<core.PoolId, Set<core.VmId>>();

    const roleOf = (slot: Slot, upstream: documents.Upstream): SlotRole => {
        const holding = ownership.holdingOf(slot.resource);
        if (holding.kind === "held") {
            slot.decider = self;
            return "owner";
        }
        hasWaiting ||= holding.kind === "waiting";
        const owner = ownership.ownerOf(slot.resource);
        slot.decider = owner;
        if (holding.kind === "waiting" || !isSilent(owner) || !mayTakeOver(slot.index, upstream)) {
            return "none";
        }
        slot.decider = ownership.ranking(slot.resource).find(vm => vm === self || !isSilent(vm));
        return slot.decider === self ? "substitute" : "none";
    };

    const index = (): void => {
        byUpstream = new Map();
        byPool = new Map();
        decidersOf = new Map();
        slots.forEach(slot => {
            const known = view?.upstreams.get(slot.upstream);
            if (!known || slot.index >= known.upstream.slots) {
                return;
            }
            const deciders = decidersOf.get(known.pool.id) ?? new Set<core.VmId>();
            decidersOf.set(known.pool.id, deciders);
            if (slot.decider && slot.decider !== self) {
                deciders.add(slot.decider);
            }
            if (slot.role !== "none") {
                byUpstream.set(slot.upstream, [...byUpstream.get(slot.upstream) ?? [], slot]);
                const ofPool = byPool.get(known.pool.id) ?? [];
                byPool.set(known.pool.id, ofPool);
                ofPool.push(slot);
            }
        });
    };

    const refresh = (): Slot[] => {
        hasWaiting = false;
        const gained: Slot[] = [];
        slots.forEach(slot => {
            const upstream = view?.upstreams.get(slot.upstream)?.upstream;
            const before = slot.role;
            slot.role = upstream && slot.index < upstream.slots ? roleOf(slot, upstream) : "none";
            if (slot.role === "owner" && before !== "owner") {
                gained.push(slot);
            }
        });
        index();
        return gained;
    };

    const addMissing = (upstream: documents.Upstream): void => {
        Array.from({ length: upstream.slots }, (_, each) => each).forEach(each => {
            const resource = slotResource(upstream.id, each);
            if (!slots.has(resource)) {
                slots.set(resource, {
                    resource,
                    upstream: upstream.id,
                    index: each,
                    role: "none",
                    decider: undefined,
                    use: undefined,
                });
            }
        });
    };

    const removeUnknown = (): void =>
        slots.forEach(slot => {
            const upstream = view?.upstreams.get(slot.upstream)?.upstream;
            if ((!upstream || slot.index >= upstream.slots) && !slot.use) {
                slots.delete(slot.resource);
            }
        });

    return {
        adopt(next) {
            view = next;
            removeUnknown();
            next.upstreams.forEach(({ upstream }) => addMissing(upstream));
            return refresh();
        },
        refresh,
        get hasWaiting() {
            return hasWaiting;
        },
        ofUpstream: upstream => byUpstream.get(upstream) ?? [],
        ofPool: pool => byPool.get(pool) ?? [],
        deciders: pool => [...decidersOf.get(pool) ?? []],
        find: (upstream, each) => slots.get(slotResource(upstream, each)),
        findLease: lease => leases.get(lease),
        occupy(slot, use) {
            slot.use = use;
            leases.set(use.lease, slot);
        },
        free(lease) {
            const slot = leases.get(lease);
            leases.delete(lease);
            const use = slot?.use;
            if (slot) {
                slot.use = undefined;
            }
            return use;
        },
        inUse: () => [...leases.values()],
    };
}
