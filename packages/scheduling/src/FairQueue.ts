import type * as core from "@peridotloft/core";
import type { Result } from "neverthrow";
import type { QueueRefusal, SlotLease, SlotRequest } from "./Scheduler.js";

/** A request in the queue of this VM. */
export interface Waiter {
    readonly request: SlotRequest;
    readonly enqueuedMs: number;
    /** Time on this VM's clock by which the request must have ended, in ms. */
    readonly deadlineMs: number;
    readonly resolve: (result: Result<SlotLease, QueueRefusal>) => void;
}

/** The queue of one pool on this VM, with a FIFO queue for each customer. */
export interface FairQueue {
    add(waiter: Waiter): void;
    remove(waiter: Waiter): boolean;
    lengthOf(customer: core.CustomerId): number;
    readonly size: number;
    /** Customers with waiting requests, the one with the smallest virtual time first. */
    customersByVirtualTime(): readonly core.CustomerId[];
    customers(): readonly core.CustomerId[];
    oldest(customer: core.CustomerId): Waiter | undefined;
    /** Oldest request of the customer that does not exclude the upstream. */
    firstEligible(customer: core.CustomerId, upstream: core.UpstreamId): Waiter | undefined;
    expired(nowMs: number): readonly Waiter[];
    waiters(): readonly Waiter[];
}

export interface FairQueueOptions {
    readonly virtualTime: (customer: core.CustomerId) => number;
    /** Called with the new length when a request joins or leaves the queue of a customer. */
    readonly onLengthChange: (customer: core.CustomerId, length: number) => void;
}

export function createFairQueue({ virtualTime, onLengthChange }: FairQueueOptions): FairQueue {
    const queues = new Map<core.CustomerId, Waiter[]>();
    let size = 0;
    const waiters = (): Waiter[] => [...queues.values()].flat();

    return {
        add(waiter) {
            const { customer } = waiter.request;
            const queue = queues.get(customer) ?? [];
            queues.set(customer, queue);
            queue.push(waiter);
            size++;
            onLengthChange(customer, queue.length);
        },
        remove(waiter) {
            const { customer } = waiter.request;
            const queue = queues.get(customer) ?? [];
            const index = queue.indexOf(waiter);
            if (index < 0) {
                return false;
            }
            queue.splice(index, 1);
            size--;
            if (queue.length === 0) {
                queues.delete(customer);
            }
            onLengthChange(customer, queue.length);
            return true;
        },
        lengthOf: customer => queues.get(customer)?.length ?? 0,
        get size() {
            return size;
        },
        customersByVirtualTime: () =>
            [...queues.keys()]
                .map(customer => ({ customer, time: virtualTime(customer) }))
                .sort((left, right) => left.time - right.time)
                .map(({ customer }) => customer),
        customers: () => [...queues.keys()],
        oldest: customer => queues.get(customer)?.[0],
        firstEligible: (customer, upstream) =>
            queues.get(customer)?.find(waiter => !waiter.request.exclude.includes(upstream)),
        expired: nowMs => [...queues.values()].flatMap(queue => queue.filter(waiter => waiter.deadlineMs <= nowMs)),
        waiters,
    };
}
