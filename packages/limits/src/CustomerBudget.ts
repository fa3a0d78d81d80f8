import type * as core from "@peridotloft/core";
import { err, ok, type Result } from "neverthrow";
import { createBorrowing } from "./Borrowing.js";
import type { CostEstimate } from "./CostEstimate.js";
import { type ChargePart, createCustomerTokens } from "./CustomerTokens.js";
import type { DemandEstimate } from "./DemandEstimate.js";
import * as constants from "./LimitsConstants.js";
import type { OwnBuckets } from "./OwnBuckets.js";
import type { OwnerLink } from "./OwnerLink.js";
import type { Charge, RateRefusal } from "./RateLimiter.js";
import type { CustomerLimit, ShareTable } from "./ShareTable.js";

/** Admits requests of one customer at this VM, from the tokens of its own buckets and from loans. */
export interface CustomerBudget {
    admit(limit: CustomerLimit, estimatedCost: number): Promise<Result<Charge, RateRefusal>>;
    availableCost(nowMs: number): number;
    /** Admits waiting requests for which there are enough tokens now. */
    admitWaiting(): void;
    /** Sends owners the returns and settlements that are due. Returns whether loans or settlements remain. */
    sendDueReports(limit: CustomerLimit | undefined, nowMs: number): boolean;
    demandPerMs(nowMs: number): number;
    meanCost(): number | undefined;
    admitted(): number;
    refused(): number;
}

export interface CustomerBudgetOptions {
    readonly customer: core.CustomerId;
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly shares: ShareTable;
    readonly buckets: OwnBuckets;
    readonly demand: DemandEstimate;
    readonly costEstimate: CostEstimate;
    /** The link to a bucket's owner; undefined when this VM owns the bucket. */
    findLink(index: number): OwnerLink | undefined;
    /** Called when the budget gets loans or settlements; `sendDueReports` is then called until it returns false. */
    onActive(): void;
}

interface Waiter {
    readonly cost: number;
    admit(parts: readonly ChargePart[]): void;
}

export function createCustomerBudget(options: CustomerBudgetOptions): CustomerBudget {
    const { customer, clock, random, shares, demand, costEstimate, findLink, onActive } = options;
    const tokens = createCustomerTokens({ customer, buckets: options.buckets, onActive });
    const borrowing = createBorrowing({ customer, random, shares, tokens, demand, findLink, onActive });
    let waiters: readonly Waiter[] = [];
    let admitted = 0;
    let refused = 0;

    const createCharge = (estimatedCost: number, parts: readonly ChargePart[]): Charge => {
        admitted += 1;
        let isSettled = false;
        const settleOnce = (actualCost: number): void => {
            if (!isSettled && actualCost !== estimatedCost) {
                tokens.settle(parts, estimatedCost - actualCost, clock.nowMs());
            }
            isSettled = true;
        };
        return {
            estimatedCost,
            settle(actualCost) {
                costEstimate.record(actualCost);
                settleOnce(actualCost);
            },
            refund: () => settleOnce(0),
        };
    };

    const admitWaiting = (): void => {
        const nowMs = clock.nowMs();
        waiters = waiters.filter(waiter => {
            const parts = tokens.spend(waiter.cost, nowMs);
            if (parts) {
                waiter.admit(parts);
            }
            return !parts;
        });
    };

    const waitForAttempt = async (attempt: Promise<unknown>): Promise<void> => {
        let cancel: () => void = () => undefined;
        const timeout = new Promise<void>(resolve => cancel = clock.setTimer(constants.attemptTimeoutMs, resolve));
        await Promise.race([attempt, timeout]);
        cancel();
    };

    /**
     * Borrows from the buckets that are expected to suffice, then from others what is still missing, because asking all
     * of them at once leaves more to return. Once the time of one attempt has passed, it asks all of them.
     */
    const borrow = async (limit: CustomerLimit, cost: number, granted: Promise<void>, isGranted: () => boolean) => {
        const startMs = clock.nowMs();
        const mayTryAgain = (attempt: number, nowMs: number): boolean =>
            attempt <= constants.maxAttempts
            || (attempt <= shares.activeBucketCount(nowMs) && nowMs < startMs + constants.attemptTimeoutMs);
        for (let attempt = 1; !isGranted() && mayTryAgain(attempt, clock.nowMs()); attempt++) {
            const nowMs = clock.nowMs();
            const candidates = borrowing.findCandidates(nowMs);
            if (candidates.length === 0) {
                return;
            }
            const share = shares.shareOf(limit, nowMs);
            const missingCost = waiters.length > 1 ? cost : cost - tokens.availableCost(nowMs);
            const hasAttemptElapsed = nowMs >= startMs + constants.attemptTimeoutMs;
            const sources = hasAttemptElapsed
                ? candidates
                : borrowing.pickSources(candidates, missingCost, share, nowMs);
            const partCost = missingCost * constants.gatherRatio / sources.length;
            const requestsEnded = borrowing.requestTokens(
                sources,
                Math.min(missingCost, partCost, share.burst),
                sources.length > 1,
            );
            await waitForAttempt(Promise.race([granted, requestsEnded]));
            // Own buckets may have accrued enough meanwhile.
            admitWaiting();
        }
    };

    const waitForTokens = async (limit: CustomerLimit, cost: number): Promise<readonly ChargePart[] | undefined> => {
        let parts: readonly ChargePart[] | undefined;
        let resolveGranted: () => void = () => undefined;
        const granted = new Promise<void>(resolve => resolveGranted = resolve);
        const waiter: Waiter = {
            cost,
            admit(spentParts) {
                parts = spentParts;
                resolveGranted();
            },
        };
        waiters = [...waiters, waiter];
        await borrow(limit, cost, granted, () => parts !== undefined);
        waiters = waiters.filter(other => other !== waiter);
        if (waiters.length === 0) {
            borrowing.sendDueReports(limit, clock.nowMs());
        }
        return parts;
    };

    const findRetryAfterMs = (limit: CustomerLimit, cost: number): number => {
        const nowMs = clock.nowMs();
        const accrualMs = (cost - tokens.availableCost(nowMs)) / limit.ratePerMs;
        return Math.ceil(Math.max(constants.minRetryDelayMs, accrualMs));
    };

    return {
        async admit(limit, estimatedCost) {
            const nowMs = clock.nowMs();
            if (estimatedCost > limit.burst) {
                refused += 1;
                return err({ kind: "cost-exceeds-burst", retryAfterMs: 0 });
            }
            demand.record(estimatedCost, nowMs);
            const parts = tokens.spend(estimatedCost, nowMs) ?? await waitForTokens(limit, estimatedCost);
            borrowing.borrowAhead(limit, clock.nowMs());
            if (!parts) {
                refused += 1;
                return err({ kind: "rate-exceeded", retryAfterMs: findRetryAfterMs(limit, estimatedCost) });
            }
            return ok(createCharge(estimatedCost, parts));
        },
        availableCost: tokens.availableCost,
        admitWaiting,
        sendDueReports(limit, nowMs) {
            borrowing.sendDueReports(limit, nowMs);
            return tokens.isActive(nowMs);
        },
        demandPerMs: nowMs => demand.costPerMs(nowMs),
        meanCost: costEstimate.mean,
        admitted: () => admitted,
        refused: () => refused,
    };
}
