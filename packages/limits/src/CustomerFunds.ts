import type * as core from "@peridotloft/core";
import * as constants from "./LimitsConstants.js";
import { sum } from "./LimitsUtils.js";
import { createLoanAccount, type LoanAccount } from "./LoanAccount.js";
import type { OwnBucket, OwnBuckets } from "./OwnBuckets.js";

/** Part of a charge that was taken from one bucket. */
export interface ChargePart {
    readonly index: number;
    readonly cost: number;
}

/** The tokens of one customer at this VM: those of own buckets, and loans. */
export interface CustomerFunds {
    availableCost(nowMs: number): number;
    /** Spends `cost`, or nothing and returns undefined when there are too few tokens. */
    draw(cost: number, nowMs: number): readonly ChargePart[] | undefined;
    /** Settles a charge: a positive difference returns tokens, a negative one is a debt. */
    settle(parts: readonly ChargePart[], difference: number, nowMs: number): void;
    /** The account with the owner of a bucket. */
    accountOf(index: number): LoanAccount;
    /** Whether there are loans or settlements that an owner does not know. */
    isActive(nowMs: number): boolean;
}

export interface CustomerFundsOptions {
    readonly customer: core.CustomerId;
    readonly buckets: OwnBuckets;
    /** Called when a settlement has to be passed on. */
    onActive(): void;
}

// Sums of 32-bit parts differ from the exact cost in the last digits.
const costTolerance = 1e-9;

export function createCustomerFunds(options: CustomerFundsOptions): CustomerFunds {
    const { customer, buckets, onActive } = options;
    const accounts = new Map<number, LoanAccount>();

    const accountOf = (index: number): LoanAccount => {
        const known = accounts.get(index) ?? createLoanAccount();
        accounts.set(index, known);
        return known;
    };

    const borrowedCost = (nowMs: number): number => {
        let total = 0;
        accounts.forEach(account => total += account.available(nowMs));
        return total;
    };

    const ownCost = (own: readonly OwnBucket[]): number =>
        sum(own.map(({ lent }) => Math.max(0, lent.bucket.tokens())));

    const availableCost = (nowMs: number): number => ownCost(buckets.findAll(customer, nowMs)) + borrowedCost(nowMs);

    /** Whether the bucket is so full that it would lose accrual. */
    const isNearlyFull = ({ lent: { bucket } }: OwnBucket): boolean =>
        bucket.tokens() + bucket.outstanding() >= bucket.share().burst * constants.nearlyFullRatio;

    /** Spends loans before own tokens, because loans expire, except where an own bucket would lose accrual. */
    const draw = (cost: number, nowMs: number): readonly ChargePart[] | undefined => {
        const own = buckets.findAll(customer, nowMs);
        if (ownCost(own) + borrowedCost(nowMs) < cost - costTolerance) {
            return undefined;
        }
        let missing = cost;
        const take = (index: number, drawn: number): ChargePart[] => {
            missing -= drawn;
            return drawn > 0 ? [{ index, cost: drawn }] : [];
        };
        const takeOwn = ({ index, lent }: OwnBucket): ChargePart[] => {
            const drawn = Math.min(missing, Math.max(0, lent.bucket.tokens()));
            lent.bucket.take(drawn);
            return take(index, drawn);
        };
        const full = own.filter(isNearlyFull).flatMap(takeOwn);
        const borrowed = [...accounts].flatMap(([index, account]) => take(index, account.draw(missing, nowMs)));
        return [...full, ...borrowed, ...own.flatMap(takeOwn)];
    };

    /** Pays a debt from tokens that are here, which needs no message, and returns the rest of it. */
    const payHere = (debt: number, nowMs: number): number => {
        const paid = Math.min(debt, availableCost(nowMs));
        return debt - sum((draw(paid, nowMs) ?? []).map(part => part.cost));
    };

    /** Settles against the bucket that gave most, because a message line concerns one bucket. */
    const settle = (parts: readonly ChargePart[], unsettled: number, nowMs: number): void => {
        const difference = unsettled < 0 ? -payHere(-unsettled, nowMs) : unsettled;
        const largest = parts.reduce((best, part) => part.cost > best.cost ? part : best, { index: 0, cost: 0 });
        const own = buckets.find(customer, largest.index, nowMs);
        if (!own) {
            accountOf(largest.index).settle(difference, nowMs);
            onActive();
        }
        else if (difference < 0) {
            own.bucket.take(-difference);
        }
        else {
            own.bucket.credit(difference);
        }
    };

    return {
        availableCost,
        draw,
        settle,
        accountOf,
        isActive: nowMs => [...accounts.values()].some(account => account.isActive(nowMs)),
    };
}
