import type * as core from "@peridotloft/core";
import type * as ownership from "@peridotloft/ownership";
import { createLendingBucket, type LendingBucket } from "./LendingBucket.js";
import { bucketResource } from "./LimitsUtils.js";
import type { CustomerLimit, ShareTable } from "./ShareTable.js";
import type { BucketShare, TokenBucket } from "./TokenBucket.js";

/** The buckets that this VM owns. */
export interface OwnBuckets {
    /** Returns the bucket with its tokens as of `nowMs`, or undefined when this VM may not act for it. */
    find(customer: core.CustomerId, index: number, nowMs: number): LendingBucket | undefined;
    /** All buckets of the customer for which this VM may act. */
    findAll(customer: core.CustomerId, nowMs: number): readonly OwnBucket[];
}

export interface OwnBucket {
    readonly index: number;
    readonly lending: LendingBucket;
}

export interface OwnBucketsOptions {
    readonly ownership: ownership.Ownership;
    readonly shares: ShareTable;
    /** Creates an empty bucket that accrues tokens from `accrueFromMs` on. */
    createBucket(share: BucketShare, accrueFromMs: number): TokenBucket;
}

interface Entry {
    readonly lending: LendingBucket;
    readonly ownedSinceMs: number;
    share: BucketShare;
}

export function createOwnBuckets(options: OwnBucketsOptions): OwnBuckets {
    const { ownership, shares } = options;
    const entries = new Map<string, Entry>();
    const resourceNames = new Map<core.CustomerId, string[]>();

    /** Caches the names, because building and hashing them took half the time of an admission. */
    const resourceOf = (customer: core.CustomerId, index: number): string => {
        const existing = resourceNames.get(customer) ?? [];
        resourceNames.set(customer, existing);
        return existing[index] ??= bucketResource(customer, index);
    };

    const findOwnedSince = (customer: core.CustomerId, index: number, resource: string): number | undefined => {
        const limit = shares.findLimit(customer);
        const holding = ownership.holdingOf(resource);
        return limit && holding.kind === "held"
            ? Math.max(holding.sinceMs, limit.knownSinceMs, shares.activeSinceMs(index))
            : undefined;
    };

    /**
     * Returns the bucket, or a new one if there is none of this VM's current ownership. Loans that an earlier owner or run
     * made may be spent until they expire, so a new bucket starts empty and accrues only after that.
     */
    const findOrCreate = (resource: string, share: BucketShare, ownedSinceMs: number): Entry => {
        const existing = entries.get(resource);
        if (existing && existing.ownedSinceMs >= ownedSinceMs) {
            return existing;
        }
        const bucket = options.createBucket(share, ownedSinceMs + shares.earlierLoansMs());
        const entry = { lending: createLendingBucket(bucket), ownedSinceMs, share };
        entries.set(resource, entry);
        return entry;
    };

    const resize = (entry: Entry, share: BucketShare): void => {
        if (entry.share.ratePerMs !== share.ratePerMs || entry.share.burst !== share.burst) {
            entry.lending.bucket.resize(share);
            entry.share = share;
        }
    };

    const find = (customer: core.CustomerId, index: number, nowMs: number): LendingBucket | undefined => {
        const resource = resourceOf(customer, index);
        const limit: CustomerLimit | undefined = shares.findLimit(customer);
        const isActive = index < shares.activeBucketCount(nowMs);
        const ownedSinceMs = isActive ? findOwnedSince(customer, index, resource) : undefined;
        if (!limit || ownedSinceMs === undefined) {
            entries.delete(resource);
            return undefined;
        }
        const share = shares.shareOf(limit, nowMs);
        const entry = findOrCreate(resource, share, ownedSinceMs);
        entry.lending.advance(nowMs);
        resize(entry, share);
        return entry.lending;
    };

    return {
        find,
        findAll: (customer, nowMs) =>
            Array.from({ length: shares.activeBucketCount(nowMs) }, (_unused, index) => index).flatMap(index => {
                const lending = find(customer, index, nowMs);
                return lending ? [{ index, lending }] : [];
            }),
    };
}
