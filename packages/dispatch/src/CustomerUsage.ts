import * as core from "@peridotloft/core";
import { createDecayingSum, type DecayingSum } from "./LoadModel.js";

/** Recent engine usage of each customer, over the whole fleet as far as it is known to this VM. */
export interface CustomerUsage {
    record(customerHash: number, cost: number, nowMs: number): void;
    /** Usage of a customer in tokens; a token counts less the longer ago it was used. */
    tokens(customerHash: number, nowMs: number): number;
    /** Usage of a customer relative to that of the heaviest customer, 0 to 1. */
    relative(customerHash: number, nowMs: number): number;
    /** Whether there are several customers with usage that is not negligible, and one has used more than their mean. */
    isAboveMean(customerHash: number, nowMs: number): boolean;
}

/** Time constant in ms of the decay of usage: the platform measures shares over windows of 4 s. */
const usageTimeConstantMs = 4_000;
/** Usage relative to that of the heaviest customer below which a customer does not count in the mean. */
const negligibleShare = 0.01;
/** Usage in tokens below which a customer's entry is evicted. */
const negligibleTokens = 1;

export function createCustomerUsage(): CustomerUsage {
    const sums = new Map<number, DecayingSum>();
    let summary = { largest: 0, mean: 0, count: 0 };
    let summarizedMs = Number.NEGATIVE_INFINITY;

    // The usage of all customers changes slowly compared with the request rate, so its summary is cached for a short time.
    const summarize = (nowMs: number): typeof summary => {
        if (nowMs - summarizedMs < summaryRefreshMs) {
            return summary;
        }
        summarizedMs = nowMs;
        const values: number[] = [];
        sums.forEach((sum, hash) => {
            const value = sum.value(nowMs);
            values.push(value);
            if (value < negligibleTokens) {
                sums.delete(hash);
            }
        });
        const largest = values.reduce((highest, value) => Math.max(highest, value), 0);
        const counted = values.filter(value => value >= largest * negligibleShare);
        const total = counted.reduce((sum, value) => sum + value, 0);
        summary = { largest, mean: total / Math.max(1, counted.length), count: counted.length };
        return summary;
    };

    const usageOf = (customerHash: number, nowMs: number): number => sums.get(customerHash)?.value(nowMs) ?? 0;

    return {
        record(customerHash, cost, nowMs) {
            const sum = sums.get(customerHash) ?? createDecayingSum(usageTimeConstantMs);
            sums.set(customerHash, sum);
            sum.add(cost, nowMs);
        },
        tokens: usageOf,
        relative(customerHash, nowMs) {
            const { largest } = summarize(nowMs);
            return largest <= 0 ? 0 : Math.min(1, usageOf(customerHash, nowMs) / largest);
        },
        isAboveMean(customerHash, nowMs) {
            const { mean, count } = summarize(nowMs);
            return count > 1 && usageOf(customerHash, nowMs) > mean;
        },
    };
}

/** Time in ms for which the summary is cached. */
const summaryRefreshMs = 50;

/** Hash under which VMs announce the usage of a customer; 0 on open routes. */
export function customerHashOf(customer: core.CustomerId | undefined): number {
    return customer === undefined ? 0 : core.hash32(customer);
}
