import type * as core from "@peridotloft/core";
import type { TokenBucket } from "./TokenBucket.js";

/** Identifies a loan. Sequence numbers alone repeat between borrowers and between runs of a borrower. */
export interface LoanKey {
    readonly borrower: core.VmId;
    readonly incarnation: bigint;
    readonly sequence: number;
}

interface Loan {
    readonly cost: number;
    readonly expiresMs: number;
    spentCost: number;
}

/** A bucket owned by this VM, with its outstanding loans. */
export interface LendingBucket {
    readonly bucket: TokenBucket;
    /** Accrues tokens and writes off expired loans up to `nowMs`. Call it before any other function. */
    advance(nowMs: number): void;
    lend(key: LoanKey, cost: number, expiresMs: number): void;
    /** Records what the borrower has spent. A closed loan ends, and its unspent rest returns to the bucket. */
    recordReport(key: LoanKey, spentCost: number, closed: boolean): void;
    /** Ends a loan whose grant the borrower did not receive; its tokens return to the bucket. */
    reclaim(key: LoanKey): void;
}

const loanIdOf = ({ borrower, incarnation, sequence }: LoanKey): string => `${borrower}/${incarnation}/${sequence}`;

export function createLendingBucket(bucket: TokenBucket): LendingBucket {
    const loans = new Map<string, Loan>();
    let nextExpiryMs = Number.POSITIVE_INFINITY;

    const updateNextExpiry = (): void => {
        nextExpiryMs = Number.POSITIVE_INFINITY;
        loans.forEach(({ expiresMs }) => nextExpiryMs = Math.min(nextExpiryMs, expiresMs));
    };

    const writeOffExpired = (nowMs: number): void => {
        [...loans].filter(([, loan]) => loan.expiresMs <= nowMs).forEach(([key, loan]) => {
            bucket.writeOff(loan.cost - loan.spentCost);
            loans.delete(key);
        });
        updateNextExpiry();
    };

    const recordSpent = (loan: Loan, spentCost: number): void => {
        const spent = Math.min(Math.max(spentCost, loan.spentCost), loan.cost);
        bucket.writeOff(spent - loan.spentCost);
        loan.spentCost = spent;
    };

    const closeLoan = (key: string, loan: Loan): void => {
        bucket.reclaim(loan.cost - loan.spentCost);
        loans.delete(key);
        updateNextExpiry();
    };

    return {
        bucket,
        advance(nowMs) {
            // A loan limits the accrual until it expires, so a late call accrues up to each expiry in turn.
            while (nextExpiryMs <= nowMs) {
                const expiryMs = nextExpiryMs;
                bucket.accrue(expiryMs);
                writeOffExpired(expiryMs);
            }
            bucket.accrue(nowMs);
        },
        lend(key, cost, expiresMs) {
            bucket.lend(cost);
            loans.set(loanIdOf(key), { cost, expiresMs, spentCost: 0 });
            nextExpiryMs = Math.min(nextExpiryMs, expiresMs);
        },
        recordReport(key, spentCost, closed) {
            const loan = loans.get(loanIdOf(key));
            if (!loan) {
                return;
            }
            recordSpent(loan, spentCost);
            if (closed) {
                closeLoan(loanIdOf(key), loan);
            }
        },
        reclaim(key) {
            const loan = loans.get(loanIdOf(key));
            if (loan) {
                closeLoan(loanIdOf(key), loan);
            }
        },
    };
}
