/** Rate and burst of one bucket, in cost units. */
export interface BucketShare {
    readonly ratePerMs: number;
    readonly burst: number;
}

/**
 * A token bucket that lends.
 *
 * Tokens and the outstanding loans together never exceed the burst. A debt makes the tokens negative.
 */
export interface TokenBucket {
    /** Adds the tokens that accrued until `nowMs`. */
    accrue(nowMs: number): void;
    /** Applies another share. Tokens above the new burst are lost. */
    resize(share: BucketShare): void;
    share(): BucketShare;
    tokens(): number;
    outstanding(): number;
    /** Spends tokens, or charges a debt when the cost exceeds them. */
    take(cost: number): void;
    /** Returns tokens of a request that cost less than estimated. */
    credit(cost: number): void;
    /** Moves tokens to outstanding loans. */
    lend(cost: number): void;
    /** Ends an outstanding amount that was spent, or that expired and may have been spent. */
    writeOff(cost: number): void;
    /** Moves an outstanding amount that will not be spent back to the tokens. */
    takeBack(cost: number): void;
}

/** Creates a bucket without tokens that accrues from `accrueFromMs` on. */
export function createTokenBucket(initialShare: BucketShare, accrueFromMs: number): TokenBucket {
    let share = initialShare;
    let tokens = 0;
    let outstanding = 0;
    let atMs = accrueFromMs;
    const cap = (): void => {
        tokens = Math.min(tokens, Math.max(0, share.burst - outstanding));
    };
    return {
        accrue(nowMs) {
            if (nowMs > atMs) {
                tokens += (nowMs - atMs) * share.ratePerMs;
                atMs = nowMs;
                cap();
            }
        },
        resize(next) {
            share = next;
            cap();
        },
        share: () => share,
        tokens: () => tokens,
        outstanding: () => outstanding,
        take(cost) {
            tokens -= cost;
        },
        credit(cost) {
            tokens += cost;
            cap();
        },
        lend(cost) {
            tokens -= cost;
            outstanding += cost;
        },
        writeOff(cost) {
            outstanding -= cost;
        },
        takeBack(cost) {
            outstanding -= cost;
            tokens += cost;
            cap();
        },
    };
}
