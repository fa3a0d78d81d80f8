/** Name of the slice in messages between VMs. */
export const sliceName = "limits";

/** Time in ms that one borrowing attempt may take (design page, section 4.2). */
export const attemptTimeoutMs = 50;

/**
 * Borrowing attempts per request that may each take the whole time (design page, section 4.2). While the first of them
 * would last, further owners are asked as soon as one has answered.
 */
export const maxAttempts = 2;

/**
 * Time in ms for which a brief loan can be spent: a later answer is not waited for, and the loan is spent as soon as it
 * arrives. A spent loan that is still outstanding stops the accrual of a bucket that is nearly full, so it must end
 * soon: 250 ms with the margin instead of 60 ms raised wrongful refusals from 0.16% to 0.75% for a customer with one
 * bucket, a burst of 8 requests and 80% of its rate over 24 VMs.
 */
export const briefLifetimeMs = attemptTimeoutMs;

/** Time in ms that a lender waits beyond a brief loan's lifetime; allows clocks that differ by a fifth. */
export const briefMarginMs = 10;

/**
 * Time in ms that a lender waits beyond a loan's lifetime. The borrower's lifetime starts earlier, so this only covers
 * clocks that run at different rates: over the longest lifetime of 60 s it allows 1,600 ppm.
 */
export const loanMarginMs = 100;

/** Part of a loan's lifetime after which the unspent rest is returned, so that the return arrives in time. */
export const returnRatio = 0.75;

/** Multiple of the cost to borrow ahead above which unspent loans are returned early. */
export const excessRatio = 1.25;

/** Part of a bucket's burst from which it is spent before loans: a full bucket loses its accrual. */
export const nearlyFullRatio = 0.9;

/** Part of a loan's lifetime between two checks for loans to return and settlements to pass on. */
export const checkRatio = 1 / 8;

/** Part of a loan's lifetime for which a borrower borrows ahead (design page, section 4.2). */
export const aheadRatio = 1 / 2;

/** Requests expected within the time borrowed ahead, below which loans would mostly expire unspent. */
export const minRequestsAhead = 2;

/** Part of a bucket's burst share in unreported spending above which a report is sent without another cause. */
export const urgentReportRatio = 1 / 8;

/** Part of a bucket's burst share in settled differences to return above which they are sent without another cause. */
export const urgentSettlementRatio = 1 / 4;

/** Part of a bucket's burst share below which tokens are returned to it without another cause. */
export const lowRatio = 1 / 2;

/** Multiple of a missing cost that is asked for when several buckets are asked, as some may have less than expected. */
export const gatherRatio = 2;

/** Part of the free tokens that one request may take for demand to come; the rest stays for other askers. */
export const maxAheadShare = 1 / 2;

/** Shortest and longest time in ms before an empty bucket is asked again. */
export const minDryMs = 20;
export const maxDryMs = 250;

/** Shortest and longest time in ms before an owner that did not answer is asked again. */
export const minBackoffMs = 100;
export const maxBackoffMs = 2_000;

/** Time constant in ms of the demand estimate: half the default loan lifetime. */
export const demandTimeConstantMs = 1_000;

/** Weight of the newest request in the learned cost of a customer's requests. */
export const costEstimateWeight = 1 / 16;

/** Runs of one borrower whose sequence numbers a lender remembers. */
export const maxRunsPerBorrower = 4;

/** Lines of one borrow request, which keeps the message under about 4 KB. */
export const maxLinesPerRequest = 64;
