import * as core from "@peridotloft/core";
import * as limits from "@peridotloft/limits";
import * as ownership from "@peridotloft/ownership";
import * as testing from "@peridotloft/testing";
import type { Decision } from "./limitsScore.js";
import { type Arrival, customerIdOf, type LimitsTrace } from "./limitsTrace.js";

export interface FleetRun {
    readonly decisions: readonly Decision[];
    readonly payloadBytesPerVmPerS: number;
    readonly callsPerVmPerS: number;
    /** CPU time in µs per admission, including the virtual clock and network. */
    readonly cpuUsPerRequest: number;
    readonly waitP99Ms: number;
}

/** Time in ms after which newly started buckets accrue tokens, with a margin. */
const restartWaitMs = 2_300;
const drainMs = 200;
const oneWayDelayMs = 0.5;
const maxRequestCost = 15;

/** Time in ms after which all buckets are full, as those of the reference are at the start. */
function computeWarmUpMs(trace: LimitsTrace): number {
    const fillMs = trace.fleet.customers.map(({ burstCost, rateCostPerS }) => burstCost / rateCostPerS * 1_000);
    return restartWaitMs + Math.max(...fillMs);
}

/** Runs the trace through one limiter per VM on virtual time. */
export async function runLimiterFleet(trace: LimitsTrace, seed: number): Promise<FleetRun> {
    const warmUpMs = computeWarmUpMs(trace);
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(seed);
    const network = testing.createVirtualNetwork({ clock, random, oneWayDelayMs });
    const cell = core.createSnapshotCell(trace.fleet);
    let calls = 0;
    const ids = trace.fleet.vms.map(vm => vm.id);
    const limiters = ids.map(self => {
        const attached = network.attach(self);
        const endpoint: core.PeerEndpoint = {
            ...attached,
            call(...parameters) {
                calls += 1;
                return attached.call(...parameters);
            },
        };
        const owned = ownership.createOwnership({ self, clock, document: cell });
        return limits.createRateLimiter({ self, clock, random, endpoint, ownership: owned, document: cell });
    });

    const decisions: Decision[] = [];
    const waitsMs: number[] = [];
    const serveArrival = async (arrival: Arrival, position: number): Promise<void> => {
        const customer = customerIdOf(arrival.customer);
        const limiter = limiters[arrival.vm];
        core.invariant(limiter, "each arrival enters through a VM of the fleet");
        const startMs = clock.nowMs();
        const estimate = limiter.estimateCost(customer, maxRequestCost);
        const result = await limiter.admit(customer, estimate);
        decisions[position] = { admitted: result.isOk(), atMs: clock.nowMs() - warmUpMs, estimatedCost: estimate };
        waitsMs.push(clock.nowMs() - startMs);
        result.map(charge => clock.setTimer(arrival.durationMs, () => charge.settle(arrival.cost)));
    };
    const scheduleArrival = (position: number): void => {
        const arrival = trace.arrivals[position];
        if (arrival) {
            clock.setTimer(warmUpMs + arrival.atMs - clock.nowMs(), () => {
                void serveArrival(arrival, position);
                scheduleArrival(position + 1);
            });
        }
    };

    await clock.advance(warmUpMs);
    const cpuBefore = process.cpuUsage();
    const durationMs = trace.arrivals.at(-1)?.atMs ?? 0;
    scheduleArrival(0);
    await clock.advance(durationMs + drainMs);
    const cpu = process.cpuUsage(cpuBefore);
    limiters.forEach(limiter => limiter.dispose());
    const perVmPerS = (count: number): number => count / trace.vmCount / (durationMs / 1_000);
    return {
        decisions,
        payloadBytesPerVmPerS: perVmPerS(ids.reduce((total, id) => total + network.bytesSentBy(id), 0)),
        callsPerVmPerS: perVmPerS(calls),
        cpuUsPerRequest: (cpu.user + cpu.system) / trace.arrivals.length,
        waitP99Ms: waitsMs.sort((left, right) => left - right)[Math.floor(waitsMs.length * 0.99)] ?? 0,
    };
}
