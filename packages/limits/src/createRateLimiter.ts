import * as core from "@peridotloft/core";
import type * as document from "@peridotloft/document";
import type * as ownership from "@peridotloft/ownership";
import { err, type Result } from "neverthrow";
import { decodeRequest, encodeReply } from "./BorrowMessages.js";
import { createCostEstimate } from "./CostEstimate.js";
import { createCustomerBudget, type CustomerBudget } from "./CustomerBudget.js";
import { createDemandEstimate } from "./DemandEstimate.js";
import * as constants from "./LimitsConstants.js";
import { bucketResource, sum } from "./LimitsUtils.js";
import { createOwnBuckets } from "./OwnBuckets.js";
import { createOwnerLink, type LoanTiming, type OwnerLink } from "./OwnerLink.js";
import type { RateLimiter, RateRefusal } from "./RateLimiter.js";
import { createShareTable } from "./ShareTable.js";
import { type BucketShare, createTokenBucket, type TokenBucket } from "./TokenBucket.js";
import { createTokenLender } from "./TokenLender.js";

export interface RateLimiterOptions {
    readonly self: core.VmId;
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly endpoint: core.PeerEndpoint;
    readonly ownership: ownership.Ownership;
    /** The active document of this VM. */
    readonly document: core.SnapshotCell<document.FleetDocument>;
    /** Creates the buckets that this VM owns; by default {@link createTokenBucket}. */
    readonly createBucket?: (share: BucketShare, accrueFromMs: number) => TokenBucket;
    /** Time in ms on the borrower's clock from which a loan can no longer be spent; by default {@link expireFromSending}. */
    readonly loanExpiryMs?: (timing: LoanTiming) => number;
}

/** Starts a loan's lifetime when its request was sent, so that it expires at the borrower before the lender writes it off. */
export function expireFromSending({ sentAtMs, lifetimeMs }: LoanTiming): number {
    return sentAtMs + lifetimeMs;
}

const incarnationBits = 52;

/**
 * Creates this VM's part of the fleet's rate limiter (design page, section 4.2).
 *
 * Over every interval of length t, the settled cost of a customer's admitted requests, summed over all VMs, is at most
 * rate·t + burst + E. E is the sum of |actual − estimate| over requests that were in flight, or whose settlement the
 * owner had not received, at some moment of the interval. A debt is sent after one loan lifetime and an eighth at the
 * latest, or sooner when it exceeds a quarter of the bucket's burst, and takes one call to a reachable owner. While VMs
 * use different documents, the larger rate and burst count. A restarted owner does not know the earlier debt of its bucket;
 * E includes what would remain of that debt after one loan lifetime.
 */
export function createRateLimiter(options: RateLimiterOptions): RateLimiter {
    const { self, clock, random, endpoint, ownership } = options;
    const incarnation = BigInt(Math.floor(random() * 2 ** incarnationBits));
    const budgets = new Map<core.CustomerId, CustomerBudget>();
    const activeCustomers = new Set<core.CustomerId>();
    const links = new Map<core.VmId, OwnerLink>();
    const shares = createShareTable({ clock, document: options.document, ownership });
    const buckets = createOwnBuckets({ ownership, shares, createBucket: options.createBucket ?? createTokenBucket });
    const lender = createTokenLender({
        buckets,
        ownDemandPerMs: (customer, nowMs) => budgets.get(customer)?.demandPerMs(nowMs) ?? 0,
        loanLifetimeMs: shares.loanLifetimeMs,
    });

    const linkOf = (owner: core.VmId): OwnerLink => {
        const link = links.get(owner) ?? createOwnerLink({
            owner,
            clock,
            transport: endpoint,
            incarnation,
            loanExpiryMs: options.loanExpiryMs ?? expireFromSending,
            onReply: customer => budgets.get(customer)?.admitWaiting(),
        });
        links.set(owner, link);
        return link;
    };

    const budgetOf = (customer: core.CustomerId): CustomerBudget => {
        const budget = budgets.get(customer) ?? createCustomerBudget({
            customer,
            clock,
            random,
            shares,
            buckets,
            demand: createDemandEstimate(constants.demandTimeConstantMs),
            costEstimate: createCostEstimate(),
            findLink(index) {
                const owner = ownership.ownerOf(bucketResource(customer, index));
                return owner === self ? undefined : linkOf(owner);
            },
            onActive: () => void activeCustomers.add(customer),
        });
        budgets.set(customer, budget);
        return budget;
    };

    const handleBorrowRequest = async (from: core.VmId, payload: Uint8Array): Promise<Result<Uint8Array, string>> =>
        decodeRequest(payload).andThen(request =>
            lender.handle(from, request, clock.nowMs()).map(grants =>
                encodeReply({
                    sequence: request.sequence,
                    lifetimeMs: shares.loanLifetimeMs(),
                    grants: grants.map(grant => ({ ...grant })),
                })
            )
        );

    const sendDueReports = (): void => {
        const nowMs = clock.nowMs();
        [...activeCustomers]
            .filter(customer => !budgets.get(customer)?.sendDueReports(shares.findLimit(customer), nowMs))
            .forEach(customer => activeCustomers.delete(customer));
    };

    const dropRemovedCustomers = (): void => {
        [...budgets.keys()].filter(customer => !shares.findLimit(customer)).forEach(customer =>
            budgets.delete(customer)
        );
    };

    // The share table subscribed first, so it has already adopted the new document.
    const subscription = options.document.changes.subscribe(dropRemovedCustomers);
    const unregister = endpoint.registerSlice(constants.sliceName, handleBorrowRequest);
    const stopReporting = core.setRepeatingTimer(clock, shares.loanLifetimeMs() * constants.checkRatio, sendDueReports);

    return {
        async admit(customer, estimatedCost) {
            core.invariant(estimatedCost >= 0, `the estimated cost ${estimatedCost} is not negative`);
            const limit = shares.findLimit(customer);
            return limit
                ? budgetOf(customer).admit(limit, estimatedCost)
                : err<never, RateRefusal>({ kind: "unknown-customer", retryAfterMs: 0 });
        },
        estimateCost: (customer, maxCost) => Math.min(budgets.get(customer)?.meanCost() ?? maxCost, maxCost),
        status() {
            const nowMs = clock.nowMs();
            const customers = options.document.read().customers.map(({ id }) => {
                const own = buckets.findAll(id, nowMs).map(({ lending }) => lending.bucket);
                const budget = budgets.get(id);
                return {
                    customer: id,
                    availableCost: budget?.availableCost(nowMs) ?? sum(own.map(bucket => Math.max(0, bucket.tokens()))),
                    lentCost: sum(own.map(bucket => bucket.outstanding())),
                    admitted: budget?.admitted() ?? 0,
                    refused: budget?.refused() ?? 0,
                };
            });
            return { customers };
        },
        dispose() {
            stopReporting();
            unregister();
            subscription.unsubscribe();
            shares.dispose();
        },
    };
}
