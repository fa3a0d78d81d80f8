import * as core from "@peridotloft/core";
import { err, ok, type Result } from "neverthrow";
import type { BorrowLine, BorrowRequest } from "./BorrowMessages.js";
import type { LentBucket, LoanKey } from "./LentBucket.js";
import * as constants from "./LimitsConstants.js";
import { roundDown32 } from "./LimitsUtils.js";
import type { OwnBuckets } from "./OwnBuckets.js";

/** What a lender gives for one line of a request. */
export interface GrantedLoan {
    readonly cost: number;
    readonly brief: boolean;
    /** Time in ms for which asking again is unlikely to help; 0 when the request was met. */
    readonly dryMs: number;
    /** Tokens left in the bucket. */
    readonly leftCost: number;
}

/** The lender's side: lends tokens of this VM's buckets and accounts for reports. */
export interface LoanBook {
    /**
     * Applies a request and returns one grant per line.
     *
     * @returns an error for a request that is older than one already handled; it has no effect.
     */
    handle(borrower: core.VmId, request: BorrowRequest, nowMs: number): Result<readonly GrantedLoan[], string>;
}

export interface LoanBookOptions {
    readonly buckets: OwnBuckets;
    /** Recent demand in cost units per ms of requests that enter through this VM. */
    ownDemandPerMs(customer: core.CustomerId, nowMs: number): number;
    loanLifetimeMs(): number;
}

/** What the lender remembers of one run of a borrower. */
interface BorrowerRun {
    readonly incarnation: bigint;
    lastSequence: number;
    /** Loans given in the last answer, taken back if the next request says that the answer never arrived. */
    lastLoans: readonly { readonly lent: LentBucket; readonly key: LoanKey; }[];
}

const isCost = (cost: number): boolean => Number.isFinite(cost) && cost >= 0;

const isValidLine = (line: BorrowLine): boolean =>
    isCost(line.needCost) && isCost(line.aheadCost) && Number.isFinite(line.settledCost)
    && line.reports.every(report => isCost(report.spentCost));

export function createLoanBook(options: LoanBookOptions): LoanBook {
    const { buckets } = options;
    const runs = new Map<core.VmId, BorrowerRun[]>();

    const findRun = (borrower: core.VmId, incarnation: bigint): BorrowerRun | undefined =>
        runs.get(borrower)?.find(run => run.incarnation === incarnation);

    const addRun = (borrower: core.VmId, incarnation: bigint): BorrowerRun => {
        const run: BorrowerRun = { incarnation, lastSequence: 0, lastLoans: [] };
        runs.set(borrower, [run, ...runs.get(borrower) ?? []].slice(0, constants.maxRunsPerBorrower));
        return run;
    };

    const takeBackUnreceived = (run: BorrowerRun, request: BorrowRequest, nowMs: number): void => {
        const lastAnswered = request.sequence - 1 - request.unanswered;
        if (run.lastSequence > lastAnswered) {
            run.lastLoans.forEach(({ lent, key }) => {
                lent.advance(nowMs);
                lent.cancel(key);
            });
        }
        run.lastLoans = [];
    };

    /** A credit of an unknown run is void: a request that was already handled before a restart may come again. */
    const settle = (lent: LentBucket, settledCost: number, isKnownRun: boolean): void => {
        if (settledCost < 0) {
            lent.bucket.take(-settledCost);
        }
        else if (isKnownRun) {
            lent.bucket.credit(settledCost);
        }
    };

    /** Divides the free tokens: own demand of one round trip comes first, and own demand ahead before others' ahead. */
    const divide = (lent: LentBucket, line: BorrowLine, ownDemandPerMs: number): number => {
        const free = Math.max(0, lent.bucket.tokens());
        const ownNow = Math.min(ownDemandPerMs * constants.attemptTimeoutMs, free / 2);
        const need = Math.min(line.needCost, free - ownNow);
        const ownAhead = ownDemandPerMs * options.loanLifetimeMs() * constants.aheadRatio;
        const spare = Math.max(0, free - need - ownAhead);
        return roundDown32(need + Math.min(line.aheadCost, spare * constants.maxAheadShare));
    };

    const findDryMs = (lent: LentBucket, line: BorrowLine, cost: number): number => {
        if (cost >= line.needCost && (cost > 0 || line.aheadCost === 0)) {
            return 0;
        }
        const missing = Math.max(0, line.needCost - cost, -lent.bucket.tokens());
        const waitMs = missing / lent.bucket.share().ratePerMs;
        return Math.ceil(Math.min(Math.max(waitMs, constants.minDryMs), constants.maxDryMs));
    };

    const grant = (lent: LentBucket, line: BorrowLine, key: LoanKey, nowMs: number): GrantedLoan => {
        const ownDemandPerMs = options.ownDemandPerMs(core.customerId(line.customer), nowMs);
        const cost = divide(lent, line, ownDemandPerMs);
        const brief = !line.gathering && line.aheadCost === 0 && cost >= line.needCost;
        const outstandingMs = brief
            ? constants.briefLifetimeMs + constants.briefMarginMs
            : options.loanLifetimeMs() + constants.loanMarginMs;
        if (cost > 0) {
            lent.lend(key, cost, nowMs + outstandingMs);
        }
        return { cost, brief, dryMs: findDryMs(lent, line, cost), leftCost: Math.max(0, lent.bucket.tokens()) };
    };

    return {
        handle(borrower, request, nowMs) {
            if (!request.lines.every(isValidLine)) {
                return err("a cost is not a finite number of at least 0");
            }
            const knownRun = findRun(borrower, request.incarnation);
            if (knownRun && request.sequence <= knownRun.lastSequence) {
                return err(`request ${request.sequence} is older than ${knownRun.lastSequence}`);
            }
            const run = knownRun ?? addRun(borrower, request.incarnation);
            takeBackUnreceived(run, request, nowMs);
            run.lastSequence = request.sequence;
            const keyOf = (sequence: number): LoanKey => ({ borrower, incarnation: request.incarnation, sequence });
            return ok(request.lines.map(line => {
                const lent = buckets.find(core.customerId(line.customer), line.bucket, nowMs);
                if (!lent) {
                    return { cost: 0, brief: false, dryMs: constants.maxDryMs, leftCost: 0 };
                }
                line.reports.forEach(({ loan, spentCost, closed }) => lent.noteReport(keyOf(loan), spentCost, closed));
                settle(lent, line.settledCost, knownRun !== undefined);
                const key = keyOf(request.sequence);
                const granted = grant(lent, line, key, nowMs);
                run.lastLoans = [...run.lastLoans, { lent, key }];
                return granted;
            }));
        },
    };
}
