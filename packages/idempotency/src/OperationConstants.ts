/** Slice name of the messages between VMs. */
export const sliceName = "idempotency";
/** Largest idempotency key in UTF-8 bytes. */
export const maxKeyBytes = 256;
/** Largest operation ticket in characters; a ticket with two ids of 63 characters has 300. */
export const maxTicketLength = 512;
export const operationIdBytes = 16;
export const signatureBytes = 32;
/**
 * Longest time in ms from the arrival of an attempt at any VM to its admission by the owner.
 * Owners store operations for this long beyond the window, so that an attempt delayed by this much still finds them.
 */
export const maxAttemptAgeMs = 5_000;
/** Timeout in ms of a request for a stamp. */
export const stampTimeoutMs = 1_000;
/** Time in ms added to the pool's deadline for the timeout of a forwarded operation. */
export const forwardMarginMs = 2_000;
/** Deadline in ms of an operation whose route is not in this VM's document. */
export const defaultDeadlineMs = 60_000;
/** Most VMs to which an attempt is forwarded when their documents name different owners: the first one and the one it redirects to. */
export const maxForwardHops = 2;
/** Period in ms at which expired operations are removed. */
export const expiryCheckPeriodMs = 1_000;
/** Period in ms of the pause detector's timer. */
export const pauseCheckPeriodMs = 100;
/**
 * Gap in ms between two ticks of the pause detector's timer from which the process counts as paused.
 * A blocked event loop that counts as a pause is harmless: attempts only look older by the gap.
 */
export const minPauseMs = 250;
/** Time in ms after a pause during which a request may have come from a socket buffer, where it waited in the pause. */
export const pauseDrainMs = 1_000;
/** Share of the store's bytes that the operations of one customer may use. */
export const maxCustomerShare = 0.5;
/** Bytes counted for an operation in addition to its id and its response. */
export const entryOverheadBytes = 512;
/** Bytes reserved for the response of a running operation. A larger response is stored if there is room. */
export const reservedResponseBytes = 65_536;
