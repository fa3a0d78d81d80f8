import * as core from "@peridotloft/core";
import type { CustomerFunds } from "./CustomerFunds.js";
import type { DemandEstimate } from "./DemandEstimate.js";
import * as constants from "./LimitsConstants.js";
import type { LoanAccount } from "./LoanAccount.js";
import type { OwnerLink } from "./OwnerLink.js";
import type { CustomerLimit, ShareTable } from "./ShareTable.js";
import type { BucketShare } from "./TokenBucket.js";

/** A bucket of another VM that may have tokens. */
export interface Source {
    readonly index: number;
    readonly account: LoanAccount;
    readonly link: OwnerLink;
}

/** Chooses whom to ask for one customer's tokens, and sends what owners need to know. */
export interface Borrowing {
    /** Buckets whose owner is likely to answer and to have tokens. */
    findAskable(nowMs: number): Source[];
    /**
     * The fewest buckets that are expected to have `cost` together, those with most tokens first: a bucket that stays
     * full loses its accrual. Buckets that look alike come in random order, so that not all VMs ask the same owner.
     */
    pickSources(sources: readonly Source[], cost: number, share: BucketShare, nowMs: number): Source[];
    /** Asks each source for `cost`; resolves when all requests have ended. */
    askForNeed(sources: readonly Source[], cost: number, gathering: boolean): Promise<unknown>;
    /** Borrows for the demand expected within half a loan lifetime, when less than half of it is here. */
    borrowAhead(limit: CustomerLimit, nowMs: number): void;
    /** Tells owners what they need to know soon: loans that are not needed here, and settlements that are due. */
    returnExcess(limit: CustomerLimit | undefined, nowMs: number): void;
}

export interface BorrowingOptions {
    readonly customer: core.CustomerId;
    readonly random: core.Random;
    readonly shares: ShareTable;
    readonly funds: CustomerFunds;
    readonly demand: DemandEstimate;
    /** The link to a bucket's owner, or undefined when this VM owns it itself. */
    findLink(index: number): OwnerLink | undefined;
    /** Called when loans may arrive. */
    onActive(): void;
}

export function createBorrowing(options: BorrowingOptions): Borrowing {
    const { customer, random, shares, funds, demand, findLink, onActive } = options;
    let borrowingAhead = false;

    const findSources = (nowMs: number): Source[] =>
        Array.from({ length: shares.activeBuckets(nowMs) }, (_unused, index) => index).flatMap(index => {
            const link = findLink(index);
            return link ? [{ index, link, account: funds.accountOf(index) }] : [];
        });

    const findAskable = (nowMs: number): Source[] =>
        findSources(nowMs).filter(({ link, account }) => !link.isAvoided(nowMs) && account.dryUntilMs() <= nowMs);

    const pickSources = (sources: readonly Source[], cost: number, share: BucketShare, nowMs: number): Source[] => {
        const scored = core.shuffle(sources, random)
            .map(source => ({ source, left: source.account.expectedLeft(nowMs, share) }))
            .sort((left, right) => right.left - left.left);
        let missing = cost;
        const isNeeded = ({ left }: (typeof scored)[number], position: number): boolean => {
            const needed = position === 0 || missing > 0;
            missing -= left;
            return needed;
        };
        return scored.filter(isNeeded).map(({ source }) => source);
    };

    const ask = (source: Source): Promise<void> => {
        onActive();
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
        const available = funds.availableCost(nowMs);
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

    const returnExcess = (limit: CustomerLimit | undefined, nowMs: number): void => {
        const burst = limit ? shares.shareOf(limit, nowMs).burst : 0;
        const isDue = ({ account }: Source): boolean => {
            const excessCost = funds.availableCost(nowMs) - aheadTarget(nowMs) * constants.excessRatio;
            return account.review(nowMs, { burst, excessCost, settlementDelayMs: shares.loanLifetimeMs() });
        };
        findSources(nowMs)
            .filter(source => isDue(source) && !source.link.isAvoided(nowMs))
            .forEach(source => void ask(source));
    };

    return { findAskable, pickSources, askForNeed, borrowAhead, returnExcess };
}
