/** Name of the slice, of its gossip section and of its counters. */
export const sliceName = "scheduling";
/** Period in ms of expiry, retries and refreshes. Half of the 50 ms within which a free slot must be used. */
export const tickMs = 25;
/** Time in ms after which a call to another VM times out. */
export const callTimeoutMs = 250;
/**
 * Time in ms after which a VM that has not replied to a grant gets no further grants. Without this limit, the wants of
 * one partitioned VM took every slot of a fleet of 6 VMs within 500 ms.
 */
export const overdueGrantMs = 20;
/** Time in ms after which a return without a reply is sent again. */
export const returnRetryMs = 250;
/** Time in ms after which an unchanged want is sent again. */
export const wantRefreshPeriodMs = 1_000;
/** Time in ms after which a want that was not refreshed expires, and a grant for it is no longer accepted. */
export const wantLifetimeMs = 2_500;
/** Minimum time in ms between two wants to the same coordinator for the same pool. */
export const wantSpacingMs = 20;
/** The same if the new want adds a customer that the last want to this coordinator does not announce. */
export const newCustomerWantSpacingMs = 5;
/** Time in ms between two samples of the virtual time floor of a pool. */
export const floorSamplePeriodMs = 50;
/**
 * Number of coordinators that get a want for each waiting request. All but the one that serves the request then hold a
 * stale want; with wants to all coordinators, a flood moved the p99 of the other customers by 12 to 20%.
 */
export const coordinatorsPerRequest = 3;
/** Time in ms for which only one coordinator with free slots gets a want for a request, before more of them do. */
export const wantEscalationMs = 15;
/** Maximum number of coordinators that hold wants of this VM for one pool. Bounds control traffic in large fleets. */
export const maxWantCoordinators = 24;
/** Margin in ms for differences in clock speed between lender and borrower: 1000 ms covers 1.6% of 60 s. */
export const leaseMarginMs = 1_000;
/** Time in ms without a message after which an owner's warm slots may be taken over. */
export const takeoverTimeoutMs = 5_000;
/** Gap in ms between two ticks from which this process is considered to have been paused. */
export const processPauseMs = 1_000;
/** Time in ms between two checks of slots that wait for their previous owner. */
export const roleRefreshPeriodMs = 200;
/** Time in ms between two queries to VMs that have not reported the slots that they hold. */
export const heldQueryPeriodMs = 500;
/** Multiple of the usual first-byte delay above which a response indicates a cold start. */
export const slowFirstByteFactor = 4;
/** Number of responses after which the usual first-byte delay is known. */
export const minFirstByteSamples = 8;
/** First-byte delay in ms up to which a response never counts as slow; allows for scheduling jitter on a busy machine. */
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
/** Time in ms after which unchanged totals and states are sent again. They are sent at once after a gap in contact. */
export const gossipRefreshPeriodMs = 10_000;
/** Time in ms since the last send after which a changed total is sent before all others. */
export const overdueUpdateMs = 2_000;
/** Factor by which changes of a backlogged customer are more urgent than those of the others. */
export const backloggedUrgencyFactor = 8;
/** Gap in ms between two messages from a peer, after which totals and states are sent again. */
export const resendAfterGapMs = 1_000;
/** The same in fleets where a heartbeat reaches only some peers, so that it takes several periods to reach a given peer. */
export const relayedResendAfterGapMs = 3_000;
/** Largest fleet in which every heartbeat is sent to all peers. */
export const fullMeshMaxVms = 12;
/** Time in ms after which an unchanged hint about free slots is sent again. */
export const hintRefreshPeriodMs = 1_000;
/** Queue limit for customers that the document does not name, such as callers of open routes. */
export const defaultMaxQueued = 64;
/** Time in ms for which a peer's report that a customer waits there is valid. Longer than the want refresh period. */
export const remoteBacklogLifetimeMs = 1_500;
