/** Name of the slice, of its gossip section and of its counters. */
export const sliceName = "scheduling";
/** Period in ms of expiry, retries and refreshes. Half of the 50 ms within which a free slot must be used. */
export const tickMs = 25;
/** Time in ms after which a call to another VM times out. */
export const callTimeoutMs = 250;
/**
 * Time in ms after which a VM that has not answered a grant gets no further grants. Without this limit, the wants of one
 * partitioned VM took every slot of a fleet of 6 VMs within 500 ms.
 */
export const unansweredGrantMs = 20;
/** Time in ms after which an unanswered return is sent again. */
export const returnRetryMs = 250;
/** Time in ms after which an unchanged want is sent again. */
export const wantRefreshPeriodMs = 1_000;
/** Time in ms after which a want that was not refreshed expires, and a grant for it is no longer accepted. */
export const wantLifetimeMs = 2_500;
/** Minimum time in ms between two wants to the same owner for the same pool. */
export const wantSpacingMs = 20;
/** The same when the new want names a customer that the owner does not know to be waiting. */
export const newCustomerWantSpacingMs = 5;
/** Time in ms between two samples of the virtual time floor of a pool. */
export const floorSamplePeriodMs = 50;
/**
 * Number of owners that get a want for each waiting request. All but the one that serves the request then hold a stale
 * want; with wants to all owners, a flood moved the p99 of the other customers by 12 to 20%.
 */
export const ownersPerRequest = 3;
/** Time in ms for which only one owner with free slots gets a want for a request, before more owners do. */
export const wantEscalationMs = 15;
/** Maximum number of owners that hold wants of this VM for one pool. Bounds control traffic in large fleets. */
export const maxWantOwners = 24;
/** Margin in ms for differences in clock speed between lender and borrower: 1000 ms covers 1.6% of 60 s. */
export const leaseMarginMs = 1_000;
/** Silence in ms after which an owner's warm slots may be taken over. */
export const takeoverSilenceMs = 5_000;
/** Gap in ms between two ticks from which this process is considered to have been paused. */
export const processPauseMs = 1_000;
/** Time in ms between two checks of slots that wait for their previous owner. */
export const roleRefreshPeriodMs = 200;
/** Time in ms between two queries to VMs that have not reported the slots that they hold. */
export const heldQueryPeriodMs = 500;
/** Multiple of the usual first-byte delay above which an answer indicates a cold start. */
export const slowFirstByteFactor = 4;
/** Number of answers after which the usual first-byte delay is known. */
export const minFirstByteSamples = 8;
/** First-byte delay in ms up to which an answer never counts as slow: scheduling jitter of a busy machine. */
export const minSlowFirstByteMs = 50;
/** Bounds in ms of the backoff before an upstream that failed gets new work. */
export const minBackoffMs = 100;
export const maxBackoffMs = 5_000;
/** Maximum share of retries among the recent requests. */
export const retryRatio = 0.1;
/** Length in ms of the window of recent requests for the retry budget. */
export const retryWindowMs = 10_000;
/** Time in ms for which a quarantined fingerprint is refused. */
export const quarantineMs = 600_000;
/** Number of distinct upstreams that must have crashed on a fingerprint before it is quarantined. */
export const quarantineUpstreams = 2;
/** Maximum number of suspect fingerprints kept; the oldest are evicted first. */
export const maxSuspectFingerprints = 10_000;
/** Number of gossip messages that carry a change. */
export const gossipSendCount = 3;
/** Time in ms after which unchanged totals and states are sent again. Contact after a silence causes this at once. */
export const gossipRefreshPeriodMs = 10_000;
/** Time in ms since the last send after which a changed total is sent before all others. */
export const overdueUpdateMs = 2_000;
/** Factor by which changes of a backlogged customer are more urgent than those of the others. */
export const backloggedUrgencyFactor = 8;
/** Silence of a peer in ms after which totals and states are sent again. */
export const resendAfterSilenceMs = 1_000;
/** The same in fleets where a heartbeat reaches only some peers, so that contact with a peer takes several periods. */
export const relayedResendAfterSilenceMs = 3_000;
/** Largest fleet in which every heartbeat is sent to all peers. */
export const fullMeshMaxVms = 12;
/** Time in ms after which an unchanged hint about free slots is sent again. */
export const hintRefreshPeriodMs = 1_000;
/** Queue limit for customers that the document does not name, such as callers of open routes. */
export const defaultMaxQueued = 64;
/** Time in ms for which a peer's report that a customer waits there is valid. Longer than the want refresh period. */
export const remoteBacklogLifetimeMs = 1_500;
