import * as assert from "node:assert/strict";
import type * as scheduling from "../../src/index.js";
import { createFleet, type Fleet } from "./Fleet.js";
import { coldExcess } from "./Measures.js";

export const slots = 4;
const vms = [0, 1, 2, 3, 4, 5];
const deadlineMs = 3_000;
const faultDurationMs = 4_000;
const untilMs = 20_000;

/** Injects a fault into one VM or engine; returns a function that ends it. */
type Fault = (fleet: Fleet, target: number) => () => void;

const faults: Record<string, Fault> = {
    "crash and restart without state": (fleet, vm) => {
        fleet.kill(vm);
        return () => {
            fleet.start(vm);
            keepBusy(fleet, vm);
        };
    },
    "partition and heal": (fleet, vm) => {
        fleet.network.isolate([fleet.idOf(vm)]);
        return fleet.network.heal;
    },
    "one-way partition": (fleet, vm) => {
        vms.filter(other => other !== vm).forEach(other =>
            fleet.network.partitionOneWay(fleet.idOf(vm), fleet.idOf(other))
        );
        return fleet.network.heal;
    },
    "pause and resume": (fleet, vm) => {
        fleet.pause(vm);
        return () => fleet.resume(vm);
    },
    "cold start without an error": (fleet, target) => {
        [...fleet.engines.values()][target % fleet.engines.size]?.coldStart(6);
        return () => undefined;
    },
    "flood": (fleet, vm) => {
        fleet.keepBusy(vm, "b", 200, fleet.clock.nowMs() + 2_000, randomWork(fleet));
        return () => undefined;
    },
};

const randomWork = (fleet: Fleet) => () => ({ workMs: 100 + fleet.random() * 300, cost: 100 });

const keepBusy = (fleet: Fleet, vm: number): void =>
    ["a", "b"].forEach(customer => fleet.keepBusy(vm, customer, 8, untilMs, randomWork(fleet)));

export interface Findings {
    readonly largestInFlight: number;
    readonly coldExcess: number;
    readonly utilisation: number;
    readonly unanswered: number;
    readonly leaked: number;
}

/** Injects the faults 700 ms apart, ends all of them after 4 s and observes the fleet until no request is in flight. */
export async function runFaults(
    seed: number,
    names: readonly string[],
    policy: Partial<scheduling.SchedulingPolicy> = {},
) {
    const fleet = createFleet({ seed, policy, slots, engines: 4, deadlineMs });
    vms.forEach(vm => keepBusy(fleet, vm));
    await fleet.clock.advance(5_000);
    const stopFaults: (() => void)[] = [];
    for (const [index, name] of names.entries()) {
        stopFaults.push(faults[name]!(fleet, 1 + 2 * index));
        await fleet.clock.advance(700);
    }
    await fleet.clock.advance(faultDurationMs - 700 * names.length);
    stopFaults.forEach(stop => stop());
    const measureFromMs = 15_000;
    const healedMs = 5_000 + faultDurationMs;
    await fleet.clock.advance(measureFromMs - fleet.clock.nowMs());
    const busyMs = fleet.busyMs();
    await fleet.clock.advance(untilMs - measureFromMs);
    const utilisation = (fleet.busyMs() - busyMs) / (untilMs - measureFromMs) / (slots * fleet.engines.size);
    await fleet.clock.advance(deadlineMs + 4_000);
    const engines = [...fleet.engines.values()];
    const findings: Findings = {
        largestInFlight: Math.max(...engines.map(({ maxInFlight }) => maxInFlight)),
        coldExcess: [...fleet.engines.keys()]
            .filter(id => fleet.engines.get(id)!.coldSpans.length > 1)
            .reduce((sum, id) => sum + coldExcess(fleet, id, 1, healedMs), 0),
        utilisation,
        unanswered:
            fleet.traces.filter(trace =>
                !trace.refusal && trace.startedMs === undefined && trace.submittedMs > healedMs
            ).length,
        leaked: vms.flatMap(vm => fleet.scheduler(vm).status().upstreams)
            .reduce((sum, { ownedSlotsInUse }) => sum + ownedSlotsInUse, 0),
    };
    fleet.dispose();
    return findings;
}

/** Checks that the effects of the faults stay within the limits of `docs/design.md`. */
export function assertNoViolation(findings: Findings): void {
    const { utilisation, ...counts } = findings;
    assert.deepEqual(counts, { largestInFlight: slots, coldExcess: 0, unanswered: 0, leaked: 0 });
    assert.ok(utilisation >= 0.95, `utilisation after the fault was ${utilisation}`);
}

export const faultNames = Object.keys(faults);
