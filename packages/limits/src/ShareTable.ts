import type * as core from "@peridotloft/core";
import type * as document from "@peridotloft/document";
import type * as ownership from "@peridotloft/ownership";
import * as constants from "./LimitsConstants.js";
import type { BucketShare } from "./TokenBucket.js";

/** What the document in force allows one customer. */
export interface CustomerLimit {
    readonly ratePerMs: number;
    readonly burst: number;
    /** Time in ms since which this process has known the customer. */
    readonly knownSinceMs: number;
}

/** Customers' limits and their division over buckets. */
export interface ShareTable {
    find(customer: core.CustomerId): CustomerLimit | undefined;
    /** Number of buckets that may act; bucket indices start at 0. */
    activeBuckets(nowMs: number): number;
    shareOf(limit: CustomerLimit, nowMs: number): BucketShare;
    /** Time in ms since which buckets with this index may act. */
    activeSinceMs(index: number): number;
    /** Time in ms for which loans of a previous run or owner may still be spent. */
    settlingMs(): number;
    loanLifetimeMs(): number;
    dispose(): void;
}

/** A change of the bucket count that some VM may not have adopted yet. */
interface Transition {
    readonly fewest: number;
    readonly most: number;
    readonly version: number;
    /** Time in ms at which every VM had confirmed the version. */
    readonly confirmedMs: number | undefined;
}

/** Buckets with an index below `count`, and not below that of the entry before, act since `sinceMs`. */
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
 * Follows the document.
 *
 * When `bucketsPerCustomer` changes, VMs on different versions divide by different counts, and their shares would add
 * up to more than the rate. So until every VM has confirmed the new version and old loans have expired, only the
 * buckets of the smaller count act, with shares of the larger count. A process that starts during the change does not
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

    const settlingMs = (): number => fleet.fleet.loanLifetimeMs + constants.loanMarginMs;

    const noteBucketCount = (before: number, after: number, version: number): void => {
        if (before !== after) {
            transition = {
                fewest: Math.min(before, after, transition?.fewest ?? after),
                most: Math.max(before, after, transition?.most ?? after),
                version,
                confirmedMs: undefined,
            };
        }
    };

    const activeSinceMs = (index: number): number =>
        activeSince.find(({ count }) => index < count)?.sinceMs ?? Number.POSITIVE_INFINITY;

    const noteActive = (count: number, nowMs: number): void => {
        const sinceMs = Math.min(activeSinceMs(count - 1), nowMs);
        activeSince = [...activeSince.filter(known => known.count < count), { count, sinceMs }];
    };

    const adopt = (next: document.FleetDocument): void => {
        const nowMs = clock.nowMs();
        noteBucketCount(fleet.fleet.bucketsPerCustomer, next.fleet.bucketsPerCustomer, next.version);
        fleet = next;
        limits = new Map(next.customers.map(({ id, rateCostPerS, burstCost }) => [id, {
            ratePerMs: rateCostPerS / 1_000,
            burst: burstCost,
            knownSinceMs: limits.get(id)?.knownSinceMs ?? nowMs,
        }]));
        if (transition) {
            noteActive(transition.fewest, nowMs);
        }
    };

    const pendingTransition = (nowMs: number): Transition | undefined => {
        if (!transition) {
            return undefined;
        }
        if (transition.confirmedMs === undefined && ownership.isConfirmedByAll(transition.version)) {
            transition = { ...transition, confirmedMs: nowMs };
        }
        if (transition.confirmedMs !== undefined && nowMs >= transition.confirmedMs + settlingMs()) {
            transition = undefined;
            noteActive(fleet.fleet.bucketsPerCustomer, nowMs);
        }
        return transition;
    };

    const subscription = options.document.changes.subscribe(adopt);
    return {
        find: customer => limits.get(customer),
        activeBuckets: nowMs => pendingTransition(nowMs)?.fewest ?? fleet.fleet.bucketsPerCustomer,
        shareOf(limit, nowMs) {
            const divisor = pendingTransition(nowMs)?.most ?? fleet.fleet.bucketsPerCustomer;
            return { ratePerMs: limit.ratePerMs / divisor, burst: limit.burst / divisor };
        },
        activeSinceMs,
        settlingMs,
        loanLifetimeMs: () => fleet.fleet.loanLifetimeMs,
        dispose: () => subscription.unsubscribe(),
    };
}
