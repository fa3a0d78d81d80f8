/** Slice name of the messages between VMs. */
export const membershipSlice = "membership";
/** Time in ms without a message or a relayed mark of a peer after which the peer is suspect. */
export const suspectAfterMs = 2_000;
/** Time in ms without a message or a relayed mark of a peer after which the peer is unreachable. */
export const unreachableAfterMs = 5_000;
/** Maximum fleet size in VMs at which every heartbeat goes to all peers. */
export const maxFullGossipVms = 12;
/** Number of random peers that receive a heartbeat in larger fleets. */
export const defaultFanout = 2;
/** Gossip budget in bytes/s, out of the 5 KB/s for all control traffic of a VM. */
export const defaultBudgetBytesPerS = 4_096;
/**
 * Gossip budget in bytes/s in fleets of at most {@link maxFullGossipVms} VMs, which send to all peers. 4,096 bytes/s allow
 * only 1.8 rounds/s instead of 5 with 8 peers.
 */
export const smallFleetBudgetBytesPerS = 16_384;
/** Time in ms between two heartbeats before the first document, which sets the period. */
export const defaultExchangePeriodMs = 200;
/** Minimum time in ms between two heartbeats requested with `requestExchange`. */
export const minExchangeGapMs = 20;
/**
 * Maximum time in ms between two heartbeats without new content, in fleets of at most {@link maxFullGossipVms} VMs. With 5
 * rounds/s to 8 peers an idle router used 0.13 of a core. Two of these intervals fit into {@link suspectAfterMs}.
 */
export const maxQuietIntervalMs = 900;
/** Timeout in ms of a heartbeat's acknowledgement. */
export const heartbeatTimeoutMs = 1_000;
/** A heartbeat with fewer bytes than this left for sections is deferred to the next period. */
export const minSectionBytes = 96;
/** Maximum size in bytes of all sections in one heartbeat. */
export const maxSectionBytes = 16_384;
/** A section is encoded only if it may use at least this many bytes. */
export const minBytesPerSection = 32;
/** Length of an epoch of the liveness digest in ms. */
export const epochMs = 1_000;
/** Maximum number of VMs in one liveness digest; larger fleets rotate through their list. */
export const maxDigestVms = 384;
/**
 * Transport overhead in bytes of a heartbeat and of its acknowledgement: envelope, MAC and HTTP/2 frames, measured on an
 * open connection by packages/bench/src/gossipFleet.ts. TCP/IP headers are not included.
 */
export const heartbeatTransportBytes = 149;
export const ackTransportBytes = 73;
