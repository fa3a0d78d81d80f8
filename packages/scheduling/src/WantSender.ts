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
    noteGrant(pool: core.PoolId, lender: core.VmId): void;
    /** Notes how many slots of a pool a peer could lend. */
    noteHint(pool: core.PoolId, peer: core.VmId, free: number): void;
}

export interface WantSenderOptions {
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly sender: MessageSender;
    /** VMs that decide on slots of the pool, the ones in this VM's availability zone first. */
    readonly deciders: (pool: core.PoolId) => readonly core.VmId[];
    readonly maxOwners: number;
    readonly wantLifetimeMs: number;
}

interface Told {
    readonly atMs: number;
    readonly customers: ReadonlySet<core.CustomerId>;
    /** Requests that the owner believes to be waiting here. */
    left: number;
}

interface PoolWants {
    /** Time at which the present backlog began, in ms; undefined without backlog. */
    sinceMs: number | undefined;
    readonly told: Map<core.VmId, Told>;
    readonly hints: Map<core.VmId, number>;
}

export function createWantSender(options: WantSenderOptions): WantSender {
    const { clock, random, sender } = options;
    const pools = new Map<core.PoolId, PoolWants>();
    const sent = new Map<number, number>();
    let lastSequence = 0;

    const stateOf = (pool: core.PoolId): PoolWants => {
        const state = pools.get(pool) ?? { sinceMs: undefined, told: new Map(), hints: new Map() };
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

    const send = (pool: core.PoolId, state: PoolWants, queue: FairQueue, owner: core.VmId): void => {
        const nowMs = clock.nowMs();
        const sequence = ++lastSequence;
        const customers = queue.customers();
        sent.set(sequence, nowMs);
        state.told.set(owner, { atMs: nowMs, customers: new Set(customers), left: queue.size });
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

    /** Asks only a few owners that can probably lend, as long as they may suffice. */
    const targets = (pool: core.PoolId, state: PoolWants, waiting: number): readonly core.VmId[] => {
        const owners = options.deciders(pool);
        const likely = owners.filter(owner => (state.hints.get(owner) ?? 0) > 0);
        const waitedMs = clock.nowMs() - (state.sinceMs ?? 0);
        if (likely.length > 0 && waitedMs < constants.wantEscalationMs) {
            return likely.slice(0, waiting + 1);
        }
        if (owners.length <= options.maxOwners) {
            return owners;
        }
        const current = owners.filter(owner => state.told.has(owner));
        return [...new Set([...likely, ...current, ...core.shuffle(owners, random)])].slice(0, options.maxOwners);
    };

    const isDue = (told: Told | undefined, queue: FairQueue): boolean => {
        if (!told) {
            return true;
        }
        const ageMs = clock.nowMs() - told.atMs;
        if (ageMs < constants.wantSpacingMs) {
            return false;
        }
        const isShort = told.left * 2 < queue.size;
        const hasNew = queue.customers().some(customer => !told.customers.has(customer));
        return isShort || hasNew || ageMs >= constants.wantRefreshMs;
    };

    return {
        update(pool, queue) {
            const state = stateOf(pool);
            forgetOld();
            if (queue.size === 0) {
                state.sinceMs = undefined;
                return;
            }
            state.sinceMs ??= clock.nowMs();
            targets(pool, state, queue.size)
                .filter(owner => isDue(state.told.get(owner), queue))
                .forEach(owner => send(pool, state, queue, owner));
        },
        sentMs(sequence) {
            forgetOld();
            return sent.get(sequence);
        },
        noteGrant(pool, lender) {
            const state = stateOf(pool);
            const told = state.told.get(lender);
            if (told) {
                told.left--;
            }
            state.hints.set(lender, Math.max(0, (state.hints.get(lender) ?? 0) - 1));
        },
        noteHint(pool, peer, free) {
            stateOf(pool).hints.set(peer, free);
        },
    };
}
