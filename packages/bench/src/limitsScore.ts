import * as testing from "@peridotloft/testing";
import type { Arrival, LimitsTrace } from "./limitsTrace.js";

/** What became of one arrival; the position is that in the trace. */
export interface Decision {
    readonly admitted: boolean;
    readonly atMs: number;
    /** Cost that was charged until the request ended. */
    readonly estimatedCost: number;
}

export interface Score {
    /** Admitted requests as a share of all. */
    readonly admittedShare: number;
    /** Refused share of the requests of customers that a single token bucket would never refuse. */
    readonly wrongfulShare: number;
    /** The same against a single bucket that charges the same estimates until the requests end. */
    readonly wrongfulByEstimateShare: number;
    /** Admitted cost of the other customers, as a share of what a single token bucket admits. */
    readonly floodRatio: number;
    /** Largest excess over rate*t + burst of any customer and interval, as a share of the burst. */
    readonly worstOvershoot: number;
    /** The same less the settlement error that the limiter's bound allows; positive would be a violation. */
    readonly worstViolation: number;
}

interface JudgedArrival {
    readonly arrival: Arrival;
    readonly decision: Decision;
}

/** Time in ms in which a debt reaches the owner: a loan lifetime of 2 s, a check period and one call. */
const debtReportMs = 2_300;

/** Largest sum of |actual - estimate| over requests in flight, or whose debt the owner does not know yet. */
function findWorstError(judged: readonly JudgedArrival[]): number {
    const changes = judged.filter(({ decision }) => decision.admitted).flatMap(({ arrival, decision }) => {
        const error = Math.abs(arrival.cost - decision.estimatedCost);
        const endMs = decision.atMs + arrival.durationMs + debtReportMs;
        return [{ atMs: decision.atMs, change: error }, { atMs: endMs, change: -error }];
    }).sort((left, right) => left.atMs - right.atMs);
    let error = 0;
    return Math.max(0, ...changes.map(({ change }) => error += change));
}

/** Whether a single token bucket that knows costs only when requests end would refuse any of the arrivals. */
function refusesByEstimate(judged: readonly JudgedArrival[], ratePerMs: number, burst: number): boolean {
    const events = judged.flatMap(({ arrival, decision }) => [
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

/** Judges decisions against one token bucket per customer that sees all arrivals. */
export function scoreDecisions(trace: LimitsTrace, decisions: readonly Decision[]): Score {
    const perCustomer = trace.fleet.customers.map((customer, index) => {
        const ratePerMs = customer.rateCostPerS / 1_000;
        const reference = testing.createReferenceBucket(ratePerMs, customer.burstCost);
        const judged = trace.arrivals.flatMap((arrival, position) => {
            const decision = decisions[position];
            return arrival.customer === index && decision
                ? [{ arrival, decision, expected: reference(arrival) }]
                : [];
        });
        const costOf = (list: typeof judged): number => list.reduce((total, { arrival }) => total + arrival.cost, 0);
        const admitted = judged.filter(({ decision }) => decision.admitted);
        const traced = admitted
            .map(({ arrival, decision }) => ({ atMs: decision.atMs, cost: arrival.cost }))
            .sort((left, right) => left.atMs - right.atMs);
        const excess = testing.findWorstExcess(traced, ratePerMs, customer.burstCost);
        return {
            offered: judged.length,
            admitted: admitted.length,
            isWithinByEstimate: !refusesByEstimate(judged, ratePerMs, customer.burstCost),
            isWithinRate: judged.every(({ expected }) => expected),
            admittedCost: costOf(admitted),
            referenceCost: costOf(judged.filter(({ expected }) => expected)),
            overshoot: excess / customer.burstCost,
            // Once for requests in flight when the interval begins, once for those when it ends.
            violation: (excess - 2 * findWorstError(judged)) / customer.burstCost,
        };
    });
    const total = (list: typeof perCustomer, of: (entry: (typeof perCustomer)[number]) => number): number =>
        list.reduce((sum, entry) => sum + of(entry), 0);
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
