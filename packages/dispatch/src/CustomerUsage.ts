import { createDecayingSum, type DecayingSum } from "./LoadModel.js";

/** Recent engine usage of each customer, over the whole fleet as far as it is known to this VM. */
export interface CustomerUsage {
    record(customerHash: number, cost: number, nowMs: number): void;
    /**
     * Usage of a customer relative to the fair share, which it exceeds above 1. While the engines' throughput covers the usage of
     * all customers, nobody exceeds a fair share, and the usage of the heaviest customer takes its place.
     */
    relative(customerHash: number, nowMs: number): number;
}

/** Time constant in ms of the decay of usage: the platform measures shares over windows of 4 s. */
const usageTimeConstantMs = 4_000;
/**
 * Smallest fair share, relative to the mean usage. Usage counts cached prompt parts in full, so it may exceed the stated throughput
 * several times, and customers with equal usage are not heavy whatever it is.
 */
const minShareOfMean = 2;
/** Usage in tokens below which a customer's entry is evicted. */
const negligibleTokens = 1;

/** @param throughputPerS tokens per second of all engines together; undefined if it is not known. */
export function createCustomerUsage(throughputPerS: () => number | undefined = () => undefined): CustomerUsage {
    const sums = new Map<number, DecayingSum>();
    let largest = 0;
    let share = Number.POSITIVE_INFINITY;
    let refreshedMs = Number.NEGATIVE_INFINITY;

    // Both values change slowly compared with the request rate, so they are cached for a short time.
    const refresh = (nowMs: number): void => {
        if (nowMs - refreshedMs < refreshIntervalMs) {
            return;
        }
        refreshedMs = nowMs;
        const usages = [...sums].map(([hash, sum]) => ({ hash, value: sum.value(nowMs) }));
        usages.filter(({ value }) => value < negligibleTokens).forEach(({ hash }) => sums.delete(hash));
        const values = usages.map(({ value }) => value);
        const capacity = ((throughputPerS() ?? Number.POSITIVE_INFINITY) / 1_000) * usageTimeConstantMs;
        const mean = values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
        largest = Math.max(0, ...values);
        share = Math.max(fairShare(values, capacity), minShareOfMean * mean);
    };

    return {
        record(customerHash, cost, nowMs) {
            const sum = sums.get(customerHash) ?? createDecayingSum(usageTimeConstantMs);
            sums.set(customerHash, sum);
            sum.add(cost, nowMs);
        },
        relative(customerHash, nowMs) {
            refresh(nowMs);
            const customerUsage = sums.get(customerHash)?.value(nowMs) ?? 0;
            return customerUsage <= 0 ? 0 : customerUsage / Math.min(share, Math.max(largest, customerUsage));
        },
    };
}

/** Time in ms for which the largest usage and the fair share are cached. */
const refreshIntervalMs = 50;

/** The max-min fair share: the most that a customer gets when `capacity` is divided; infinite if it covers all usages. */
export function fairShare(usages: readonly number[], capacity: number): number {
    const ascending = [...usages].sort((left, right) => left - right);
    let remaining = capacity;
    const firstLimited = ascending.findIndex((usage, index) => {
        const isLimited = usage > remaining / (ascending.length - index);
        remaining -= isLimited ? 0 : usage;
        return isLimited;
    });
    return firstLimited < 0 ? Number.POSITIVE_INFINITY : remaining / (ascending.length - firstLimited);
}
