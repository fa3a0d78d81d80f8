import { create } from "@bufbuild/protobuf";
import * as core from "@peridotloft/core";
import type { FairQueue } from "./FairQueue.js";
import * as gen from "./gen/scheduling_pb.js";
import * as constants from "./SchedulingConstants.js";
import type { MessageSender } from "./SchedulingMessages.js";

/**
 * Sends wants, which announce the waiting requests of this VM, to the coordinators of slots. The coordinator of a slot is
 * the VM that assigns it: its owner or a substitute.
 */
export interface WantSender {
    /** Sends new wants to coordinators whose last want is out of date, and schedules the next update. */
    update(pool: core.PoolId, queue: FairQueue): void;
    /** Time in ms on this VM's clock at which the want was sent; undefined if it is unknown or has expired. */
    sentAtMs(sequence: number): number | undefined;
    /** Subtracts a grant from the want that its lender holds. */
    recordGrant(pool: core.PoolId, lender: core.VmId, customer: core.CustomerId): void;
    /** Records that a grant was declined. The lender then removes the want of the customer, or of all if undefined. */
    recordDeclined(pool: core.PoolId, lender: core.VmId, customer: core.CustomerId | undefined): void;
    /** Records how many slots of a pool a peer could lend. */
    recordHint(pool: core.PoolId, peer: core.VmId, free: number): void;
    dispose(): void;
}

export interface WantSenderOptions {
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly sender: MessageSender;
    /** Other VMs that coordinate slots of the pool. */
    readonly coordinators: (pool: core.PoolId) => readonly core.VmId[];
    /** Whether a VM is in this VM's availability zone. */
    readonly isInSameZone: (vm: core.VmId) => boolean;
    readonly maxCoordinators: number;
    readonly wantLifetimeMs: number;
}

/** The want that a coordinator holds, less the grants received since. */
interface SentWant {
    readonly sentMs: number;
    /** Number of requests of each customer that wait on this VM according to that want. */
    readonly remaining: Map<core.CustomerId, number>;
}

interface PoolWants {
    readonly lastWants: Map<core.VmId, SentWant>;
    readonly hints: Map<core.VmId, number>;
    cancelUpdate: (() => void) | undefined;
}

interface Target {
    readonly coordinator: core.VmId;
    readonly customers: readonly core.CustomerId[];
}

export function createWantSender(options: WantSenderOptions): WantSender {
    const { clock, random, sender } = options;
    const pools = new Map<core.PoolId, PoolWants>();
    const sentTimes = new Map<number, number>();
    let lastSequence = 0;

    const stateOf = (pool: core.PoolId): PoolWants => {
        const state = pools.get(pool)
            ?? { lastWants: new Map(), hints: new Map(), cancelUpdate: undefined };
        pools.set(pool, state);
        return state;
    };

    const evictExpired = (): void => {
        const oldestMs = clock.nowMs() - options.wantLifetimeMs;
        for (const [sequence, sentMs] of sentTimes) {
            if (sentMs >= oldestMs) {
                return;
            }
            sentTimes.delete(sequence);
        }
    };

    const sendWant = (
        pool: core.PoolId,
        state: PoolWants,
        queue: FairQueue,
        { coordinator, customers }: Target,
    ): void => {
        const nowMs = clock.nowMs();
        const sequence = ++lastSequence;
        const remaining = new Map(customers.map(customer => [customer, queue.lengthOf(customer)]));
        sentTimes.set(sequence, nowMs);
        state.lastWants.set(coordinator, { sentMs: nowMs, remaining });
        const entries = customers.map(customer => {
            const oldest = queue.oldest(customer);
            return create(gen.WantEntrySchema, {
                customer,
                waiting: queue.lengthOf(customer),
                estimatedCost: oldest?.request.estimatedCost ?? 0,
                oldestWaitMs: Math.round(nowMs - (oldest?.enqueuedMs ?? nowMs)),
                excluded: [...oldest?.request.exclude ?? []],
            });
        });
        void sender.call(coordinator, { case: "want", value: create(gen.WantSchema, { sequence, pool, entries }) });
    };

    const hasFree = (state: PoolWants, coordinator: core.VmId): boolean => (state.hints.get(coordinator) ?? 0) > 0;

    /** Orders coordinators by free slots, then by availability zone with this VM's zone first, then at random. */
    const rankCoordinators = (state: PoolWants, coordinators: readonly core.VmId[]): readonly core.VmId[] => {
        const shuffled = core.shuffle(coordinators, random);
        const sameZone = new Set(shuffled.filter(options.isInSameZone));
        const sameZoneFirst = [...sameZone, ...shuffled.filter(coordinator => !sameZone.has(coordinator))];
        return [
            ...sameZoneFirst.filter(coordinator => hasFree(state, coordinator)),
            ...sameZoneFirst.filter(coordinator => !hasFree(state, coordinator)),
        ];
    };

    /**
     * Selects `count` coordinators. Among those without free slots, coordinators that already hold a want of the customer are
     * preferred, so that few coordinators hold its wants.
     */
    const selectCoordinators = (
        state: PoolWants,
        order: readonly core.VmId[],
        customer: core.CustomerId,
        count: number,
    ): readonly core.VmId[] => {
        if (count >= order.length) {
            return order;
        }
        const isPreferred = (coordinator: core.VmId): boolean =>
            hasFree(state, coordinator) || (state.lastWants.get(coordinator)?.remaining.get(customer) ?? 0) > 0;
        const preferred = order.filter(isPreferred);
        const missing = count - preferred.length;
        return missing <= 0
            ? preferred.slice(0, count)
            : [...preferred, ...order.filter(coordinator => !isPreferred(coordinator)).slice(0, missing)];
    };

    /**
     * Only a few coordinators get a want for each waiting request. A coordinator whose want is stale, because another one has
     * served the request, grants a slot that is declined, and a customer with little work would wait behind such wants. While
     * coordinators with free slots are known, only one of them gets the want at first.
     */
    const coordinatorsFor = (
        state: PoolWants,
        order: readonly core.VmId[],
        free: number,
        queue: FairQueue,
        customer: core.CustomerId,
    ): readonly core.VmId[] => {
        const waiting = queue.lengthOf(customer);
        const waitedMs = clock.nowMs() - (queue.oldest(customer)?.enqueuedMs ?? 0);
        const isSingleCoordinatorEnough = free >= waiting && waitedMs < constants.wantEscalationMs;
        const coordinatorCount = isSingleCoordinatorEnough ? waiting : waiting * constants.coordinatorsPerRequest;
        return selectCoordinators(state, order, customer, Math.min(options.maxCoordinators, coordinatorCount));
    };

    const targets = (pool: core.PoolId, state: PoolWants, queue: FairQueue): Target[] => {
        const order = rankCoordinators(state, options.coordinators(pool));
        const free = order.reduce((sum, coordinator) => sum + (state.hints.get(coordinator) ?? 0), 0);
        const perCoordinator = new Map<core.VmId, core.CustomerId[]>();
        queue.customers().forEach(customer =>
            coordinatorsFor(state, order, free, queue, customer).forEach(coordinator => {
                perCoordinator.set(coordinator, [...perCoordinator.get(coordinator) ?? [], customer]);
            })
        );
        return [...perCoordinator].map(([coordinator, customers]) => ({ coordinator, customers }));
    };

    /** Time in ms at which the coordinator should get a new want; in the past if it should get one at once. */
    const dueMs = (lastWant: SentWant | undefined, queue: FairQueue, customers: readonly core.CustomerId[]): number => {
        if (!lastWant) {
            return Number.NEGATIVE_INFINITY;
        }
        const remainingOf = (customer: core.CustomerId): number => lastWant.remaining.get(customer) ?? 0;
        if (customers.some(customer => remainingOf(customer) === 0)) {
            return lastWant.sentMs + constants.newCustomerWantSpacingMs;
        }
        const hasGrownBacklog = customers.some(customer => remainingOf(customer) * 2 < queue.lengthOf(customer));
        return lastWant.sentMs + (hasGrownBacklog ? constants.wantSpacingMs : constants.wantRefreshPeriodMs);
    };

    const update = (pool: core.PoolId, queue: FairQueue): void => {
        const state = stateOf(pool);
        state.cancelUpdate?.();
        state.cancelUpdate = undefined;
        evictExpired();
        if (queue.size === 0) {
            return;
        }
        const nowMs = clock.nowMs();
        const due = targets(pool, state, queue).map(target => ({
            target,
            dueAtMs: dueMs(state.lastWants.get(target.coordinator), queue, target.customers),
        }));
        due.filter(({ dueAtMs }) => dueAtMs <= nowMs).forEach(({ target }) => sendWant(pool, state, queue, target));
        const escalations = queue.customers()
            .map(customer => (queue.oldest(customer)?.enqueuedMs ?? 0) + constants.wantEscalationMs);
        const next = Math.min(
            ...[...due.map(({ dueAtMs }) => dueAtMs), ...escalations].filter(dueAtMs => dueAtMs > nowMs),
        );
        if (next < nowMs + constants.tickMs) {
            state.cancelUpdate = clock.setTimer(next - nowMs, () => update(pool, queue));
        }
    };

    return {
        update,
        sentAtMs(sequence) {
            evictExpired();
            return sentTimes.get(sequence);
        },
        recordGrant(pool, lender, customer) {
            const state = stateOf(pool);
            const remaining = state.lastWants.get(lender)?.remaining;
            remaining?.set(customer, Math.max(0, (remaining.get(customer) ?? 0) - 1));
            state.hints.set(lender, Math.max(0, (state.hints.get(lender) ?? 0) - 1));
        },
        recordDeclined(pool, lender, customer) {
            const remaining = stateOf(pool).lastWants.get(lender)?.remaining;
            if (customer === undefined) {
                remaining?.clear();
            }
            else {
                remaining?.delete(customer);
            }
        },
        recordHint(pool, peer, free) {
            stateOf(pool).hints.set(peer, free);
        },
        dispose: () => pools.forEach(state => state.cancelUpdate?.()),
    };
}
