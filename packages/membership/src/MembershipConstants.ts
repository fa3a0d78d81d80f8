/** Name of the slice that carries heartbeats. */
export const membershipSlice = "membership";
/** A peer that was not heard for this time in ms is suspect. */
export const suspectAfterMs = 2_000;
/** A peer that was not heard for this time in ms is unreachable. */
export const unreachableAfterMs = 5_000;
/** In fleets of up to this many VMs every heartbeat goes to all peers. */
export const allPeersUpTo = 12;
/** Random peers that a heartbeat goes to in larger fleets. */
export const defaultFanout = 2;
/** Bytes per second of gossip, out of the 5 KB/s for all control traffic of a VM. */
export const defaultBudgetBytesPerS = 4_096;
/**
 * The same in fleets of at most {@link allPeersUpTo} VMs, which send to all peers: 4,096 bytes/s allowed 1.8 rounds/s
 * to the 8 peers of a VM instead of 5.
 */
export const smallFleetBudgetBytesPerS = 16_384;
/** Time in ms between two heartbeats until a document names one. */
export const defaultExchangePeriodMs = 200;
/** Smallest time in ms between two heartbeats that were asked for with `requestExchange`. */
export const minExchangeGapMs = 20;
/**
 * Longest time in ms between two heartbeats of a fleet of at most {@link allPeersUpTo} VMs that has nothing to tell.
 * With 5 rounds/s to 8 peers an idle router took 0.13 of a core. Two of them fit into {@link suspectAfterMs}.
 */
export const quietPeriodMs = 900;
/** Time in ms in which a heartbeat must be acknowledged. */
export const heartbeatTimeoutMs = 1_000;
/** With less room than this for sections, a heartbeat waits for the next period instead. */
export const minSectionBytes = 96;
/** Most bytes of sections in one heartbeat. */
export const maxSectionBytes = 16_384;
/** A section is asked to encode only when it may use at least this many bytes. */
export const minBytesPerSection = 32;
/** Length of an epoch of the heard digest in ms. */
export const epochMs = 1_000;
/** VMs that one heard digest covers; larger fleets rotate through their list. */
export const maxHeardVms = 384;
/**
 * Bytes that peering adds to a heartbeat and to its acknowledgement: envelope, MAC and HTTP/2 frames, measured on an
 * open connection by packages/bench/src/gossipFleet.ts. TCP/IP headers are not included.
 */
export const heartbeatTransportBytes = 149;
export const ackTransportBytes = 73;
