/** Rate and burst of one bucket, in cost units. */
export interface BucketShare {
    readonly ratePerMs: number;
    readonly burst: number;
}

/**
 * A token bucket that lends tokens to other VMs.
 *
 * Tokens and outstanding loans together never exceed the burst. A debt makes the tokens negative.
 */
export interface TokenBucket {
    /** Adds the tokens that accrued until `nowMs`. */
    accrue(nowMs: number): void;
    /** Applies a new rate and burst. Tokens above the new burst are discarded. */
    resize(share: BucketShare): void;
    share(): BucketShare;
    tokens(): number;
    /** Cost of the outstanding loans: lent, and not yet spent, returned or expired. */
    outstanding(): number;
    /** Spends tokens; a cost above them becomes a debt. */
    spend(cost: number): void;
    /** Returns tokens after a request cost less than estimated. */
    credit(cost: number): void;
    /** Moves tokens to the outstanding loans. */
    lend(cost: number): void;
    /** Removes a lent cost that was spent, or that expired and may have been spent. */
    writeOff(cost: number): void;
    /** Moves a lent cost that will not be spent back to the tokens. */
    reclaim(cost: number): void;
}

/** Creates an empty bucket that accrues tokens from `accrueFromMs` on. */
export function createTokenBucket(initialShare: BucketShare, accrueFromMs: number): TokenBucket {
    let share = initialShare;
    let tokens = 0;
    let outstanding = 0;
    let accruedUntilMs = accrueFromMs;
    const limitToBurst = (): void => {
        tokens = Math.min(tokens, Math.max(0, share.burst - outstanding));
    };
    return {
        accrue(nowMs) {
            if (nowMs > accruedUntilMs) {
                tokens += (nowMs - accruedUntilMs) * share.ratePerMs;
                accruedUntilMs = nowMs;
                limitToBurst();
            }
        },
        resize(next) {
            share = next;
            limitToBurst();
        },
        share: () => share,
        tokens: () => tokens,
        outstanding: () => outstanding,
        spend(cost) {
            tokens -= cost;
        },
        credit(cost) {
            tokens += cost;
            limitToBurst();
        },
        lend(cost) {
            tokens -= cost;
            outstanding += cost;
        },
        writeOff(cost) {
            outstanding -= cost;
        },
        reclaim(cost) {
            outstanding -= cost;
            tokens += cost;
            limitToBurst();
        },
    };
}
