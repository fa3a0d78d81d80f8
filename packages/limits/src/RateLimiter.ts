import type * as core from "@peridotloft/core";
import type { Result } from "neverthrow";

/** Cost charged for an admitted request. Exactly one of its functions is called, once. */
export interface Charge {
    readonly estimatedCost: number;
    /** Replaces the estimate by the cost that the request turned out to have. */
    settle(actualCost: number): void;
    /** Returns the whole charge, for a request that certainly did not run. */
    refund(): void;
}

/** Refusal of a request that exceeds its customer's rate. Its verdict is always `not-run`. */
export interface RateRefusal {
    readonly kind: "rate-exceeded" | "unknown-customer" | "cost-exceeds-burst";
    /** Time in ms after which the request is likely to be admitted; 0 where waiting does not help. */
    readonly retryAfterMs: number;
}

/** Admits requests within the rates and bursts that hold over the whole fleet. */
export interface RateLimiter {
    admit(customer: core.CustomerId, estimatedCost: number): Promise<Result<Charge, RateRefusal>>;
    /** Cost to charge in advance, learned from the customer's past requests and capped by `maxCost`. */
    estimateCost(customer: core.CustomerId, maxCost: number): number;
    status(): RateLimiterStatus;
    dispose(): void;
}

export interface RateLimiterStatus {
    readonly customers: readonly CustomerRateStatus[];
}

export interface CustomerRateStatus {
    readonly customer: core.CustomerId;
    /** Cost units available to this VM now, from its own buckets and from loans. */
    readonly availableCost: number;
    /** Cost units lent to other VMs and not yet accounted for. */
    readonly lentCost: number;
    readonly admitted: number;
    readonly refused: number;
}
