import type * as core from "@peridotloft/core";
import type { Result } from "neverthrow";

/** Cost charged for an admitted request. The caller calls exactly one of its functions, once. */
export interface Charge {
    readonly estimatedCost: number;
    /** Replaces the estimate by the actual cost of the request. */
    settle(actualCost: number): void;
    /** Returns the whole charge of a request that certainly did not run. */
    refund(): void;
}

/** Refusal of a request that exceeds its customer's rate. Its verdict is always `not-run`. */
export interface RateRefusal {
    readonly kind: "rate-exceeded" | "unknown-customer" | "cost-exceeds-burst";
    /** Time in ms after which the request is likely to be admitted; 0 where waiting does not help. */
    readonly retryAfterMs: number;
}

/** Admits requests within the rate and burst of each customer, which hold over the whole fleet. */
export interface RateLimiter {
    admit(customer: core.CustomerId, estimatedCost: number): Promise<Result<Charge, RateRefusal>>;
    /** Estimate to charge at admission: the mean cost of the customer's past requests, at most `maxCost`. */
    estimateCost(customer: core.CustomerId, maxCost: number): number;
    status(): RateLimiterStatus;
    dispose(): void;
}

export interface RateLimiterStatus {
    readonly customers: readonly CustomerRateStatus[];
}

export interface CustomerRateStatus {
    readonly customer: core.CustomerId;
    /** Cost that this VM can spend now, from its own buckets and from loans. */
    readonly availableCost: number;
    /** Cost of outstanding loans to other VMs: not yet reported as spent, returned or expired. */
    readonly lentCost: number;
    readonly admitted: number;
    readonly refused: number;
}
