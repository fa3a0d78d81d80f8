import * as core from "@peridotloft/core";
import { type UsageAmount, usageTimeConstantMs } from "@peridotloft/fleet";
import { fairShareOf, fairShareWeight, pressureOf } from "./FairShare.js";
import { createDecayingSum, type DecayingSum } from "./LoadModel.js";

/** Recent engine usage of each customer, over the whole fleet as far as it is known to this VM. */
export interface CustomerUsage {
    /** Records usage by a request of this VM. */
    record(customerHash: number, cost: number, nowMs: number): void;
    /** Records the cost of a request of this VM that was refused for want of capacity. */
    recordRefused(customerHash: number, cost: number, nowMs: number): void;
    /** Records usage by requests of other VMs. */
    recordAnnounced(customerHash: number, cost: number, nowMs: number): void;
    /** Usage by requests of this VM. */
    own(nowMs: number): readonly UsageAmount[];
    /** Usage of a customer in tokens; a token counts less the longer ago it was used. */
    tokens(customerHash: number, nowMs: number): number;
    /** Usage of a customer relative to that of the heaviest customer, 0 to 1. */
    relative(customerHash: number, nowMs: number): number;
    /**
     * How much a customer is to be held back under load, 0 to 1: by its usage relative to its fair share, or to that of the heaviest
     * customer if what the fleet refuses is not known.
     */
    pressure(customerHash: number, nowMs: number): number;
    /** Whether there are several customers with usage that is not negligible, and one has used more than their mean. */
    isAboveMean(customerHash: number, nowMs: number): boolean;
}

/** Usage relative to that of the heaviest customer below which a customer does not count in the mean. */
const negligibleShare = 0.01;
/** Usage in tokens below which a customer's entry is evicted. */
const negligibleTokens = 1;

/** @param fleetTotals returns sums over the whole fleet; undefined if only announcements tell of other VMs. */
export function createCustomerUsage(
    fleetTotals: () => ReadonlyMap<number, UsageAmount> | undefined = () => undefined,
): CustomerUsage {
    const ownSums = new Map<number, DecayingSum>();
    const announcedSums = new Map<number, DecayingSum>();
    const refusedSums = new Map<number, DecayingSum>();
    let summary = { largest: 0, mean: 0, count: 0, fairShare: 0, fairShareWeight: 0 };
    let summarizedMs = Number.NEGATIVE_INFINITY;

    const valueOf = (sums: ReadonlyMap<number, DecayingSum>, customerHash: number, nowMs: number): number =>
        sums.get(customerHash)?.value(nowMs) ?? 0;
    // The sums of the fleet lag behind, so what this VM used itself may be more.
    const usageOf = (customerHash: number, nowMs: number): number =>
        Math.max(
            valueOf(ownSums, customerHash, nowMs) + valueOf(announcedSums, customerHash, nowMs),
            fleetTotals()?.get(customerHash)?.begunTokens ?? 0,
        );

    // The usage of all customers changes slowly compared with the request rate, so its summary is cached for a short time.
    const summarize = (nowMs: number): typeof summary => {
        if (nowMs - summarizedMs < summaryRefreshMs) {
            return summary;
        }
        summarizedMs = nowMs;
        [ownSums, announcedSums, refusedSums].forEach(sums => evictNegligible(sums, nowMs));
        const hashes = new Set([...ownSums.keys(), ...announcedSums.keys(), ...fleetTotals()?.keys() ?? []]);
        const values = [...hashes].map(customerHash => usageOf(customerHash, nowMs));
        const largest = values.reduce((highest, value) => Math.max(highest, value), 0);
        const counted = values.filter(value => value >= largest * negligibleShare);
        const total = counted.reduce((sum, value) => sum + value, 0);
        const demands = [...fleetTotals()?.values() ?? []];
        summary = {
            largest,
            mean: total / Math.max(1, counted.length),
            count: counted.length,
            fairShare: fairShareOf(demands),
            fairShareWeight: fairShareWeight(demands),
        };
        return summary;
    };

    function relative(customerHash: number, nowMs: number): number {
        const { largest } = summarize(nowMs);
        return largest <= 0 ? 0 : Math.min(1, usageOf(customerHash, nowMs) / largest);
    }

    /** Usage by requests of this VM. */
    function own(nowMs: number): readonly UsageAmount[] {
        return [...new Set([...ownSums.keys(), ...refusedSums.keys()])].map(customerHash => ({
            customerHash,
            begunTokens: valueOf(ownSums, customerHash, nowMs),
            refusedTokens: valueOf(refusedSums, customerHash, nowMs),
        }));
    }

    return {
        record: (customerHash, cost, nowMs) => addTo(ownSums, customerHash, cost, nowMs),
        recordRefused: (customerHash, cost, nowMs) => addTo(refusedSums, customerHash, cost, nowMs),
        recordAnnounced: (customerHash, cost, nowMs) => addTo(announcedSums, customerHash, cost, nowMs),
        own,
        tokens: usageOf,
        relative,
        pressure(customerHash, nowMs) {
            const { fairShare, fairShareWeight: weight } = summarize(nowMs);
            return weight === 0
                ? relative(customerHash, nowMs)
                : weight * pressureOf(usageOf(customerHash, nowMs) / fairShare)
                    + (1 - weight) * relative(customerHash, nowMs);
        },
        isAboveMean(customerHash, nowMs) {
            const { mean, count } = summarize(nowMs);
            return count > 1 && usageOf(customerHash, nowMs) > mean;
        },
    };
}

function addTo(sums: Map<number, DecayingSum>, customerHash: number, cost: number, nowMs: number): void {
    const sum = sums.get(customerHash) ?? createDecayingSum(usageTimeConstantMs);
    sums.set(customerHash, sum);
    sum.add(cost, nowMs);
}

function evictNegligible(sums: Map<number, DecayingSum>, nowMs: number): void {
    [...sums].filter(([, sum]) => sum.value(nowMs) < negligibleTokens).forEach(([hash]) => sums.delete(hash));
}

/** Time in ms for which the summary is cached. */
const summaryRefreshMs = 50;

/** Hash under which VMs announce the usage of a customer; 0 on open routes. */
export function customerHashOf(customer: core.CustomerId | undefined): number {
    return customer === undefined ? 0 : core.hash32(customer);
}
