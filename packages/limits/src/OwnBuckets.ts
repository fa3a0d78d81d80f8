import type * as core from "@peridotloft/core";
import type * as ownership from "@peridotloft/ownership";
import { createLentBucket, type LentBucket } from "./LentBucket.js";
import { bucketResource } from "./LimitsUtils.js";
import type { CustomerLimit, ShareTable } from "./ShareTable.js";
import type { BucketShare, TokenBucket } from "./TokenBucket.js";

/** The buckets that this VM holds now. */
export interface OwnBuckets {
    /** Returns the bucket, brought up to `nowMs`, or undefined when this VM may not act on it. */
    find(customer: core.CustomerId, index: number, nowMs: number): LentBucket | undefined;
    /** All buckets of the customer that this VM holds. */
    findAll(customer: core.CustomerId, nowMs: number): readonly OwnBucket[];
}

export interface OwnBucket {
    readonly index: number;
    readonly lent: LentBucket;
}

export interface OwnBucketsOptions {
    readonly ownership: ownership.Ownership;
    readonly shares: ShareTable;
    /** Creates a bucket that has no tokens before `accrueFromMs`. */
    createBucket(share: BucketShare, accrueFromMs: number): TokenBucket;
}

interface Entry {
    readonly lent: LentBucket;
    readonly startMs: number;
    share: BucketShare;
}

export function createOwnBuckets(options: OwnBucketsOptions): OwnBuckets {
    const { ownership, shares } = options;
    const entries = new Map<string, Entry>();
    const names = new Map<core.CustomerId, string[]>();

    /** Keeps the names, because building and hashing them took half the time of an admission. */
    const nameOf = (customer: core.CustomerId, index: number): string => {
        const known = names.get(customer) ?? [];
        names.set(customer, known);
        return known[index] ??= bucketResource(customer, index);
    };

    const findHeldSince = (customer: core.CustomerId, index: number, resource: string): number | undefined => {
        const limit = shares.find(customer);
        const holding = ownership.holdingOf(resource);
        return limit && holding.kind === "held"
            ? Math.max(holding.sinceMs, limit.knownSinceMs, shares.activeSinceMs(index))
            : undefined;
    };

    /** Loans that an earlier owner or run made may be spent until they expire, so the bucket starts empty after it. */
    const open = (resource: string, share: BucketShare, startMs: number): Entry => {
        const known = entries.get(resource);
        if (known && known.startMs >= startMs) {
            return known;
        }
        const bucket = options.createBucket(share, startMs + shares.settlingMs());
        const entry = { lent: createLentBucket(bucket), startMs, share };
        entries.set(resource, entry);
        return entry;
    };

    const resize = (entry: Entry, share: BucketShare): void => {
        if (entry.share.ratePerMs !== share.ratePerMs || entry.share.burst !== share.burst) {
            entry.lent.bucket.resize(share);
            entry.share = share;
        }
    };

    const find = (customer: core.CustomerId, index: number, nowMs: number): LentBucket | undefined => {
        const resource = nameOf(customer, index);
        const limit: CustomerLimit | undefined = shares.find(customer);
        const isActive = index < shares.activeBuckets(nowMs);
        const startMs = isActive ? findHeldSince(customer, index, resource) : undefined;
        if (!limit || startMs === undefined) {
            entries.delete(resource);
            return undefined;
        }
        const share = shares.shareOf(limit, nowMs);
        const entry = open(resource, share, startMs);
        entry.lent.advance(nowMs);
        resize(entry, share);
        return entry.lent;
    };

    return {
        find,
        findAll: (customer, nowMs) =>
            Array.from({ length: shares.activeBuckets(nowMs) }, (_unused, index) => index).flatMap(index => {
                const lent = find(customer, index, nowMs);
                return lent ? [{ index, lent }] : [];
            }),
    };
}
