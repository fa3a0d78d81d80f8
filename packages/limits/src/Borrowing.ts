import * as core from "@peridotloft/core";
import type { CustomerTokens } from "./CustomerTokens.js";
import type { DemandEstimate } from "./DemandEstimate.js";
import * as constants from "./LimitsConstants.js";
import type { OwnerLink } from "./OwnerLink.js";
import type { RemoteBucket } from "./RemoteBucket.js";
import type { CustomerLimit, ShareTable } from "./ShareTable.js";
import type { BucketShare } from "./TokenBucket.js";

/** A bucket of another VM from which tokens can be borrowed. */
export interface LoanSource {
    readonly index: number;
    readonly remoteBucket: RemoteBucket;
    readonly link: OwnerLink;
}

/** Borrows tokens of one customer from other VMs, and sends them reports and settlements. */
export interface Borrowing {
    /** Buckets that are expected to have tokens, without those of owners in backoff. */
    findCandidates(nowMs: number): LoanSource[];
    /**
     * Returns the fewest buckets that are expected to have `cost` together. Buckets with most tokens come first, because
     * a full bucket does not accrue; equal ones come in random order, so that not all VMs ask the same owner.
     */
    pickSources(sources: readonly LoanSource[], cost: number, share: BucketShare, nowMs: number): LoanSource[];
    /** Requests `cost` from each source; resolves when all requests have ended. */
    requestTokens(sources: readonly LoanSource[], cost: number, gathering: boolean): Promise<unknown>;
    /** Borrows for the demand expected within half a loan lifetime, if less than half of that is available here. */
    borrowAhead(limit: CustomerLimit, nowMs: number): void;
    /** Sends owners the reports that should not wait for the next need: loans to return and settlements that are due. */
    sendDueReports(limit: CustomerLimit | undefined, nowMs: number): void;
}

export interface BorrowingOptions {
    readonly customer: core.CustomerId;
    readonly random: core.Random;
    readonly shares: ShareTable;
    readonly tokens: CustomerTokens;
    readonly demand: DemandEstimate;
    /** The link to a bucket's owner; undefined when this VM owns the bucket. */
    findLink(index: number): OwnerLink | undefined;
    /** Called before a request that may bring loans. */
    onActive(): void;
}

export function createBorrowing(options: BorrowingOptions): Borrowing {
    const { customer, random, shares, tokens, demand, findLink, onActive } = options;
    let isBorrowingAhead = false;

    const findSources = (nowMs: number): LoanSource[] =>
        Array.from({ length: shares.activeBucketCount(nowMs) }, (_unused, index) => index).flatMap(index => {
            const link = findLink(index);
            return link ? [{ index, link, remoteBucket: tokens.remoteBucketOf(index) }] : [];
        });

    const findCandidates = (nowMs: number): LoanSource[] =>
        findSources(nowMs).filter(({ link, remoteBucket }) =>
            !link.isBackingOff(nowMs) && remoteBucket.emptyUntilMs() <= nowMs
        );

    const pickSources = (
        sources: readonly LoanSource[],
        cost: number,
        share: BucketShare,
        nowMs: number,
    ): LoanSource[] => {
        const ranked = core.shuffle(sources, random)
            .map(source => ({ source, expectedCost: source.remoteBucket.expectedTokens(nowMs, share) }))
            .sort((left, right) => right.expectedCost - left.expectedCost);
        let missingCost = cost;
        const isNeeded = ({ expectedCost }: (typeof ranked)[number], position: number): boolean => {
            const needed = position === 0 || missingCost > 0;
            missingCost -= expectedCost;
            return needed;
        };
        return ranked.filter(isNeeded).map(({ source }) => source);
    };

    const sendRequest = (source: LoanSource): Promise<void> => {
        onActive();
        return source.link.send({ customer, index: source.index }, source.remoteBucket);
    };

    const requestTokens = (sources: readonly LoanSource[], cost: number, gathering: boolean): Promise<unknown> =>
        Promise.all(sources.map(source => {
            source.remoteBucket.addNeed(cost, 0, gathering);
            return sendRequest(source);
        }));

    const findAheadTarget = (nowMs: number): number => {
        const aheadMs = shares.loanLifetimeMs() * constants.aheadRatio;
        const isFrequent = demand.requestsPerMs(nowMs) * aheadMs >= constants.minRequestsAhead;
        return isFrequent && !demand.isIdle(nowMs) ? demand.costPerMs(nowMs) * aheadMs : 0;
    };

    const borrowAhead = (limit: CustomerLimit, nowMs: number): void => {
        const target = isBorrowingAhead ? 0 : findAheadTarget(nowMs);
        if (target === 0) {
            return;
        }
        const available = tokens.availableCost(nowMs);
        if (available >= target / 2) {
            return;
        }
        const [source] = pickSources(findCandidates(nowMs), 0, shares.shareOf(limit, nowMs), nowMs);
        if (source) {
            isBorrowingAhead = true;
            source.remoteBucket.addNeed(0, target - available, false);
            void sendRequest(source).then(() => {
                isBorrowingAhead = false;
            });
        }
    };

    const sendDueReports = (limit: CustomerLimit | undefined, nowMs: number): void => {
        const burst = limit ? shares.shareOf(limit, nowMs).burst : 0;
        const isDue = ({ remoteBucket }: LoanSource): boolean => {
            const excessCost = tokens.availableCost(nowMs) - findAheadTarget(nowMs) * constants.excessRatio;
            return remoteBucket.closeDueLoans(nowMs, { burst, excessCost, settlementDelayMs: shares.loanLifetimeMs() });
        };
        findSources(nowMs)
            .filter(source => isDue(source) && !source.link.isBackingOff(nowMs))
            .forEach(source => void sendRequest(source));
    };

    return { findCandidates, pickSources, requestTokens, borrowAhead, sendDueReports };
}
