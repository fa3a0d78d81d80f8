import type * as core from "@peridotloft/core";
import * as constants from "./LimitsConstants.js";
import { sum } from "./LimitsUtils.js";
import type { OwnBucket, OwnBuckets } from "./OwnBuckets.js";
import { createRemoteBucket, type RemoteBucket } from "./RemoteBucket.js";

/** Part of a charge that was spent from one bucket. */
export interface ChargePart {
    readonly index: number;
    readonly cost: number;
}

/** Tokens of one customer that this VM can spend: those of its own buckets and those of loans. */
export interface CustomerTokens {
    availableCost(nowMs: number): number;
    /** Spends `cost`. When there are too few tokens, spends nothing and returns undefined. */
    spend(cost: number, nowMs: number): readonly ChargePart[] | undefined;
    /** Settles a charge: a positive difference returns tokens, a negative one is a debt. */
    settle(parts: readonly ChargePart[], difference: number, nowMs: number): void;
    /** Loans from a bucket of another VM, and settlements with it. */
    remoteBucketOf(index: number): RemoteBucket;
    /** Whether there are loans, or settlements that an owner has not received. */
    isActive(nowMs: number): boolean;
}

export interface CustomerTokensOptions {
    readonly customer: core.CustomerId;
    readonly buckets: OwnBuckets;
    /** Called when a settlement has to be sent to an owner. */
    onActive(): void;
}

// Sums of 32-bit parts differ from the exact cost in the last digits.
const costTolerance = 1e-9;

export function createCustomerTokens(options: CustomerTokensOptions): CustomerTokens {
    const { customer, buckets, onActive } = options;
    const remoteBuckets = new Map<number, RemoteBucket>();

    const remoteBucketOf = (index: number): RemoteBucket => {
        const remoteBucket = remoteBuckets.get(index) ?? createRemoteBucket();
        remoteBuckets.set(index, remoteBucket);
        return remoteBucket;
    };

    const borrowedCost = (nowMs: number): number => {
        let total = 0;
        remoteBuckets.forEach(remoteBucket => total += remoteBucket.available(nowMs));
        return total;
    };

    const ownCost = (own: readonly OwnBucket[]): number =>
        sum(own.map(({ lending }) => Math.max(0, lending.bucket.tokens())));

    const availableCost = (nowMs: number): number => ownCost(buckets.findAll(customer, nowMs)) + borrowedCost(nowMs);

    /** Whether the bucket is so full that it is about to reach its burst and stop accruing. */
    const isNearlyFull = ({ lending: { bucket } }: OwnBucket): boolean =>
        bucket.tokens() + bucket.outstanding() >= bucket.share().burst * constants.nearlyFullRatio;

    /** Spends loans before own tokens, because loans expire. Nearly full own buckets come first, so that they accrue. */
    const spend = (cost: number, nowMs: number): readonly ChargePart[] | undefined => {
        const own = buckets.findAll(customer, nowMs);
        if (ownCost(own) + borrowedCost(nowMs) < cost - costTolerance) {
            return undefined;
        }
        let missingCost = cost;
        const recordPart = (index: number, spent: number): ChargePart[] => {
            missingCost -= spent;
            return spent > 0 ? [{ index, cost: spent }] : [];
        };
        const spendOwn = ({ index, lending }: OwnBucket): ChargePart[] => {
            const spent = Math.min(missingCost, Math.max(0, lending.bucket.tokens()));
            lending.bucket.spend(spent);
            return recordPart(index, spent);
        };
        const fromNearlyFull = own.filter(isNearlyFull).flatMap(spendOwn);
        const fromLoans = [...remoteBuckets].flatMap(([index, remoteBucket]) =>
            recordPart(index, remoteBucket.spend(missingCost, nowMs))
        );
        return [...fromNearlyFull, ...fromLoans, ...own.flatMap(spendOwn)];
    };

    /** Pays a debt from tokens of this VM, which needs no message, and returns the unpaid rest. */
    const payFromTokens = (debt: number, nowMs: number): number => {
        const paid = Math.min(debt, availableCost(nowMs));
        return debt - sum((spend(paid, nowMs) ?? []).map(part => part.cost));
    };

    /** Settles with the bucket that paid the largest part, because a line of a message concerns one bucket. */
    const settle = (parts: readonly ChargePart[], settledDifference: number, nowMs: number): void => {
        const difference = settledDifference < 0 ? -payFromTokens(-settledDifference, nowMs) : settledDifference;
        const largest = parts.reduce((best, part) => part.cost > best.cost ? part : best, { index: 0, cost: 0 });
        const own = buckets.find(customer, largest.index, nowMs);
        if (!own) {
            remoteBucketOf(largest.index).settle(difference, nowMs);
            onActive();
        }
        else if (difference < 0) {
            own.bucket.spend(-difference);
        }
        else {
            own.bucket.credit(difference);
        }
    };

    return {
        availableCost,
        spend,
        settle,
        remoteBucketOf,
        isActive: nowMs => [...remoteBuckets.values()].some(remoteBucket => remoteBucket.isActive(nowMs)),
    };
}
