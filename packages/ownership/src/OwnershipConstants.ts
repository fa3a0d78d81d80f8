/**
 * Time in ms for which replaced VM lists are kept to derive `sinceMs`. The longest wait that a slice derives from it is the
 * largest `idempotencyWindowMs` that the document allows.
 */
export const vmListRetentionMs = 3_600_000;

/** Maximum number of resources with a cached owner: several times 13,000 slots and 500 customers with 4 buckets each. */
export const maxCachedOwners = 65_536;
