import * as core from "@peridotloft/core";
import { err, ok, type Result } from "neverthrow";
import type { CostEstimate } from "./CostEstimate.js";
import type { DemandEstimate } from "./DemandEstimate.js";
import * as constants from "./LimitsConstants.js";
import { sum } from "./LimitsUtils.js";
import { createLoanAccount, type LoanAccount } from "./LoanAccount.js";
import type { OwnBucket, OwnBuckets } from "./OwnBuckets.js";
import type { OwnerLink } from "./OwnerLink.js";
import type { Charge, RateRefusal } from "./RateLimiter.js";
import type { CustomerLimit, ShareTable } from "./ShareTable.js";
import type { BucketShare } from "./TokenBucket.js";

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

/** Part of a charge that was taken from one bucket. */
interface ChargePart {
    readonly index: number;
    readonly cost: number;
}

interface Waiter {
    readonly cost: number;
    admit(parts: readonly ChargePart[]): void;
}

/** A bucket of another VM that may have tokens. */
interface Source {
    readonly index: number;
    readonly account: LoanAccount;
    readonly link: OwnerLink;
}

// Sums of 32-bit parts differ from the exact cost in the last digits.
const costTolerance = 1e-9;

export function createCustomerBudget(options: CustomerBudgetOptions): CustomerBudget {
    const { customer, clock, random, shares, buckets, demand, costs } = options;
    const accounts = new Map<number, LoanAccount>();
    let waiters: readonly Waiter[] = [];
    let borrowingAhead = false;
    let admitted = 0;
    let refused = 0;

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
    const payHere = (debt: number): number => {
        const nowMs = clock.nowMs();
        const paid = Math.min(debt, availableCost(nowMs));
        return debt - sum((draw(paid, nowMs) ?? []).map(part => part.cost));
    };

    /** Settles against the bucket that gave most, because a message line concerns one bucket. */
    const settle = (parts: readonly ChargePart[], unsettled: number): void => {
        const difference = unsettled < 0 ? -payHere(-unsettled) : unsettled;
        const largest = parts.reduce((best, part) => part.cost > best.cost ? part : best, { index: 0, cost: 0 });
        const own = buckets.find(customer, largest.index, clock.nowMs());
        if (!own) {
            accountOf(largest.index).settle(difference, clock.nowMs());
            options.onActive();
        }
        else if (difference < 0) {
            own.bucket.take(-difference);
        }
        else {
            own.bucket.credit(difference);
        }
    };

    const createCharge = (estimatedCost: number, parts: readonly ChargePart[]): Charge => {
        admitted += 1;
        let ended = false;
        const end = (actualCost: number): void => {
            if (!ended && actualCost !== estimatedCost) {
                settle(parts, estimatedCost - actualCost);
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

    const findSources = (nowMs: number): Source[] =>
        Array.from({ length: shares.activeBuckets(nowMs) }, (_unused, index) => index).flatMap(index => {
            const link = options.findLink(index);
            return link ? [{ index, link, account: accountOf(index) }] : [];
        });

    const findAskable = (nowMs: number): Source[] =>
        findSources(nowMs).filter(({ link, account }) => !link.isAvoided(nowMs) && account.dryUntilMs() <= nowMs);

    /**
     * The fewest buckets that are expected to have `cost` together, those with most tokens first: a bucket that stays
     * full loses its accrual. Buckets that look alike come in random order, so that not all VMs ask the same owner.
     */
    const pickSources = (sources: readonly Source[], cost: number, share: BucketShare, nowMs: number): Source[] => {
        const scored = core.shuffle(sources, random)
            .map(source => ({ source, left: source.account.expectedLeft(nowMs, share) }))
            .sort((left, right) => right.left - left.left);
        let missing = cost;
        const isNeeded = ({ left }: (typeof scored)[number], position: number): boolean => {
            const needed = position === 0 || missing > costTolerance;
            missing -= left;
            return needed;
        };
        return scored.filter(isNeeded).map(({ source }) => source);
    };

    const ask = (source: Source): Promise<void> => {
        options.onActive();
        return source.link.send({ customer, index: source.index }, source.account);
    };

    const askForNeed = (sources: readonly Source[], cost: number, gathering: boolean): Promise<unknown> =>
        Promise.all(sources.map(source => {
            source.account.want(cost, 0, gathering);
            return ask(source);
        }));

    const aheadTarget = (nowMs: number): number => {
        const windowMs = shares.loanLifetimeMs() * constants.aheadRatio;
        const isDense = demand.requestsPerMs(nowMs) * windowMs >= constants.minRequestsAhead;
        return isDense && !demand.isSilent(nowMs) ? demand.costPerMs(nowMs) * windowMs : 0;
    };

    const borrowAhead = (limit: CustomerLimit, nowMs: number): void => {
        const target = borrowingAhead ? 0 : aheadTarget(nowMs);
        if (target === 0) {
            return;
        }
        const available = availableCost(nowMs);
        if (available >= target / 2) {
            return;
        }
        const [source] = pickSources(findAskable(nowMs), 0, shares.shareOf(limit, nowMs), nowMs);
        if (source) {
            borrowingAhead = true;
            source.account.want(0, target - available, false);
            void ask(source).then(() => {
                borrowingAhead = false;
            });
        }
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
        const mayTryAgain = (attempt: number): boolean =>
            attempt <= constants.maxAttempts || clock.nowMs() < startMs + constants.attemptTimeoutMs;
        for (let attempt = 1; !isGranted() && mayTryAgain(attempt); attempt++) {
            const nowMs = clock.nowMs();
            const askable = findAskable(nowMs);
            if (askable.length === 0) {
                return;
            }
            const share = shares.shareOf(limit, nowMs);
            const missing = waiters.length > 1 ? cost : cost - availableCost(nowMs);
            const isLate = nowMs >= startMs + constants.attemptTimeoutMs;
            const sources = isLate ? askable : pickSources(askable, missing, share, nowMs);
            const partCost = missing * constants.gatherRatio / sources.length;
            const answered = askForNeed(sources, Math.min(missing, partCost, share.burst), sources.length > 1);
            await withinAttempt(Promise.race([granted, answered]));
        }
    };

    const serveWaiting = (): void => {
        const nowMs = clock.nowMs();
        waiters = waiters.filter(waiter => {
            const parts = draw(waiter.cost, nowMs);
            if (parts) {
                waiter.admit(parts);
            }
            return !parts;
        });
    };

    /** Tells owners what they need to know soon: loans that are not needed here, and settlements that are due. */
    const returnExcess = (limit: CustomerLimit | undefined, nowMs: number): void => {
        const burst = limit ? shares.shareOf(limit, nowMs).burst : 0;
        const isDue = ({ account }: Source): boolean => {
            const excessCost = availableCost(nowMs) - aheadTarget(nowMs) * constants.excessRatio;
            return account.review(nowMs, { burst, excessCost, settlementDelayMs: shares.loanLifetimeMs() });
        };
        findSources(nowMs)
            .filter(source => isDue(source) && !source.link.isAvoided(nowMs))
            .forEach(source => void ask(source));
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
            returnExcess(limit, clock.nowMs());
        }
        return parts;
    };

    const findRetryAfterMs = (limit: CustomerLimit, cost: number): number => {
        const nowMs = clock.nowMs();
        const accrualMs = (cost - availableCost(nowMs)) / limit.ratePerMs;
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
            const parts = draw(estimatedCost, nowMs) ?? await waitForTokens(limit, estimatedCost);
            borrowAhead(limit, clock.nowMs());
            if (!parts) {
                refused += 1;
                return err({ kind: "rate-exceeded", retryAfterMs: findRetryAfterMs(limit, estimatedCost) });
            }
            return ok(createCharge(estimatedCost, parts));
        },
        availableCost,
        serveWaiting,
        review(limit, nowMs) {
            returnExcess(limit, nowMs);
            return [...accounts.values()].some(account => account.isActive(nowMs));
        },
        demandPerMs: nowMs => demand.costPerMs(nowMs),
        meanCost: costs.mean,
        admitted: () => admitted,
        refused: () => refused,
    };
}
