import * as constants from "./LimitsConstants.js";
import { roundDown32, roundUp32, sum } from "./LimitsUtils.js";
import type { BucketShare } from "./TokenBucket.js";

/** One line of a borrow request, as the borrower keeps it until the answer. */
export interface OutgoingLine {
    readonly needCost: number;
    readonly aheadCost: number;
    readonly gathering: boolean;
    readonly reports: readonly { readonly loan: number; readonly spentCost: number; readonly closed: boolean; }[];
    readonly settledCost: number;
}

/** A loan as it arrives at the borrower. */
export interface ReceivedLoan {
    readonly sequence: number;
    readonly cost: number;
    readonly brief: boolean;
    /** Time in ms on this VM's clock from which the loan can no longer be spent. */
    readonly expiresMs: number;
    /** Time in ms from which the unspent rest is returned. */
    readonly returnAtMs: number;
    readonly dryMs: number;
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

/** When an account has to be reported on without another cause. */
export interface ReviewPolicy {
    /** Burst share of the bucket in cost units. */
    readonly burst: number;
    /** Cost in loans that local demand does not need. */
    readonly excessCost: number;
    /** Longest time in ms for which a debt may wait for the next request to the lender. */
    readonly settlementDelayMs: number;
}

/** The borrower's side: loans that this VM has from one bucket of another VM, and what it has to tell the lender. */
export interface LoanAccount {
    /** Cost that can be spent now, less a debt that the lender does not know yet. */
    available(nowMs: number): number;
    /** Spends up to `cost`, soonest expiry first, and returns how much. */
    draw(cost: number, nowMs: number): number;
    /** Notes a settled difference: positive returns tokens, negative is a debt. */
    settle(difference: number, nowMs: number): void;
    /** Asks for tokens with the next line. */
    want(needCost: number, aheadCost: number, gathering: boolean): void;
    /** Whether the bucket may have tokens, as far as its last answer says. */
    dryUntilMs(): number;
    /** Tokens that the bucket has by its last answer and the accrual since; its burst before the first answer. */
    expectedLeft(nowMs: number, share: BucketShare): number;
    /**
     * Closes loans that are due for return, and those that fit into the excess. Returns whether the lender must be
     * told before the next need.
     */
    review(nowMs: number, policy: ReviewPolicy): boolean;
    /** Whether there are loans or settlements. */
    isActive(nowMs: number): boolean;
    /** Returns what to tell the lender, or undefined when there is nothing. */
    takeLine(nowMs: number): OutgoingLine | undefined;
    noteAnswer(line: OutgoingLine, loan: ReceivedLoan, nowMs: number): void;
    noteFailure(line: OutgoingLine, certainlyNotHandled: boolean): void;
}

const round32 = (cost: number): number => cost < 0 ? -roundUp32(-cost) : roundDown32(cost);

export function createLoanAccount(): LoanAccount {
    let loans: Loan[] = [];
    let settledCost = 0;
    let oldestDebtMs = Number.POSITIVE_INFINITY;
    let wanted = { needCost: 0, aheadCost: 0, gathering: false };
    let dryUntilMs = 0;
    let last: { readonly leftCost: number; readonly atMs: number; } | undefined;

    const usable = (nowMs: number): Loan[] => {
        loans = loans.filter(loan => loan.expiresMs > nowMs);
        return loans.filter(loan => !loan.closed);
    };

    const remaining = (loan: Loan): number => loan.cost - loan.spentCost;

    /** A brief loan is spent at once and expires soon, so reporting it would cost more than it frees. */
    const isNews = (loan: Loan): boolean => !loan.brief && (loan.closed || loan.spentCost > loan.reportedCost);

    /** Whether the bucket needs returned tokens, as far as its last answer says. */
    const isLow = (burst: number): boolean => last !== undefined && last.leftCost < burst * constants.lowRatio;

    const available = (nowMs: number): number =>
        Math.max(0, sum(usable(nowMs).map(remaining)) + Math.min(0, settledCost));

    const drawFrom = (loan: Loan, cost: number): number => {
        const drawn = Math.min(cost, remaining(loan));
        loan.spentCost = drawn === remaining(loan) ? loan.cost : loan.spentCost + drawn;
        loan.closed ||= loan.spentCost === loan.cost;
        return drawn;
    };

    return {
        available,
        draw(cost, nowMs) {
            const limit = Math.min(cost, available(nowMs));
            return usable(nowMs)
                .sort((left, right) => left.expiresMs - right.expiresMs)
                .reduce((drawn, loan) => drawn + drawFrom(loan, limit - drawn), 0);
        },
        settle(difference, nowMs) {
            settledCost += difference;
            oldestDebtMs = settledCost < 0 ? Math.min(oldestDebtMs, nowMs) : Number.POSITIVE_INFINITY;
        },
        want(needCost, aheadCost, gathering) {
            wanted = {
                needCost: wanted.needCost + needCost,
                aheadCost: Math.max(wanted.aheadCost, aheadCost),
                gathering: wanted.gathering || gathering,
            };
        },
        dryUntilMs: () => dryUntilMs,
        expectedLeft: (nowMs, share) =>
            last ? Math.min(share.burst, last.leftCost + (nowMs - last.atMs) * share.ratePerMs) : share.burst,
        review(nowMs, { burst, excessCost, settlementDelayMs }) {
            let excess = excessCost;
            const due = usable(nowMs).filter(loan => {
                const isDue = !loan.brief && (loan.returnAtMs <= nowMs || remaining(loan) <= excess);
                excess -= isDue ? remaining(loan) : 0;
                loan.closed = isDue;
                return isDue;
            });
            const unreported = sum(loans.filter(isNews).map(loan => loan.spentCost - loan.reportedCost));
            return due.length > 0
                || nowMs - oldestDebtMs >= settlementDelayMs
                || Math.abs(settledCost) > burst * constants.urgentSettlementRatio
                || (settledCost > 0 && isLow(burst))
                || unreported > burst * constants.urgentReportRatio;
        },
        isActive: nowMs => usable(nowMs).length > 0 || loans.length > 0 || settledCost !== 0,
        takeLine(nowMs) {
            usable(nowMs);
            const news = loans.filter(isNews);
            const settled = round32(settledCost);
            if (news.length === 0 && settled === 0 && wanted.needCost === 0 && wanted.aheadCost === 0) {
                return undefined;
            }
            const line = {
                ...wanted,
                needCost: roundUp32(wanted.needCost),
                reports: news.map(loan => ({
                    loan: loan.sequence,
                    spentCost: Math.min(loan.cost, roundUp32(loan.spentCost)),
                    closed: loan.closed,
                })),
                settledCost: settled,
            };
            wanted = { needCost: 0, aheadCost: 0, gathering: false };
            settledCost = 0;
            oldestDebtMs = Number.POSITIVE_INFINITY;
            return line;
        },
        noteAnswer(line, received, nowMs) {
            const reported = new Map(line.reports.map(report => [report.loan, report]));
            loans = loans.filter(loan => !reported.get(loan.sequence)?.closed);
            loans.forEach(loan => {
                loan.reportedCost = reported.get(loan.sequence)?.spentCost ?? loan.reportedCost;
            });
            dryUntilMs = nowMs + received.dryMs;
            last = { leftCost: received.leftCost, atMs: nowMs };
            if (received.cost > 0 && received.expiresMs > nowMs) {
                loans.push({ ...received, spentCost: 0, reportedCost: 0, closed: false });
            }
        },
        noteFailure(line, certainlyNotHandled) {
            // Unknown outcome: a debt is charged again, a credit is dropped. Either way no token is issued twice.
            settledCost += certainlyNotHandled ? line.settledCost : Math.min(0, line.settledCost);
            oldestDebtMs = settledCost < 0 ? Number.NEGATIVE_INFINITY : Number.POSITIVE_INFINITY;
        },
    };
}
