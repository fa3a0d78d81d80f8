/** Largest payload of one message in bytes: a 1 MB document and its framing fit. */
export const maxPayloadBytes = 1_500_000;
/** Counters behind the highest one of an incarnation that are still accepted, each once. */
export const replayWindow = 1_024;
/** Senders whose counters are remembered; beyond it the one silent longest is forgotten. */
export const maxSenders = 4_096;
/** Time in ms without a byte from the peer after which a connection in use is pinged. */
export const pingAfterIdleMs = 2_000;
/** Time in ms in which a ping must be answered before the connection counts as dead. */
export const pingTimeoutMs = 1_000;
/** A connection without calls for this time in ms is no longer pinged; its next call comes with a ping. */
export const pingAfterUseMs = 10_000;
/** Time in ms in which a TCP connection must be established. */
export const connectTimeoutMs = 1_000;
/** Time in ms without a byte after which a receiver closes a connection; keeps dead senders from piling up. */
export const serverIdleTimeoutMs = 600_000;
/** Largest message that the codec reads in bytes; between this and {@link maxPayloadBytes} the refusal says why. */
export const maxReadBytes = 2 * maxPayloadBytes;
