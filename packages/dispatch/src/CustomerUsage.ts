import { createFadingSum, type FadingSum } from "./LoadModel.js";

/** What customers used of the engines of late, over the whole fleet as far as known. */
export interface CustomerUsage {
    note(customerHash: number, cost: number, nowMs: number): void;
    /** Usage of a customer as a part of that of the largest one, 0 to 1. */
    relative(customerHash: number, nowMs: number): number;
}

/** Mean time in ms for which usage counts: the platform weighs shares over windows of 4 s. */
const usageMeanAgeMs = 4_000;
/** Usage in tokens under which a customer is forgotten. */
const negligibleTokens = 1;

export function createCustomerUsage(): CustomerUsage {
    const sums = new Map<number, FadingSum>();
    let largest = 0;
    let largestMs = Number.NEGATIVE_INFINITY;

    // The largest usage changes slowly against the rate of requests.
    const largestAt = (nowMs: number): number => {
        if (nowMs - largestMs < recomputeMs) {
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
        note(customerHash, cost, nowMs) {
            const sum = sums.get(customerHash) ?? createFadingSum(usageMeanAgeMs);
            sums.set(customerHash, sum);
            sum.add(cost, nowMs);
        },
        relative(customerHash, nowMs) {
            const most = largestAt(nowMs);
            const own = sums.get(customerHash)?.value(nowMs) ?? 0;
            return most <= 0 ? 0 : Math.min(1, own / most);
        },
    };
}

/** Time in ms after which the largest usage is found anew. */
const recomputeMs = 50;
