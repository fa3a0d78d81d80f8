import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import type { Ownership } from "@peridotloft/ownership";
import type { DocumentView } from "./DocumentView.js";

/** A request that occupies a slot that this VM assigned. */
export interface SlotUse {
    readonly leaseId: number;
    /** The VM that runs the request; undefined when it is this VM. */
    readonly borrower: core.VmId | undefined;
    /** Time in ms on this VM's clock at which a lent slot is freed if it has not been returned. */
    expiresMs: number;
    pool: core.PoolId;
    customer: core.CustomerId;
    estimatedCost: number;
}

/**
 * - `owner`: this VM owns the slot and may assign it.
 * - `substitute`: this VM has taken over the warm slot of an unresponsive owner.
 * - `none`: another VM assigns the slot, or this VM still waits for its previous owner.
 */
export type SlotRole = "owner" | "substitute" | "none";

export interface Slot {
    readonly resource: string;
    readonly upstream: core.UpstreamId;
    readonly index: number;
    role: SlotRole;
    /** VM that assigns the slot, its owner or a substitute, as far as it is known to this VM. */
    coordinator: core.VmId | undefined;
    use: SlotUse | undefined;
}

/** The slots of all upstreams, with the uses of those that this VM coordinates as owner or substitute. */
export interface SlotTable {
    /** Adopts a document; returns the slots that this VM owns now and did not own before. */
    adoptDocument(view: DocumentView): readonly Slot[];
    /** Recomputes the coordinator of each slot; returns the slots that this VM owns now and did not own before. */
    refresh(): readonly Slot[];
    /** Whether this VM waits for the previous owner of one of its slots. */
    readonly hasPendingHandover: boolean;
    /** Slots that this VM coordinates, whether in use or free. */
    ofUpstream(upstream: core.UpstreamId): readonly Slot[];
    ofPool(pool: core.PoolId): readonly Slot[];
    /** Other VMs that coordinate at least one slot of the pool. */
    coordinators(pool: core.PoolId): readonly core.VmId[];
    find(upstream: core.UpstreamId, index: number): Slot | undefined;
    findLease(leaseId: number): Slot | undefined;
    occupy(slot: Slot, use: SlotUse): void;
    /** Frees the slot of this lease; returns its use, or undefined if the lease is unknown. */
    free(leaseId: number): SlotUse | undefined;
    /** All slots in use, including those that this VM no longer coordinates. */
    inUse(): readonly Slot[];
}

export interface SlotTableOptions {
    readonly self: core.VmId;
    readonly ownership: Ownership;
    readonly isUnresponsive: (peer: core.VmId) => boolean;
    readonly mayTakeOver: (index: number, upstream: documents.Upstream) => boolean;
}

export const slotResource = (upstream: core.UpstreamId, index: number): string => `slot/${upstream}/${index}`;

export function createSlotTable({ self, ownership, isUnresponsive, mayTakeOver }: SlotTableOptions): SlotTable {
    const slots = new Map<string, Slot>();
    const slotsByLease = new Map<number, Slot>();
    let view: DocumentView | undefined;
    let hasPendingHandover = false;
    let byUpstream = new Map<core.UpstreamId, Slot[]>();
    let byPool = new Map<core.PoolId, Slot[]>();
    let coordinatorsByPool = new Map<core.PoolId, Set<core.VmId>>();

    const roleOf = (slot: Slot, upstream: documents.Upstream): SlotRole => {
        const holding = ownership.holdingOf(slot.resource);
        if (holding.kind === "held") {
            slot.coordinator = self;
            return "owner";
        }
        hasPendingHandover ||= holding.kind === "waiting";
        const owner = ownership.ownerOf(slot.resource);
        slot.coordinator = owner;
        if (holding.kind === "waiting" || !isUnresponsive(owner) || !mayTakeOver(slot.index, upstream)) {
            return "none";
        }
        slot.coordinator = ownership.ranking(slot.resource).find(vm => vm === self || !isUnresponsive(vm));
        return slot.coordinator === self ? "substitute" : "none";
    };

    const rebuildIndexes = (): void => {
        byUpstream = new Map();
        byPool = new Map();
        coordinatorsByPool = new Map();
        slots.forEach(slot => {
            const upstreamView = view?.upstreams.get(slot.upstream);
            if (!upstreamView || slot.index >= upstreamView.upstream.slots) {
                return;
            }
            const poolCoordinators = coordinatorsByPool.get(upstreamView.pool.id) ?? new Set<core.VmId>();
            coordinatorsByPool.set(upstreamView.pool.id, poolCoordinators);
            if (slot.coordinator && slot.coordinator !== self) {
                poolCoordinators.add(slot.coordinator);
            }
            if (slot.role !== "none") {
                byUpstream.set(slot.upstream, [...byUpstream.get(slot.upstream) ?? [], slot]);
                const ofPool = byPool.get(upstreamView.pool.id) ?? [];
                byPool.set(upstreamView.pool.id, ofPool);
                ofPool.push(slot);
            }
        });
    };

    const refresh = (): Slot[] => {
        hasPendingHandover = false;
        const gained: Slot[] = [];
        slots.forEach(slot => {
            const upstream = view?.upstreams.get(slot.upstream)?.upstream;
            const before = slot.role;
            slot.role = upstream && slot.index < upstream.slots ? roleOf(slot, upstream) : "none";
            if (slot.role === "owner" && before !== "owner") {
                gained.push(slot);
            }
        });
        rebuildIndexes();
        return gained;
    };

    const addMissingSlots = (upstream: documents.Upstream): void => {
        Array.from({ length: upstream.slots }, (_, slotIndex) => slotIndex).forEach(slotIndex => {
            const resource = slotResource(upstream.id, slotIndex);
            if (!slots.has(resource)) {
                slots.set(resource, {
                    resource,
                    upstream: upstream.id,
                    index: slotIndex,
                    role: "none",
                    coordinator: undefined,
                    use: undefined,
                });
            }
        });
    };

    const removeUnlistedSlots = (): void =>
        slots.forEach(slot => {
            const upstream = view?.upstreams.get(slot.upstream)?.upstream;
            if ((!upstream || slot.index >= upstream.slots) && !slot.use) {
                slots.delete(slot.resource);
            }
        });

    return {
        adoptDocument(next) {
            view = next;
            removeUnlistedSlots();
            next.upstreams.forEach(({ upstream }) => addMissingSlots(upstream));
            return refresh();
        },
        refresh,
        get hasPendingHandover() {
            return hasPendingHandover;
        },
        ofUpstream: upstream => byUpstream.get(upstream) ?? [],
        ofPool: pool => byPool.get(pool) ?? [],
        coordinators: pool => [...coordinatorsByPool.get(pool) ?? []],
        find: (upstream, slotIndex) => slots.get(slotResource(upstream, slotIndex)),
        findLease: leaseId => slotsByLease.get(leaseId),
        occupy(slot, use) {
            slot.use = use;
            slotsByLease.set(use.leaseId, slot);
        },
        free(leaseId) {
            const slot = slotsByLease.get(leaseId);
            slotsByLease.delete(leaseId);
            const use = slot?.use;
            if (slot) {
                slot.use = undefined;
            }
            return use;
        },
        inUse: () => [...slotsByLease.values()],
    };
}
