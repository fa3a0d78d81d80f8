/** Maximum size in bytes of a request body, and of a response of a non-idempotent route. */
export const maxBodyBytes = 1_000_000;
export const maxHeaderBytes = 16_384;
/** Time in ms within which a caller must send the request headers. */
export const headersTimeoutMs = 10_000;
/** Time in ms within which a caller must send the whole request. */
export const requestTimeoutMs = 30_000;
/** Interval in ms at which Node checks the two timeouts above. */
export const timeoutCheckPeriodMs = 500;
/** Time in ms after which an idle connection of a caller is closed. */
export const callerIdleTimeoutMs = 60_000;
/** Limit in bytes on all buffered request bodies, a quarter of the VM's 256 MB; requests beyond it are refused. */
export const maxBufferedBodyBytes = 64_000_000;
/** Bytes of a response that are buffered until it is complete, so that a truncated one can still be retried. */
export const maxBufferedResponseBytes = 256_000;
/** Maximum size of a server-sent event in bytes. */
export const maxEventBytes = 1_000_000;
/** Timeout in ms for connecting to an upstream. */
export const connectTimeoutMs = 2_000;
/** Time in ms after which an idle connection to an upstream is closed; below the 5 s after which Node servers close it. */
export const upstreamIdleTimeoutMs = 4_000;
/** Time in ms after which a caller that reads nothing is disconnected, because its request occupies an upstream slot. */
export const callerStallTimeoutMs = 30_000;
/** Time in ms for which a start waits for addresses that a predecessor still holds. */
export const addressWaitMs = 10_000;
/** Time in ms without a request in flight after which a draining router stops waiting for open connections. */
export const drainIdleMs = 1_000;
/** Time in ms allowed for flushing an error response or error event before the connection is closed. */
export const abortGraceMs = 1_000;
/** Assumed bytes per token, for estimates. */
export const bytesPerToken = 4;
/** Completion tokens assumed for a request without a limit. */
export const defaultMaxTokens = 1_024;
export const maxAuditEntries = 1_000;
/** Interval in ms at which the audit trail checks upstream phases and the quarantine for changes. */
export const auditPeriodMs = 1_000;
/** Time in ms for which a quarantined request is refused. */
export const quarantineMs = 600_000;
/** Default of Retry-After, in ms. */
export const defaultRetryAfterMs = 1_000;
/** Customer to which requests without a key on open routes are assigned for queueing. */
export const anonymousCustomer = "anonymous";

/** Limit in bytes on stored operations and their responses per VM; a full store refuses new operations. */
export const maxStoredOperationBytes = 32_000_000;

/** Retries after failed connections that one request may make before further ones count against the retry budget. */
export const maxUnbudgetedRetries = 3;
