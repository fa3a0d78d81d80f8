import type * as core from "@peridotloft/core";
import { err, ok, type Result } from "neverthrow";
import { createBorrowing } from "./Borrowing.js";
import type { CostEstimate } from "./CostEstimate.js";
import { type ChargePart, createCustomerFunds } from "./CustomerFunds.js";
import type { DemandEstimate } from "./DemandEstimate.js";
import * as constants from "./LimitsConstants.js";
import type { OwnBuckets } from "./OwnBuckets.js";
import type { OwnerLink } from "./OwnerLink.js";
import type { Charge, RateRefusal } from "./RateLimiter.js";
import type { CustomerLimit, ShareTable } from "./ShareTable.js";

/** What one customer may spend at this VM: tokens of this VM's own buckets, and loans. */
export interface CustomerBudget {
    admit(limit: CustomerLimit, estimatedCost: number): Promise<Result<Charge, RateRefusal>>;
    availableCost(nowMs: number): number;
    /** Admits requests that wait, as far as tokens have arrived. */
    serveWaiting(): void;
    /** Returns loans and passes on settlements that are due. Returns whether there is more to come. */
    review(limit: CustomerLimit | undefined, nowMs: number): boolean;
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
    readonly costs: CostEstimate;
    /** The link to a bucket's owner, or undefined when this VM owns it itself. */
    findLink(index: number): OwnerLink | undefined;
    /** Called when the budget gets loans or settlements, so that `review` is called until it returns false. */
    onActive(): void;
}

interface Waiter {
    readonly cost: number;
    admit(parts: readonly ChargePart[]): void;
}

export function createCustomerBudget(options: CustomerBudgetOptions): CustomerBudget {
    const { customer, clock, random, shares, demand, costs, findLink, onActive } = options;
    const funds = createCustomerFunds({ customer, buckets: options.buckets, onActive });
    const borrowing = createBorrowing({ customer, random, shares, funds, demand, findLink, onActive });
    let waiters: readonly Waiter[] = [];
    let admitted = 0;
    let refused = 0;

    const createCharge = (estimatedCost: number, parts: readonly ChargePart[]): Charge => {
        admitted += 1;
        let ended = false;
        const end = (actualCost: number): void => {
            if (!ended && actualCost !== estimatedCost) {
                funds.settle(parts, estimatedCost - actualCost, clock.nowMs());
            }
            ended = true;
        };
        return {
            estimatedCost,
            settle(actualCost) {
                costs.note(actualCost);
                end(actualCost);
            },
            refund: () => end(0),
        };
    };

    const serveWaiting = (): void => {
        const nowMs = clock.nowMs();
        waiters = waiters.filter(waiter => {
            const parts = funds.draw(waiter.cost, nowMs);
            if (parts) {
                waiter.admit(parts);
            }
            return !parts;
        });
    };

    const withinAttempt = async (attempt: Promise<unknown>): Promise<void> => {
        let cancel: () => void = () => undefined;
        const timeout = new Promise<void>(resolve => cancel = clock.setTimer(constants.attemptTimeoutMs, resolve));
        await Promise.race([attempt, timeout]);
        cancel();
    };

    /**
     * Asks the buckets that are expected to suffice, and others for what is still missing. Asking one after the other
     * leaves less to return than asking all at once; after an attempt without an answer there is no time for that.
     */
    const borrow = async (limit: CustomerLimit, cost: number, granted: Promise<void>, isGranted: () => boolean) => {
        const startMs = clock.nowMs();
        const mayTryAgain = (attempt: number, nowMs: number): boolean =>
            attempt <= constants.maxAttempts
            || (attempt <= shares.activeBuckets(nowMs) && nowMs < startMs + constants.attemptTimeoutMs);
        for (let attempt = 1; !isGranted() && mayTryAgain(attempt, clock.nowMs()); attempt++) {
            const nowMs = clock.nowMs();
            const askable = borrowing.findAskable(nowMs);
            if (askable.length === 0) {
                return;
            }
            const share = shares.shareOf(limit, nowMs);
            const missing = waiters.length > 1 ? cost : cost - funds.availableCost(nowMs);
            const isLate = nowMs >= startMs + constants.attemptTimeoutMs;
            const sources = isLate ? askable : borrowing.pickSources(askable, missing, share, nowMs);
            const partCost = missing * constants.gatherRatio / sources.length;
            const answered = borrowing.askForNeed(
                sources,
                Math.min(missing, partCost, share.burst),
                sources.length > 1,
            );
            await withinAttempt(Promise.race([granted, answered]));
            // Own buckets may have accrued what no answer brought.
            serveWaiting();
        }
    };

    const waitForTokens = async (limit: CustomerLimit, cost: number): Promise<readonly ChargePart[] | undefined> => {
        let parts: readonly ChargePart[] | undefined;
        let resolveGranted: () => void = () => undefined;
        const granted = new Promise<void>(resolve => resolveGranted = resolve);
        const waiter: Waiter = {
            cost,
            admit(drawn) {
                parts = drawn;
                resolveGranted();
            },
        };
        waiters = [...waiters, waiter];
        await borrow(limit, cost, granted, () => parts !== undefined);
        waiters = waiters.filter(other => other !== waiter);
        if (waiters.length === 0) {
            borrowing.returnExcess(limit, clock.nowMs());
        }
        return parts;
    };

    const findRetryAfterMs = (limit: CustomerLimit, cost: number): number => {
        const nowMs = clock.nowMs();
        const accrualMs = (cost - funds.availableCost(nowMs)) / limit.ratePerMs;
        return Math.ceil(Math.max(constants.minDryMs, accrualMs));
    };

    return {
        async admit(limit, estimatedCost) {
            const nowMs = clock.nowMs();
            if (estimatedCost > limit.burst) {
                refused += 1;
                return err({ kind: "cost-exceeds-burst", retryAfterMs: 0 });
            }
            demand.note(estimatedCost, nowMs);
            const parts = funds.draw(estimatedCost, nowMs) ?? await waitForTokens(limit, estimatedCost);
            borrowing.borrowAhead(limit, clock.nowMs());
            if (!parts) {
                refused += 1;
                return err({ kind: "rate-exceeded", retryAfterMs: findRetryAfterMs(limit, estimatedCost) });
            }
            return ok(createCharge(estimatedCost, parts));
        },
        availableCost: funds.availableCost,
        serveWaiting,
        review(limit, nowMs) {
            borrowing.returnExcess(limit, nowMs);
            return funds.isActive(nowMs);
        },
        demandPerMs: nowMs => demand.costPerMs(nowMs),
        meanCost: costs.mean,
        admitted: () => admitted,
        refused: () => refused,
    };
}
