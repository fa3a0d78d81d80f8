/** Name of the slice in messages between VMs. */
export const sliceName = "limits";

/** Time in ms that one borrowing attempt may take (design page, section 4.2). */
export const attemptTimeoutMs = 50;

/** Borrowing attempts per request (design page, section 4.2). */
export const maxAttempts = 2;

/** Time in ms for which a brief loan can be spent: both attempts and the handling of their answers. */
export const briefLifetimeMs = 150;

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
export const urgentReportRatio = 1 / 32;

/** Part of a bucket's burst share in settled differences to return above which they are sent without another cause. */
export const urgentSettlementRatio = 1 / 16;

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
