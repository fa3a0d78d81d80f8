import * as testing from "@peridotloft/testing";
import type { Decision } from "./limitsScore.js";
import type { LimitsTrace } from "./limitsTrace.js";

/** Uncoordinated baseline: each VM has a bucket with an equal share of rate and burst; costs are known at arrival. */
export function runEqualSplit(trace: LimitsTrace): Decision[] {
    const buckets = new Map<string, ReturnType<typeof testing.createReferenceBucket>>();
    return trace.arrivals.map(arrival => {
        const key = `${arrival.customer}/${arrival.vm}`;
        const customer = trace.fleet.customers[arrival.customer];
        const rateCostPerS = customer?.rateCostPerS ?? 0;
        const burstCost = customer?.burstCost ?? 0;
        const bucket = buckets.get(key)
            ?? testing.createReferenceBucket(rateCostPerS / 1_000 / trace.vmCount, burstCost / trace.vmCount);
        buckets.set(key, bucket);
        return { admitted: bucket(arrival), atMs: arrival.atMs, estimatedCost: arrival.cost };
    });
}
