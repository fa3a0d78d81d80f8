import type * as core from "@peridotloft/core";
import type { TokenBucket } from "./TokenBucket.js";

/** Identifies a loan: sequence numbers alone repeat between borrowers and between their runs. */
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

/** A bucket together with the loans it has made. */
export interface LentBucket {
    readonly bucket: TokenBucket;
    /** Brings tokens and expired loans up to `nowMs`. Call it before any other function. */
    advance(nowMs: number): void;
    lend(key: LoanKey, cost: number, expiresMs: number): void;
    /** Notes what the borrower has spent; a closed loan ends and its rest returns to the bucket. */
    noteReport(key: LoanKey, spentCost: number, closed: boolean): void;
    /** Takes back a loan whose answer the borrower never received. */
    cancel(key: LoanKey): void;
}

const textOf = ({ borrower, incarnation, sequence }: LoanKey): string => `${borrower}/${incarnation}/${sequence}`;

export function createLentBucket(bucket: TokenBucket): LentBucket {
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

    const noteSpent = (loan: Loan, spentCost: number): void => {
        const spent = Math.min(Math.max(spentCost, loan.spentCost), loan.cost);
        bucket.writeOff(spent - loan.spentCost);
        loan.spentCost = spent;
    };

    const end = (key: string, loan: Loan): void => {
        bucket.takeBack(loan.cost - loan.spentCost);
        loans.delete(key);
        updateNextExpiry();
    };

    return {
        bucket,
        advance(nowMs) {
            // Step by step: a loan limits the accrual until it expires, so a late call must not accrue past it.
            while (nextExpiryMs <= nowMs) {
                const expiryMs = nextExpiryMs;
                bucket.accrue(expiryMs);
                writeOffExpired(expiryMs);
            }
            bucket.accrue(nowMs);
        },
        lend(key, cost, expiresMs) {
            bucket.lend(cost);
            loans.set(textOf(key), { cost, expiresMs, spentCost: 0 });
            nextExpiryMs = Math.min(nextExpiryMs, expiresMs);
        },
        noteReport(key, spentCost, closed) {
            const loan = loans.get(textOf(key));
            if (!loan) {
                return;
            }
            noteSpent(loan, spentCost);
            if (closed) {
                end(textOf(key), loan);
            }
        },
        cancel(key) {
            const loan = loans.get(textOf(key));
            if (loan) {
                end(textOf(key), loan);
            }
        },
    };
}
