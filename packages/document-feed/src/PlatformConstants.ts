/** Name of the peer protocol slice and of the gossip section. */
export const platformSlice = "platform";
/** Number of VMs per availability zone that watch the configuration service. */
export const watchersPerZone = 4;
/** Watchers of a large fleet that read every version in full: 278 KB/s each at 24,000 changes of 1 MB a day. */
export const fullWatchers = 2;
/** Time in ms for which the configuration service may delay the response to a watch while there is no new version. */
export const watchWaitMs = 2_000;
/**
 * Time in ms beyond {@link watchWaitMs} after which a watch without a response times out. A changed state or a revoked key
 * must be active on all VMs within 5 s; the two times take 3 s of these.
 */
export const watchGraceMs = 1_000;
/** Timeout in ms of all other calls to the configuration service. */
export const readTimeoutMs = 3_000;
/** Mean time in ms between two reads by a VM that does not watch. */
export const readPeriodMs = 30_000;
/** Interval in ms at which a VM that does not watch determines its role again. */
export const roleCheckIntervalMs = 500;
/**
 * Age in ms of the fleet's last contact with the configuration service beyond which VMs that were not selected watch too.
 * A working watch gets a response every 2 s, and gossip among hundreds of VMs takes about 1 s.
 */
export const contactTimeoutMs = 3_500;
/** Jitter between VMs as a fraction of {@link contactTimeoutMs}. */
export const contactJitter = 0.25;
/** Time in ms for which a VM that was not selected continues to watch. */
export const fallbackWatchMs = 60_000;
/** Minimum time in ms between two calls to the configuration service by one VM. */
export const minCallIntervalMs = 50;
/** Initial and maximum mean backoff in ms after a failed call. */
export const firstBackoffMs = 200;
export const maxBackoffMs = 5_000;
/** Timeout in ms of requests to a peer for its version or document. */
export const peerTimeoutMs = 1_000;
/** Time in ms between two rounds of version requests by a starting VM. */
export const startupRoundMs = 250;
/**
 * Time in ms for which more than half of the VMs, counting starting VMs, must have replied in every round before that
 * quorum suffices. Without this rule, no VM of a fleet with failed VMs would become ready while more than half are starting.
 */
export const startingQuorumWaitMs = 30_000;
/** Maximum number of patches that are kept, and their maximum total size in bytes. */
export const maxPatches = 64;
export const maxPatchBytes = 262_144;
/** Maximum size of the list of VMs in bytes. */
export const maxVmListBytes = 1_000_000;
