/** Name of the slice in messages between VMs. */
export const sliceName = "limits";

/** Time in ms that one borrowing attempt may take (design page, section 4.2). */
export const attemptTimeoutMs = 50;

/**
 * Borrowing attempts per request that may each take the full timeout (design page, section 4.2). Until the timeout of
 * the first has passed, a request may make further attempts, each after the reply to the one before.
 */
export const maxAttempts = 2;

/**
 * Time in ms for which a brief loan can be spent. The borrower waits no longer for the reply, and spends the loan as
 * soon as it arrives. A loan that is spent but still outstanding stops the accrual of a nearly full bucket, so it must
 * expire soon: 250 ms with the margin instead of 60 ms raised wrongful refusals from 0.16% to 0.75% for a customer with
 * one bucket, a burst of 8 requests and 80% of its rate over 24 VMs.
 */
export const briefLifetimeMs = attemptTimeoutMs;

/** Time in ms after a brief loan's lifetime at which the lender writes it off; allows clock rates that differ by a fifth. */
export const briefMarginMs = 10;

/**
 * Time in ms after a loan's lifetime at which the lender writes it off. The lifetime starts earlier at the borrower, so
 * this only has to cover clocks that run at different rates: 1,600 ppm over the longest lifetime of 60 s.
 */
export const loanMarginMs = 100;

/** Part of a loan's lifetime after which the unspent rest is returned, so that the return arrives before the expiry. */
export const returnRatio = 0.75;

/** Multiple of the demand expected ahead above which unspent loans are returned early. */
export const excessRatio = 1.25;

/** Part of a bucket's burst from which the bucket is spent before loans, because a full bucket does not accrue. */
export const nearlyFullRatio = 0.9;

/** Part of a loan's lifetime between two checks for loans to return and settlements to send. */
export const checkRatio = 1 / 8;

/** Part of a loan's lifetime whose expected demand a borrower borrows in advance (design page, section 4.2). */
export const aheadRatio = 1 / 2;

/** Fewest requests expected in that time for borrowing in advance; with fewer, most loans would expire unspent. */
export const minRequestsAhead = 2;

/** Part of a bucket's burst share; unreported spending above it is reported without waiting for the next need. */
export const urgentReportRatio = 1 / 8;

/** Part of a bucket's burst share; a settled difference above it is sent without waiting for the next need. */
export const urgentSettlementRatio = 1 / 4;

/** Part of a bucket's burst share; a bucket with fewer tokens gets credits without waiting for the next need. */
export const lowTokensRatio = 1 / 2;

/** Multiple of the missing cost requested from several buckets together, because some have less than expected. */
export const gatherRatio = 2;

/** Part of the free tokens that one request may borrow in advance; the rest stays for other borrowers. */
export const maxAheadShare = 1 / 2;

/** Shortest and longest time in ms before another request to a bucket that granted too little. */
export const minRetryDelayMs = 20;
export const maxRetryDelayMs = 250;

/** Shortest and longest time in ms before another request to an owner that did not reply. */
export const minBackoffMs = 100;
export const maxBackoffMs = 2_000;

/** Time constant in ms of the demand estimate: half the default loan lifetime. */
export const demandTimeConstantMs = 1_000;

/** Weight of the newest request in the learned cost of a customer's requests. */
export const costEstimateWeight = 1 / 16;

/** Runs of one borrower whose sequence numbers a lender stores. */
export const maxRunsPerBorrower = 4;

/** Most lines of one borrow request; keeps the message under about 4 KB. */
export const maxLinesPerRequest = 64;
