/** Name of the slice that exchanges documents. */
export const platformSlice = "platform";
/** VMs per availability zone that watch the configuration service. */
export const watchersPerZone = 4;
/** Watchers of a large fleet that read every version whole, 278 KB/s each at 24,000 changes of 1 MB a day. */
export const fullWatchers = 2;
/** Time in ms for which the configuration service may hold a watch without news. */
export const watchWaitMs = 2_000;
/**
 * Time in ms beyond {@link watchWaitMs} after which a silent watch is given up. Both together leave 2 s of the 5 s in
 * which a state or a revoked key must be in force everywhere.
 */
export const watchGraceMs = 1_000;
/** Time in ms in which any other answer of the configuration service must be complete. */
export const readTimeoutMs = 3_000;
/** Time in ms between two reads of a VM that does not watch. */
export const readPeriodMs = 30_000;
/** Time in ms after which a VM checks again whether it should watch. */
export const roleCheckMs = 500;
/**
 * Age in ms of the fleet's last contact with the configuration service beyond which VMs that were not chosen watch too.
 * A watch that works is answered every 2 s, and gossip among hundreds of VMs takes about 1 s.
 */
export const contactLostAfterMs = 3_500;
/** Share of {@link contactLostAfterMs} by which VMs differ. */
export const contactJitter = 0.25;
/** Time in ms for which such a VM goes on watching. */
export const stepInMs = 60_000;
/** Smallest time in ms between two calls to the configuration service by one reader. */
export const minCallGapMs = 50;
/** First and largest mean delay in ms after a failed call. */
export const firstBackoffMs = 200;
export const maxBackoffMs = 5_000;
/** Time in ms in which a peer must answer with its version or document. */
export const peerTimeoutMs = 1_000;
/** Time in ms between two rounds of questions of a VM that holds no trusted document. */
export const trustRoundMs = 250;
/**
 * Time in ms for which a starting VM must have heard more than half of the VMs, starting ones included, before it goes by
 * them. Without it no VM of a fleet that lost VMs would become ready while more than half are starting.
 */
export const startingQuorumWaitMs = 30_000;
/** Most versions whose patches are kept, and their bytes together. */
export const maxPatches = 64;
export const maxPatchBytes = 262_144;
/** Largest list of VMs in bytes that is read. */
export const maxVmListBytes = 1_000_000;
