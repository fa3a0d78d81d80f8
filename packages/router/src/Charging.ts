import type * as core from "@peridotloft/core";
import type * as limits from "@peridotloft/limits";
import { metricNames, type Metrics } from "./Metrics.js";

/** Runs the work that a charge is for; work that throws is charged as estimated. */
export async function withCharge<T>(charge: limits.Charge, run: () => Promise<T>): Promise<T> {
    try {
        return await run();
    }
    catch (error) {
        charge.settle(charge.estimatedCost);
        throw error;
    }
}

/** Ends a charge with the cost in cost units that the request turned out to have; 0 refunds it. */
export function settleCharge(metrics: Metrics, customer: core.CustomerId, charge: limits.Charge, cost: number): void {
    if (cost === 0) {
        return charge.refund();
    }
    charge.settle(cost);
    metrics.count(metricNames.cost, Math.ceil(cost), { customer });
}
