import * as testing from "@peridotloft/testing";
import type { Arrival, LimitsTrace } from "./limitsTrace.js";

/** Decision about the arrival at the same position in the trace. */
export interface Decision {
    readonly admitted: boolean;
    readonly atMs: number;
    /** Cost charged until the request ends. */
    readonly estimatedCost: number;
}

export interface Score {
    /** Share of requests that were admitted. */
    readonly admittedShare: number;
    /** Share of refused requests among the customers that a single token bucket never refuses. */
    readonly wrongfulShare: number;
    /**
     * Share of refused requests among those of these customers that a single token bucket also never refuses if it
     * charges the same estimates until the requests end.
     */
    readonly wrongfulByEstimateShare: number;
    /** Admitted cost of the other customers, relative to the cost that a single token bucket admits. */
    readonly floodRatio: number;
    /** Largest excess over rate*t + burst of any customer in any interval, relative to the burst. */
    readonly worstOvershoot: number;
    /** Largest such excess minus the settlement error that the limiter's bound allows; a positive value is a violation. */
    readonly worstViolation: number;
}

interface DecidedArrival {
    readonly arrival: Arrival;
    readonly decision: Decision;
}

/** Time in ms within which a debt is reported to the owner: a loan lifetime of 2 s, a check period and one call. */
const debtReportMs = 2_300;

/** Largest sum of |actual - estimate| over requests in flight or with a debt that is not yet reported to the owner. */
function computeMaxSettlementError(decided: readonly DecidedArrival[]): number {
    const changes = decided.filter(({ decision }) => decision.admitted).flatMap(({ arrival, decision }) => {
        const error = Math.abs(arrival.cost - decision.estimatedCost);
        const endMs = decision.atMs + arrival.durationMs + debtReportMs;
        return [{ atMs: decision.atMs, change: error }, { atMs: endMs, change: -error }];
    }).sort((left, right) => left.atMs - right.atMs);
    let error = 0;
    return Math.max(0, ...changes.map(({ change }) => error += change));
}

/** Whether a single token bucket that learns costs only when requests end would refuse any of the arrivals. */
function wouldRefuseByEstimate(decided: readonly DecidedArrival[], ratePerMs: number, burst: number): boolean {
    const events = decided.flatMap(({ arrival, decision }) => [
        { atMs: arrival.atMs, charge: decision.estimatedCost, isArrival: true },
        { atMs: arrival.atMs + arrival.durationMs, charge: arrival.cost - decision.estimatedCost, isArrival: false },
    ]).sort((left, right) => left.atMs - right.atMs);
    let tokens = burst;
    let lastMs = 0;
    return events.some(({ atMs, charge, isArrival }) => {
        const accrued = Math.min(burst, tokens + (atMs - lastMs) * ratePerMs);
        lastMs = atMs;
        tokens = Math.min(burst, accrued - charge);
        return isArrival && charge > accrued;
    });
}

/** Scores decisions against one token bucket per customer that receives all arrivals. */
export function scoreDecisions(trace: LimitsTrace, decisions: readonly Decision[]): Score {
    const perCustomer = trace.fleet.customers.map((customer, index) => {
        const ratePerMs = customer.rateCostPerS / 1_000;
        const reference = testing.createReferenceBucket(ratePerMs, customer.burstCost);
        const decided = trace.arrivals.flatMap((arrival, position) => {
            const decision = decisions[position];
            return arrival.customer === index && decision
                ? [{ arrival, decision, expected: reference(arrival) }]
                : [];
        });
        const costOf = (list: typeof decided): number => list.reduce((total, { arrival }) => total + arrival.cost, 0);
        const admitted = decided.filter(({ decision }) => decision.admitted);
        const traced = admitted
            .map(({ arrival, decision }) => ({ atMs: decision.atMs, cost: arrival.cost }))
            .sort((left, right) => left.atMs - right.atMs);
        const excess = testing.findWorstExcess(traced, ratePerMs, customer.burstCost);
        return {
            offered: decided.length,
            admitted: admitted.length,
            isWithinByEstimate: !wouldRefuseByEstimate(decided, ratePerMs, customer.burstCost),
            isWithinRate: decided.every(({ expected }) => expected),
            admittedCost: costOf(admitted),
            referenceCost: costOf(decided.filter(({ expected }) => expected)),
            overshoot: excess / customer.burstCost,
            // Counted twice: for requests in flight at the start of the interval, and for those at its end.
            violation: (excess - 2 * computeMaxSettlementError(decided)) / customer.burstCost,
        };
    });
    const total = (list: typeof perCustomer, valueOf: (entry: (typeof perCustomer)[number]) => number): number =>
        list.reduce((sum, entry) => sum + valueOf(entry), 0);
    const within = perCustomer.filter(({ isWithinRate }) => isWithinRate);
    const withinByEstimate = within.filter(({ isWithinByEstimate }) => isWithinByEstimate);
    const refusedShare = (list: typeof perCustomer): number =>
        total(list, entry => entry.offered - entry.admitted) / total(list, entry => entry.offered);
    const flooding = perCustomer.filter(({ isWithinRate }) => !isWithinRate);
    return {
        admittedShare: total(perCustomer, entry => entry.admitted) / total(perCustomer, entry => entry.offered),
        wrongfulShare: refusedShare(within),
        wrongfulByEstimateShare: refusedShare(withinByEstimate),
        floodRatio: total(flooding, entry => entry.admittedCost) / total(flooding, entry => entry.referenceCost),
        worstOvershoot: Math.max(...perCustomer.map(({ overshoot }) => overshoot)),
        worstViolation: Math.max(...perCustomer.map(({ violation }) => violation)),
    };
}
