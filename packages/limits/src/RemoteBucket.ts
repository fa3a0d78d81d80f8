import * as constants from "./LimitsConstants.js";
import { roundDown32, roundUp32, sum } from "./LimitsUtils.js";
import type { BucketShare } from "./TokenBucket.js";

/** One line of a borrow request. The borrower keeps it until the reply has arrived or the request has failed. */
export interface OutgoingLine {
    readonly needCost: number;
    readonly aheadCost: number;
    readonly gathering: boolean;
    readonly reports: readonly { readonly loan: number; readonly spentCost: number; readonly closed: boolean; }[];
    readonly settledCost: number;
}

/** A loan as the borrower receives it, with the state of the bucket that granted it. */
export interface ReceivedLoan {
    readonly sequence: number;
    readonly cost: number;
    readonly brief: boolean;
    /** Time in ms on this VM's clock from which the loan can no longer be spent. */
    readonly expiresMs: number;
    /** Time in ms from which the unspent rest is returned. */
    readonly returnAtMs: number;
    /** Time in ms for which another request is unlikely to obtain more. */
    readonly dryMs: number;
    /** Tokens left in the bucket. */
    readonly leftCost: number;
}

interface Loan {
    readonly sequence: number;
    readonly cost: number;
    readonly brief: boolean;
    readonly expiresMs: number;
    readonly returnAtMs: number;
    spentCost: number;
    reportedCost: number;
    closed: boolean;
}

/** Determines which loans are returned, and when a report is sent although no tokens are needed. */
export interface ReturnPolicy {
    /** Burst share of the bucket in cost units. */
    readonly burst: number;
    /** Cost of loans above what local demand needs. */
    readonly excessCost: number;
    /** Longest time in ms for which a debt may wait for the next request to the lender. */
    readonly settlementDelayMs: number;
}

/**
 * The borrower's view of one bucket of another VM: the loans obtained from it, and the spending, settlements and needs
 * that the lender has not received yet.
 */
export interface RemoteBucket {
    /** Cost that can be spent now: unspent loans less a debt that the lender has not received yet. */
    available(nowMs: number): number;
    /** Spends up to `cost` from the loans, soonest expiry first, and returns the spent cost. */
    spend(cost: number, nowMs: number): number;
    /** Records a settled difference: positive returns tokens, negative is a debt. */
    settle(difference: number, nowMs: number): void;
    /** Adds tokens that the next line asks for. */
    addNeed(needCost: number, aheadCost: number, gathering: boolean): void;
    /** Time in ms until which the bucket is expected to grant nothing, according to its last reply. */
    emptyUntilMs(): number;
    /** Estimate of the bucket's tokens: its last reply plus accrual since, or its burst before the first reply. */
    expectedTokens(nowMs: number, share: BucketShare): number;
    /**
     * Closes loans that are due for return, and loans that local demand does not need. Returns whether to send a
     * request now rather than with the next need.
     */
    closeDueLoans(nowMs: number, policy: ReturnPolicy): boolean;
    /** Whether there are loans, or settlements that the lender has not received. */
    isActive(nowMs: number): boolean;
    /** Returns the line of the next request and clears what it contains, or undefined when there is nothing to send. */
    takeLine(nowMs: number): OutgoingLine | undefined;
    /** Applies the reply to a line that was sent. */
    recordReply(line: OutgoingLine, loan: ReceivedLoan, nowMs: number): void;
    /** Restores the settled difference of a line whose request failed, as far as it is safe to send again. */
    recordFailure(line: OutgoingLine, certainlyNotHandled: boolean): void;
}

/** Rounds toward negative infinity, so a credit shrinks and a debt grows. */
const floor32 = (cost: number): number => cost < 0 ? -roundUp32(-cost) : roundDown32(cost);

export function createRemoteBucket(): RemoteBucket {
    let loans: Loan[] = [];
    let settledCost = 0;
    let oldestDebtMs = Number.POSITIVE_INFINITY;
    let neededCosts = { needCost: 0, aheadCost: 0, gathering: false };
    let emptyUntilMs = 0;
    let lastReply: { readonly leftCost: number; readonly atMs: number; } | undefined;

    const usableLoans = (nowMs: number): Loan[] => {
        loans = loans.filter(loan => loan.expiresMs > nowMs);
        return loans.filter(loan => !loan.closed);
    };

    const unspentCost = (loan: Loan): number => loan.cost - loan.spentCost;

    /** A brief loan is spent at once and expires soon, so a report on it would cost more than it frees. */
    const isUnreported = (loan: Loan): boolean => !loan.brief && (loan.closed || loan.spentCost > loan.reportedCost);

    /** Whether the bucket had few tokens left at its last reply, so that it needs returned tokens soon. */
    const isBucketLow = (burst: number): boolean =>
        lastReply !== undefined && lastReply.leftCost < burst * constants.lowTokensRatio;

    const available = (nowMs: number): number =>
        Math.max(0, sum(usableLoans(nowMs).map(unspentCost)) + Math.min(0, settledCost));

    const spendFrom = (loan: Loan, cost: number): number => {
        const spent = Math.min(cost, unspentCost(loan));
        loan.spentCost = spent === unspentCost(loan) ? loan.cost : loan.spentCost + spent;
        loan.closed ||= loan.spentCost === loan.cost;
        return spent;
    };

    return {
        available,
        spend(cost, nowMs) {
            const limit = Math.min(cost, available(nowMs));
            return usableLoans(nowMs)
                .sort((left, right) => left.expiresMs - right.expiresMs)
                .reduce((spent, loan) => spent + spendFrom(loan, limit - spent), 0);
        },
        settle(difference, nowMs) {
            settledCost += difference;
            oldestDebtMs = settledCost < 0 ? Math.min(oldestDebtMs, nowMs) : Number.POSITIVE_INFINITY;
        },
        addNeed(needCost, aheadCost, gathering) {
            neededCosts = {
                needCost: neededCosts.needCost + needCost,
                aheadCost: Math.max(neededCosts.aheadCost, aheadCost),
                gathering: neededCosts.gathering || gathering,
            };
        },
        emptyUntilMs: () => emptyUntilMs,
        expectedTokens: (nowMs, share) =>
            lastReply
                ? Math.min(share.burst, lastReply.leftCost + (nowMs - lastReply.atMs) * share.ratePerMs)
                : share.burst,
        closeDueLoans(nowMs, { burst, excessCost, settlementDelayMs }) {
            let excessLeft = excessCost;
            const due = usableLoans(nowMs).filter(loan => {
                const isDue = !loan.brief && (loan.returnAtMs <= nowMs || unspentCost(loan) <= excessLeft);
                excessLeft -= isDue ? unspentCost(loan) : 0;
                loan.closed = isDue;
                return isDue;
            });
            const unreportedCost = sum(loans.filter(isUnreported).map(loan => loan.spentCost - loan.reportedCost));
            return due.length > 0
                || nowMs - oldestDebtMs >= settlementDelayMs
                || Math.abs(settledCost) > burst * constants.urgentSettlementRatio
                || (settledCost > 0 && isBucketLow(burst))
                || unreportedCost > burst * constants.urgentReportRatio;
        },
        isActive: nowMs => usableLoans(nowMs).length > 0 || loans.length > 0 || settledCost !== 0,
        takeLine(nowMs) {
            usableLoans(nowMs);
            const unreportedLoans = loans.filter(isUnreported);
            const settled = floor32(settledCost);
            if (
                unreportedLoans.length === 0 && settled === 0 && neededCosts.needCost === 0
                && neededCosts.aheadCost === 0
            ) {
                return undefined;
            }
            const line = {
                ...neededCosts,
                needCost: roundUp32(neededCosts.needCost),
                reports: unreportedLoans.map(loan => ({
                    loan: loan.sequence,
                    spentCost: Math.min(loan.cost, roundUp32(loan.spentCost)),
                    closed: loan.closed,
                })),
                settledCost: settled,
            };
            neededCosts = { needCost: 0, aheadCost: 0, gathering: false };
            settledCost = 0;
            oldestDebtMs = Number.POSITIVE_INFINITY;
            return line;
        },
        recordReply(line, received, nowMs) {
            const reported = new Map(line.reports.map(report => [report.loan, report]));
            loans = loans.filter(loan => !reported.get(loan.sequence)?.closed);
            loans.forEach(loan => {
                loan.reportedCost = reported.get(loan.sequence)?.spentCost ?? loan.reportedCost;
            });
            emptyUntilMs = nowMs + received.dryMs;
            lastReply = { leftCost: received.leftCost, atMs: nowMs };
            if (received.cost > 0 && received.expiresMs > nowMs) {
                loans.push({ ...received, spentCost: 0, reportedCost: 0, closed: false });
            }
        },
        recordFailure(line, certainlyNotHandled) {
            // If the lender may have applied the line, a debt is sent again and a credit dropped, so no token is issued twice.
            settledCost += certainlyNotHandled ? line.settledCost : Math.min(0, line.settledCost);
            oldestDebtMs = settledCost < 0 ? Number.NEGATIVE_INFINITY : Number.POSITIVE_INFINITY;
        },
    };
}
