/** Slice name of the messages between VMs. */
export const sliceName = "idempotency";
/** Largest idempotency key in UTF-8 bytes. */
export const maxKeyBytes = 256;
/** Largest operation ticket in characters; a ticket with two ids of 63 characters has 300. */
export const maxTicketLength = 512;
export const operationIdBytes = 16;
export const signatureBytes = 32;
/**
 * Largest time in ms from the arrival of an attempt at any VM to its admission by the owner.
 * Owners remember keys for this long beyond the window, so that an attempt that was delayed on its way still meets them.
 */
export const maxAttemptAgeMs = 5_000;
/** Time in ms in which the owner must answer a request for a stamp. */
export const stampTimeoutMs = 1_000;
/** Time in ms added to a pool's deadline when waiting for a forwarded operation. */
export const forwardMarginMs = 2_000;
/** Deadline in ms of an operation whose route is not in this VM's document. */
export const defaultDeadlineMs = 60_000;
/** Most VMs that a forward visits when documents disagree: the first one and the one that it names. */
export const maxForwardHops = 2;
/** Time in ms between two removals of expired operations. */
export const sweepPeriodMs = 1_000;
/** Time in ms between two readings of the pause detector. */
export const pauseCheckPeriodMs = 100;
/**
 * Silence in ms of the pause detector's timer that counts as a pause of the process.
 * A busy event loop that counts as paused only makes attempts look this much older.
 */
export const minPauseMs = 250;
/** Time in ms after a pause in which arriving requests may have waited in a socket buffer during the pause. */
export const pauseDrainMs = 1_000;
/** Share of a store that the operations of one customer may use. */
export const maxCustomerShare = 0.5;
/** Bytes charged for an operation besides its key and its answer. */
export const entryOverheadBytes = 512;
/** Bytes reserved for the answer of a running operation. A larger answer is kept if there is room. */
export const reservedAnswerBytes = 65_536;
