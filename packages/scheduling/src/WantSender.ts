import { create } from "@bufbuild/protobuf";
import * as core from "@peridotloft/core";
import type { FairQueue } from "./FairQueue.js";
import * as gen from "./gen/scheduling_pb.js";
import * as constants from "./SchedulingConstants.js";
import type { MessageSender } from "./SchedulingMessages.js";

/** Tells the owners of slots what this VM is waiting for. */
export interface WantSender {
    /** Sends what has changed since the owners were last told. */
    update(pool: core.PoolId, queue: FairQueue): void;
    /** Time on this VM's clock at which the want was sent, in ms; undefined when it is unknown or too old. */
    sentMs(sequence: number): number | undefined;
    /** Counts a grant against the want of its lender. */
    noteGrant(pool: core.PoolId, lender: core.VmId, customer: core.CustomerId): void;
    /** Notes that a grant was declined, after which the lender has forgotten the want. */
    noteDeclined(pool: core.PoolId, lender: core.VmId, customer: core.CustomerId | undefined): void;
    /** Notes how many slots of a pool a peer could lend. */
    noteHint(pool: core.PoolId, peer: core.VmId, free: number): void;
    dispose(): void;
}

export interface WantSenderOptions {
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly sender: MessageSender;
    /** VMs that decide on slots of the pool. */
    readonly deciders: (pool: core.PoolId) => readonly core.VmId[];
    /** Whether a VM is in this VM's availability zone. */
    readonly isNear: (vm: core.VmId) => boolean;
    readonly maxOwners: number;
    readonly wantLifetimeMs: number;
}

interface Told {
    readonly atMs: number;
    /** Requests of each customer that the owner believes to be waiting here. */
    readonly left: Map<core.CustomerId, number>;
}

interface PoolWants {
    readonly told: Map<core.VmId, Told>;
    readonly hints: Map<core.VmId, number>;
    cancelUpdate: (() => void) | undefined;
}

interface Target {
    readonly owner: core.VmId;
    readonly customers: readonly core.CustomerId[];
}

export function createWantSender(options: WantSenderOptions): WantSender {
    const { clock, random, sender } = options;
    const pools = new Map<core.PoolId, PoolWants>();
    const sent = new Map<number, number>();
    let lastSequence = 0;

    const stateOf = (pool: core.PoolId): PoolWants => {
        const state = pools.get(pool)
            ?? { told: new Map(), hints: new Map(), cancelUpdate: undefined };
        pools.set(pool, state);
        return state;
    };

    const forgetOld = (): void => {
        const oldestMs = clock.nowMs() - options.wantLifetimeMs;
        for (const [sequence, atMs] of sent) {
            if (atMs >= oldestMs) {
                return;
            }
            sent.delete(sequence);
        }
    };

    const send = (pool: core.PoolId, state: PoolWants, queue: FairQueue, { owner, customers }: Target): void => {
        const nowMs = clock.nowMs();
        const sequence = ++lastSequence;
        const left = new Map(customers.map(customer => [customer, queue.lengthOf(customer)]));
        sent.set(sequence, nowMs);
        state.told.set(owner, { atMs: nowMs, left });
        const entries = customers.map(customer => {
            const oldest = queue.oldest(customer);
            return create(gen.WantEntrySchema, {
                customer,
                waiting: queue.lengthOf(customer),
                estimatedCost: oldest?.request.estimatedCost ?? 0,
                oldestWaitMs: Math.round(nowMs - (oldest?.enqueuedMs ?? nowMs)),
            });
        });
        void sender.call(owner, { case: "want", value: create(gen.WantSchema, { sequence, pool, entries }) });
    };

    /** Owners in the order in which they should be asked: those that could lend, then those that know of the customer. */
    const ordered = (state: PoolWants, owners: readonly core.VmId[], customer: core.CustomerId): core.VmId[] => {
        const rank = (owner: core.VmId): number => {
            if ((state.hints.get(owner) ?? 0) > 0) {
                return 0;
            }
            return (state.told.get(owner)?.left.get(customer) ?? 0) > 0 ? 1 : 2;
        };
        const isNear = options.isNear;
        return core.shuffle(owners, random).sort((left, right) =>
            rank(left) - rank(right) || Number(isNear(right)) - Number(isNear(left))
        );
    };

    /**
     * Each waiting request is told to a few owners only. An owner that still believes in a request which another owner
     * has served would hold a slot for it, and a customer with little work would wait behind such wants.
     */
    const targets = (pool: core.PoolId, state: PoolWants, queue: FairQueue): Target[] => {
        const owners = options.deciders(pool);
        const perOwner = new Map<core.VmId, core.CustomerId[]>();
        queue.customers().forEach(customer => {
            const wanted = Math.min(options.maxOwners, queue.lengthOf(customer) * constants.ownersPerRequest);
            ordered(state, owners, customer).slice(0, wanted).forEach(owner => {
                perOwner.set(owner, [...perOwner.get(owner) ?? [], customer]);
            });
        });
        return [...perOwner].map(([owner, customers]) => ({ owner, customers }));
    };

    /** Time at which the owner should be told, in ms. */
    const dueMs = (told: Told | undefined, queue: FairQueue, customers: readonly core.CustomerId[]): number => {
        if (!told) {
            return clock.nowMs();
        }
        const leftOf = (customer: core.CustomerId): number => told.left.get(customer) ?? 0;
        if (customers.some(customer => leftOf(customer) === 0)) {
            return told.atMs + constants.wantSpacingNewMs;
        }
        const isShort = customers.some(customer => leftOf(customer) * 2 < queue.lengthOf(customer));
        return told.atMs + (isShort ? constants.wantSpacingMs : constants.wantRefreshMs);
    };

    const update = (pool: core.PoolId, queue: FairQueue): void => {
        const state = stateOf(pool);
        state.cancelUpdate?.();
        state.cancelUpdate = undefined;
        forgetOld();
        if (queue.size === 0) {
            return;
        }
        const nowMs = clock.nowMs();
        const due = targets(pool, state, queue).map(target => ({
            target,
            atMs: dueMs(state.told.get(target.owner), queue, target.customers),
        }));
        due.filter(({ atMs }) => atMs <= nowMs).forEach(({ target }) => send(pool, state, queue, target));
        const next = Math.min(...due.map(({ atMs }) => atMs).filter(atMs => atMs > nowMs));
        if (next < nowMs + constants.tickMs) {
            state.cancelUpdate = clock.setTimer(next - nowMs, () => update(pool, queue));
        }
    };

    return {
        update,
        sentMs(sequence) {
            forgetOld();
            return sent.get(sequence);
        },
        noteGrant(pool, lender, customer) {
            const state = stateOf(pool);
            const left = state.told.get(lender)?.left;
            left?.set(customer, Math.max(0, (left.get(customer) ?? 0) - 1));
            state.hints.set(lender, Math.max(0, (state.hints.get(lender) ?? 0) - 1));
        },
        noteDeclined(pool, lender, customer) {
            const left = stateOf(pool).told.get(lender)?.left;
            if (customer === undefined) {
                left?.clear();
            }
            else {
                left?.delete(customer);
            }
        },
        noteHint(pool, peer, free) {
            stateOf(pool).hints.set(peer, free);
        },
        dispose: () => pools.forEach(state => state.cancelUpdate?.()),
    };
}
