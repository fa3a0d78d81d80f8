import type * as core from "@peridotloft/core";
import type * as document from "@peridotloft/document";
import type * as ownership from "@peridotloft/ownership";
import * as constants from "./LimitsConstants.js";
import type { BucketShare } from "./TokenBucket.js";

/** Rate and burst of one customer according to the active document. */
export interface CustomerLimit {
    readonly ratePerMs: number;
    readonly burst: number;
    /** Time in ms since which the documents that this process adopted contain the customer. */
    readonly knownSinceMs: number;
}

/** Limits of the customers, and the share of each bucket in them. */
export interface ShareTable {
    findLimit(customer: core.CustomerId): CustomerLimit | undefined;
    /** Number of a customer's buckets that may admit and lend; bucket indices start at 0. */
    activeBucketCount(nowMs: number): number;
    shareOf(limit: CustomerLimit, nowMs: number): BucketShare;
    /** Time in ms since which buckets with this index may admit and lend. */
    activeSinceMs(index: number): number;
    /** Longest time in ms for which loans of an earlier run, owner or document may still be spent. */
    earlierLoansMs(): number;
    loanLifetimeMs(): number;
    dispose(): void;
}

/** A change of the bucket count that some VM may not have adopted yet. */
interface Transition {
    readonly smallestCount: number;
    readonly largestCount: number;
    readonly version: number;
    /** Time in ms at which every VM had confirmed the version. */
    readonly confirmedMs: number | undefined;
}

/** Buckets with an index below `count`, and not below that of the entry before, have been active since `sinceMs`. */
interface ActiveCount {
    readonly count: number;
    readonly sinceMs: number;
}

export interface ShareTableOptions {
    readonly clock: core.Clock;
    readonly document: core.SnapshotCell<document.FleetDocument>;
    readonly ownership: ownership.Ownership;
}

/**
 * Creates the table, which follows changes of the document.
 *
 * When `bucketsPerCustomer` changes, VMs on different versions divide by different counts, and their shares would add
 * up to more than the rate. So until every VM has confirmed the new version and old loans have expired, only the
 * buckets of the smaller count are active, with shares of the larger count. A process that starts during the change does not
 * know the old count and starts with the new one.
 */
export function createShareTable(options: ShareTableOptions): ShareTable {
    const { clock, ownership } = options;
    let fleet = options.document.read();
    let limits = new Map<core.CustomerId, CustomerLimit>();
    let transition: Transition | undefined;
    let activeSince: readonly ActiveCount[] = [
        { count: fleet.fleet.bucketsPerCustomer, sinceMs: clock.nowMs() },
    ];

    const earlierLoansMs = (): number => fleet.fleet.loanLifetimeMs + constants.loanMarginMs;

    const recordCountChange = (before: number, after: number, version: number): void => {
        if (before !== after) {
            transition = {
                smallestCount: Math.min(before, after, transition?.smallestCount ?? after),
                largestCount: Math.max(before, after, transition?.largestCount ?? after),
                version,
                confirmedMs: undefined,
            };
        }
    };

    const activeSinceMs = (index: number): number =>
        activeSince.find(({ count }) => index < count)?.sinceMs ?? Number.POSITIVE_INFINITY;

    const recordActiveCount = (count: number, nowMs: number): void => {
        const sinceMs = Math.min(activeSinceMs(count - 1), nowMs);
        activeSince = [...activeSince.filter(earlier => earlier.count < count), { count, sinceMs }];
    };

    const adoptDocument = (next: document.FleetDocument): void => {
        const nowMs = clock.nowMs();
        recordCountChange(fleet.fleet.bucketsPerCustomer, next.fleet.bucketsPerCustomer, next.version);
        fleet = next;
        limits = new Map(next.customers.map(({ id, rateCostPerS, burstCost }) => [id, {
            ratePerMs: rateCostPerS / 1_000,
            burst: burstCost,
            knownSinceMs: limits.get(id)?.knownSinceMs ?? nowMs,
        }]));
        if (transition) {
            recordActiveCount(transition.smallestCount, nowMs);
        }
    };

    const pendingTransition = (nowMs: number): Transition | undefined => {
        if (!transition) {
            return undefined;
        }
        if (transition.confirmedMs === undefined && ownership.isConfirmedByAll(transition.version)) {
            transition = { ...transition, confirmedMs: nowMs };
        }
        if (transition.confirmedMs !== undefined && nowMs >= transition.confirmedMs + earlierLoansMs()) {
            transition = undefined;
            recordActiveCount(fleet.fleet.bucketsPerCustomer, nowMs);
        }
        return transition;
    };

    const subscription = options.document.changes.subscribe(adoptDocument);
    return {
        findLimit: customer => limits.get(customer),
        activeBucketCount: nowMs => pendingTransition(nowMs)?.smallestCount ?? fleet.fleet.bucketsPerCustomer,
        shareOf(limit, nowMs) {
            const divisor = pendingTransition(nowMs)?.largestCount ?? fleet.fleet.bucketsPerCustomer;
            return { ratePerMs: limit.ratePerMs / divisor, burst: limit.burst / divisor };
        },
        activeSinceMs,
        earlierLoansMs,
        loanLifetimeMs: () => fleet.fleet.loanLifetimeMs,
        dispose: () => subscription.unsubscribe(),
    };
}
