import type * as core from "@peridotloft/core";
import type * as limits from "@peridotloft/limits";
import { metricNames, type Metrics } from "./Metrics.js";

/** Runs charged work. Work that throws is settled at its estimated cost. */
export async function withCharge<T>(charge: limits.Charge, run: () => Promise<T>): Promise<T> {
    try {
        return await run();
    }
    catch (error) {
        charge.settle(charge.estimatedCost);
        throw error;
    }
}

/** Settles a charge at the actual cost in cost units; a cost of 0 refunds it. */
export function settleCharge(metrics: Metrics, customer: core.CustomerId, charge: limits.Charge, cost: number): void {
    if (cost === 0) {
        return charge.refund();
    }
    charge.settle(cost);
    metrics.count(metricNames.cost, Math.ceil(cost), { customer });
}
