/**
 * Time in ms after which a change of the VM list no longer matters to `sinceMs`: the longest wait that a slice
 * derives from it is the largest `idempotencyWindowMs` that the document allows.
 */
export const historyMs = 3_600_000;

/** Resources whose owner is cached; 500 customers with 4 buckets and 13,000 slots fit several times. */
export const maxCachedOwners = 65_536;
