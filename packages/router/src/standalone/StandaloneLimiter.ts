import type * as core from "@peridotloft/core";
import type * as limits from "@peridotloft/limits";
import type * as platform from "@peridotloft/platform";
import { err, ok } from "neverthrow";

interface Bucket {
    tokens: number;
    filledMs: number;
    admitted: number;
    refused: number;
}

/** Token buckets of this VM alone; stands in for `limits`. */
export function createStandaloneLimiter(
    inForce: core.SnapshotCell<platform.DocumentInForce | undefined>,
    clock: core.Clock,
): limits.RateLimiter {
    const buckets = new Map<core.CustomerId, Bucket>();

    function fill(id: core.CustomerId): { bucket: Bucket; rateCostPerS: number; burstCost: number; } | undefined {
        const customer = inForce.read()?.document.customers.find(candidate => candidate.id === id);
        if (!customer) {
            return undefined;
        }
        const { rateCostPerS, burstCost } = customer;
        const nowMs = clock.nowMs();
        const bucket = buckets.get(id) ?? { tokens: burstCost, filledMs: nowMs, admitted: 0, refused: 0 };
        buckets.set(id, bucket);
        bucket.tokens = Math.min(burstCost, bucket.tokens + (nowMs - bucket.filledMs) * rateCostPerS / 1_000);
        bucket.filledMs = nowMs;
        return { bucket, rateCostPerS, burstCost };
    }

    return {
        async admit(customer, estimatedCost) {
            const state = fill(customer);
            if (!state) {
                return err({ kind: "unknown-customer", retryAfterMs: 0 });
            }
            const { bucket, rateCostPerS, burstCost } = state;
            if (estimatedCost > burstCost) {
                return err({ kind: "cost-exceeds-burst", retryAfterMs: 0 });
            }
            if (estimatedCost > bucket.tokens) {
                bucket.refused++;
                const retryAfterMs = (estimatedCost - bucket.tokens) / rateCostPerS * 1_000;
                return err({ kind: "rate-exceeded", retryAfterMs });
            }
            bucket.admitted++;
            bucket.tokens -= estimatedCost;
            return ok({
                estimatedCost,
                settle: actualCost => void (bucket.tokens += estimatedCost - actualCost),
                refund: () => void (bucket.tokens += estimatedCost),
            });
        },
        estimateCost: (_customer, maxCost) => maxCost,
        status: () => ({
            customers: [...buckets].map(([customer, { tokens, admitted, refused }]) => ({
                customer,
                availableCost: tokens,
                lentCost: 0,
                admitted,
                refused,
            })),
        }),
        dispose: () => undefined,
    };
}
