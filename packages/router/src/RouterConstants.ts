/** Largest request body in bytes, and largest answer of a non-idempotent route. */
export const maxBodyBytes = 1_000_000;
export const maxHeaderBytes = 16_384;
/** Time in ms in which a caller must send its request's headers. */
export const headersTimeoutMs = 10_000;
/** Time in ms in which a caller must send its whole request. */
export const requestTimeoutMs = 30_000;
/** Period in ms of Node's check of the two timeouts above. */
export const timeoutCheckPeriodMs = 500;
/** Time in ms after which an idle caller connection is closed. */
export const callerIdleTimeoutMs = 60_000;
/** Request bodies held at once, in bytes; beyond it requests are refused. A quarter of the VM's 256 MB. */
export const maxHeldBodyBytes = 64_000_000;
/** Bytes of an answer that are held back until it is complete, so that a truncated one can be tried elsewhere. */
export const maxHeldAnswerBytes = 256_000;
/** Largest server-sent event in bytes. */
export const maxEventBytes = 1_000_000;
/** Time in ms in which a connection to an upstream must open. */
export const connectTimeoutMs = 2_000;
/** Idle connections to upstreams are closed after this time in ms. Below the 5 s after which Node servers close them. */
export const upstreamIdleTimeoutMs = 4_000;
/** Time in ms after which a caller that takes none of its answer is disconnected, since it holds an upstream slot. */
export const callerStallTimeoutMs = 30_000;
/** Time in ms without a request in flight after which a draining router closes the connections that are left. */
export const drainQuietMs = 1_000;
/** Time in ms that a caller gets to take the error event before its connection is closed. */
export const abortGraceMs = 1_000;
/** Bytes of prompt per token, for estimates. */
export const bytesPerToken = 4;
/** Generated tokens assumed when the request sets no limit. */
export const defaultMaxTokens = 1_024;
export const maxAuditEntries = 1_000;
/** Period in ms at which upstream phases and quarantine are compared for the audit trail. */
export const auditPeriodMs = 1_000;
/** Time in ms for which a quarantined request is refused. */
export const quarantineMs = 600_000;
/** Retry-After in ms where nothing better is known. */
export const defaultRetryAfterMs = 1_000;
/** Customer under which requests without a key on open routes are queued. */
export const anonymousCustomer = "anonymous";

/** Bytes of operations with their answers that a VM remembers; a full store refuses new operations. */
export const maxStoredOperationBytes = 32_000_000;

/** Upstreams without a connection that one request may pass over before its retries count against the budget. */
export const maxFreeRetries = 3;
