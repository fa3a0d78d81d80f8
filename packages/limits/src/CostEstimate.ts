import * as constants from "./LimitsConstants.js";

/** Running mean of the actual cost of one customer's requests. */
export interface CostEstimate {
    record(actualCost: number): void;
    /** Mean cost; undefined before the first request has ended. */
    mean(): number | undefined;
}

export function createCostEstimate(): CostEstimate {
    let mean: number | undefined;
    return {
        record(actualCost) {
            mean = mean === undefined ? actualCost : mean + (actualCost - mean) * constants.costEstimateWeight;
        },
        mean: () => mean,
    };
}
