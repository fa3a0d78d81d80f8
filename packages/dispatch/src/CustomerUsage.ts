import * as core from "@peridotloft/core";
import { createDecayingSum, type DecayingSum } from "./LoadModel.js";

/** Recent engine usage of each customer, over the whole fleet as far as it is known to this VM. */
export interface CustomerUsage {
    record(customerHash: number, cost: number, nowMs: number): void;
    /** Usage of a customer relative to that of the heaviest customer, 0 to 1. */
    relative(customerHash: number, nowMs: number): number;
}

/** Time constant in ms of the decay of usage: the platform measures shares over windows of 4 s. */
const usageTimeConstantMs = 4_000;
/** Usage in tokens below which a customer's entry is evicted. */
const negligibleTokens = 1;

export function createCustomerUsage(): CustomerUsage {
    const sums = new Map<number, DecayingSum>();
    let largest = 0;
    let largestMs = Number.NEGATIVE_INFINITY;

    // The largest usage changes slowly compared with the request rate, so it is cached for a short time.
    const refreshLargest = (nowMs: number): number => {
        if (nowMs - largestMs < largestRefreshMs) {
            return largest;
        }
        largestMs = nowMs;
        largest = 0;
        sums.forEach((sum, hash) => {
            const value = sum.value(nowMs);
            largest = Math.max(largest, value);
            if (value < negligibleTokens) {
                sums.delete(hash);
            }
        });
        return largest;
    };

    return {
        record(customerHash, cost, nowMs) {
            const sum = sums.get(customerHash) ?? createDecayingSum(usageTimeConstantMs);
            sums.set(customerHash, sum);
            sum.add(cost, nowMs);
        },
        relative(customerHash, nowMs) {
            const largestUsage = refreshLargest(nowMs);
            const customerUsage = sums.get(customerHash)?.value(nowMs) ?? 0;
            return largestUsage <= 0 ? 0 : Math.min(1, customerUsage / largestUsage);
        },
    };
}

/** Time in ms for which the largest usage is cached. */
const largestRefreshMs = 50;

/** Hash under which VMs announce the usage of a customer; 0 on open routes. */
export function customerHashOf(customer: core.CustomerId | undefined): number {
    return customer === undefined ? 0 : core.hash32(customer);
}
