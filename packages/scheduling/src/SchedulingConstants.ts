/** Name of the slice, of its gossip section and of its counters. */
export const sliceName = "scheduling";
/** Period in ms of expiry, retries and refreshes. Half of the 50 ms within which a free slot must be used. */
export const tickMs = 25;
/** Time in ms after which a call to another VM counts as unanswered. */
export const callTimeoutMs = 250;
/**
 * Time in ms after which a VM that has not answered a grant gets no further ones. Without this rule, the wants of one VM
 * that was cut off took every slot of a fleet of 6 VMs within 500 ms.
 */
export const unansweredGrantMs = 20;
/** Time in ms after which an unanswered return is sent again. */
export const returnRetryMs = 250;
/** Time in ms between two repetitions of an unchanged want. */
export const wantRefreshMs = 1_000;
/** Time in ms after which a want that was not repeated is forgotten, and a grant for it is no longer accepted. */
export const wantLifetimeMs = 2_500;
/** Shortest time in ms between two wants to the same owner for the same pool. */
export const wantSpacingMs = 20;
/** The same when a customer is waiting that the owner does not know of. */
export const wantSpacingNewMs = 5;
/** Time in ms between two samples of the virtual time of backlogged customers. */
export const levelSampleMs = 50;
/**
 * Owners that are told of each waiting request. Owners that are told of a request which another one serves hold a stale
 * want; when all owners were told, a flood moved the p99 of the other customers by 12 to 20%.
 */
export const ownersPerRequest = 3;
/** Largest number of owners that hold wants of this VM for one pool: bounds control traffic in large fleets. */
export const maxWantOwners = 24;
/** Margin in ms for differences in clock speed between lender and borrower: 1000 ms covers 1.6% of 60 s. */
export const leaseMarginMs = 1_000;
/** Silence in ms after which an owner's warm slots may be taken over. */
export const takeoverSilenceMs = 5_000;
/** A gap in ms between two ticks that shows that this process was paused. */
export const pauseGapMs = 1_000;
/** Time in ms between two questions to VMs that have not said which slots they hold. */
export const heldQueryPeriodMs = 500;
/** An answer whose first byte comes this many times later than usual shows a cold start. */
export const slowFirstByteFactor = 4;
/** Answers needed before the usual first-byte delay counts as known. */
export const firstByteSamples = 8;
/** First-byte delays in ms below which an answer never counts as slow: scheduling jitter of a busy machine. */
export const slowFirstByteFloorMs = 50;
/** Shortest and longest pause in ms before an upstream that failed gets new work. */
export const minHoldOffMs = 100;
export const maxHoldOffMs = 5_000;
export const retryRatio = 0.1;
/** Length in ms of the window of "recent requests" of the retry budget. */
export const retryWindowMs = 10_000;
/** Time in ms for which a fingerprint is refused. */
export const quarantineMs = 600_000;
/** Distinct upstreams that must have crashed under a fingerprint. */
export const quarantineUpstreams = 2;
/** Bound of the suspects kept; the oldest go first. */
export const maxSuspects = 10_000;
/** Times that a change is gossiped before it counts as known. */
export const gossipRepeats = 3;
/** Time in ms after which unchanged totals and states are gossiped again; a peer that was silent causes it at once. */
export const gossipRefreshMs = 10_000;
/** Age in ms after which a changed total is gossiped before all others. */
export const oldNewsMs = 2_000;
/** Weight of a backlogged customer's changes against those of the others. */
export const backloggedUrgency = 8;
/** Silence of a peer in ms after which it is told everything again. */
export const gossipGapMs = 1_000;
/** Time in ms between two repetitions of an unchanged hint about free slots. */
export const hintRefreshMs = 1_000;
/** Queue bound for customers that the document does not name, such as callers of open routes. */
export const defaultMaxQueued = 64;
/** Time in ms after which a peer's statement that a customer waits there is ignored; longer than the want refresh. */
export const backlogFreshMs = 1_500;
