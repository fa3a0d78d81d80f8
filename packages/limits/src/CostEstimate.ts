import * as constants from "./LimitsConstants.js";

/** Learned mean cost of one customer's requests. */
export interface CostEstimate {
    note(actualCost: number): void;
    /** Mean cost, or undefined before the first request has ended. */
    mean(): number | undefined;
}

export function createCostEstimate(): CostEstimate {
    let mean: number | undefined;
    return {
        note(actualCost) {
            mean = mean === undefined ? actualCost : mean + (actualCost - mean) * constants.costEstimateWeight;
        },
        mean: () => mean,
    };
}
