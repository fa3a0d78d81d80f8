/** Maximum payload of one message in bytes; allows for a document of 1 MB with its framing. */
export const maxPayloadBytes = 1_500_000;
/** Size of the replay window: counters this far behind the highest one of an incarnation are accepted, each once. */
export const replayWindow = 1_024;
/** Maximum number of senders with a replay window; beyond it the least recently active one is evicted. */
export const maxSenders = 4_096;
/** Time in ms without a received byte after which an active connection is pinged. */
export const pingAfterIdleMs = 2_000;
/** Time in ms within which a ping must be acknowledged; otherwise the connection is closed as unresponsive. */
export const pingTimeoutMs = 1_000;
/** Time in ms without calls after which a connection is no longer pinged, except together with its next call. */
export const pingIdleLimitMs = 10_000;
/** Timeout in ms for establishing a TCP connection. */
export const connectTimeoutMs = 1_000;
/** Time in ms without traffic after which a receiver closes a connection, since its sender may have crashed. */
export const serverIdleTimeoutMs = 600_000;
/**
 * Maximum message size in bytes that is decoded. Larger than {@link maxPayloadBytes}, so that an oversized payload is
 * refused with a reason.
 */
export const maxReadBytes = 2 * maxPayloadBytes;
