import * as core from "@peridotloft/core";
import { err, ok, type Result } from "neverthrow";
import type { BorrowLine, BorrowRequest } from "./BorrowMessages.js";
import type { LendingBucket, LoanKey } from "./LendingBucket.js";
import * as constants from "./LimitsConstants.js";
import { roundDown32 } from "./LimitsUtils.js";
import type { OwnBuckets } from "./OwnBuckets.js";

/** What a lender grants for one line of a request. */
export interface GrantedLoan {
    readonly cost: number;
    readonly brief: boolean;
    /** Time in ms for which another request is unlikely to obtain more; 0 when this one was met. */
    readonly dryMs: number;
    /** Tokens left in the bucket. */
    readonly leftCost: number;
}

/** Lends tokens of this VM's buckets to other VMs, and applies their reports and settlements. */
export interface TokenLender {
    /**
     * Applies a request and returns one grant per line.
     *
     * @returns an error, without any effect, for a malformed request or one that is not newer than the last one handled.
     */
    handle(borrower: core.VmId, request: BorrowRequest, nowMs: number): Result<readonly GrantedLoan[], string>;
}

export interface TokenLenderOptions {
    readonly buckets: OwnBuckets;
    /** Recent demand in cost units per ms of requests that enter through this VM. */
    ownDemandPerMs(customer: core.CustomerId, nowMs: number): number;
    loanLifetimeMs(): number;
}

/** Requests of one run of a borrower. */
interface BorrowerRun {
    readonly incarnation: bigint;
    lastSequence: number;
    /** Loans granted in the last reply, which are reclaimed if the next request reports that the reply was not received. */
    lastLoans: readonly { readonly lending: LendingBucket; readonly key: LoanKey; }[];
}

const isCost = (cost: number): boolean => Number.isFinite(cost) && cost >= 0;

const isValidLine = (line: BorrowLine): boolean =>
    isCost(line.needCost) && isCost(line.aheadCost) && Number.isFinite(line.settledCost)
    && line.reports.every(report => isCost(report.spentCost));

export function createTokenLender(options: TokenLenderOptions): TokenLender {
    const { buckets } = options;
    const runs = new Map<core.VmId, BorrowerRun[]>();

    const findRun = (borrower: core.VmId, incarnation: bigint): BorrowerRun | undefined =>
        runs.get(borrower)?.find(run => run.incarnation === incarnation);

    const addRun = (borrower: core.VmId, incarnation: bigint): BorrowerRun => {
        const run: BorrowerRun = { incarnation, lastSequence: 0, lastLoans: [] };
        runs.set(borrower, [run, ...runs.get(borrower) ?? []].slice(0, constants.maxRunsPerBorrower));
        return run;
    };

    const reclaimUnreceived = (run: BorrowerRun, request: BorrowRequest, nowMs: number): void => {
        const lastRepliedSequence = request.sequence - 1 - request.unanswered;
        if (run.lastSequence > lastRepliedSequence) {
            run.lastLoans.forEach(({ lending, key }) => {
                lending.advance(nowMs);
                lending.reclaim(key);
            });
        }
        run.lastLoans = [];
    };

    /**
     * Applies a settled difference. A credit of an unknown run is ignored, because the request may have been handled
     * before a restart of this VM and be delivered again.
     */
    const settle = (lending: LendingBucket, settledCost: number, isKnownRun: boolean): void => {
        if (settledCost < 0) {
            lending.bucket.spend(-settledCost);
        }
        else if (isKnownRun) {
            lending.bucket.credit(settledCost);
        }
    };

    /**
     * Divides the free tokens. This VM's own demand during one attempt is reserved before the need of the borrower, and
     * its own demand ahead before the demand ahead of the borrower.
     */
    const findGrantableCost = (lending: LendingBucket, line: BorrowLine, ownDemandPerMs: number): number => {
        const free = Math.max(0, lending.bucket.tokens());
        const reservedCost = Math.min(ownDemandPerMs * constants.attemptTimeoutMs, free / 2);
        const need = Math.min(line.needCost, free - reservedCost);
        const reservedAheadCost = ownDemandPerMs * options.loanLifetimeMs() * constants.aheadRatio;
        const spareCost = Math.max(0, free - need - reservedAheadCost);
        return roundDown32(need + Math.min(line.aheadCost, spareCost * constants.maxAheadShare));
    };

    const findRetryDelayMs = (lending: LendingBucket, line: BorrowLine, cost: number): number => {
        if (cost >= line.needCost && (cost > 0 || line.aheadCost === 0)) {
            return 0;
        }
        const missing = Math.max(0, line.needCost - cost, -lending.bucket.tokens());
        const waitMs = missing / lending.bucket.share().ratePerMs;
        return Math.ceil(Math.min(Math.max(waitMs, constants.minRetryDelayMs), constants.maxRetryDelayMs));
    };

    const grant = (lending: LendingBucket, line: BorrowLine, key: LoanKey, nowMs: number): GrantedLoan => {
        const ownDemandPerMs = options.ownDemandPerMs(core.customerId(line.customer), nowMs);
        const cost = findGrantableCost(lending, line, ownDemandPerMs);
        const brief = !line.gathering && line.aheadCost === 0 && cost >= line.needCost;
        const outstandingMs = brief
            ? constants.briefLifetimeMs + constants.briefMarginMs
            : options.loanLifetimeMs() + constants.loanMarginMs;
        if (cost > 0) {
            lending.lend(key, cost, nowMs + outstandingMs);
        }
        return {
            cost,
            brief,
            dryMs: findRetryDelayMs(lending, line, cost),
            leftCost: Math.max(0, lending.bucket.tokens()),
        };
    };

    return {
        handle(borrower, request, nowMs) {
            if (!request.lines.every(isValidLine)) {
                return err("a cost is not a finite number of at least 0");
            }
            const knownRun = findRun(borrower, request.incarnation);
            if (knownRun && request.sequence <= knownRun.lastSequence) {
                return err(
                    `request ${request.sequence} is not newer than request ${knownRun.lastSequence}, which was already handled`,
                );
            }
            const run = knownRun ?? addRun(borrower, request.incarnation);
            reclaimUnreceived(run, request, nowMs);
            run.lastSequence = request.sequence;
            const loanKeyOf = (sequence: number): LoanKey => ({ borrower, incarnation: request.incarnation, sequence });
            return ok(request.lines.map(line => {
                const lending = buckets.find(core.customerId(line.customer), line.bucket, nowMs);
                if (!lending) {
                    return { cost: 0, brief: false, dryMs: constants.maxRetryDelayMs, leftCost: 0 };
                }
                line.reports.forEach(({ loan, spentCost, closed }) =>
                    lending.recordReport(loanKeyOf(loan), spentCost, closed)
                );
                settle(lending, line.settledCost, knownRun !== undefined);
                const key = loanKeyOf(request.sequence);
                const granted = grant(lending, line, key, nowMs);
                run.lastLoans = [...run.lastLoans, { lending, key }];
                return granted;
            }));
        },
    };
}
