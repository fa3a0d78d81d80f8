import * as assert from "node:assert/strict";
import type * as scheduling from "../../src/index.js";
import { createFleet, type Fleet } from "./Fleet.js";
import { coldExcess } from "./Measures.js";

export const slots = 4;
const vms = [0, 1, 2, 3, 4, 5];
const deadlineMs = 3_000;
const faultMs = 4_000;
const untilMs = 20_000;

/** Begins a fault on one VM or engine; returns what ends it. */
type Fault = (fleet: Fleet, target: number) => () => void;

const faults: Record<string, Fault> = {
    "kill and restart empty": (fleet, vm) => {
        fleet.kill(vm);
        return () => {
            fleet.start(vm);
            keepBusy(fleet, vm);
        };
    },
    "cut and rejoin": (fleet, vm) => {
        fleet.network.isolate([fleet.idOf(vm)]);
        return fleet.network.heal;
    },
    "one-way cut": (fleet, vm) => {
        vms.filter(other => other !== vm).forEach(other => fleet.network.cut(fleet.idOf(vm), fleet.idOf(other)));
        return fleet.network.heal;
    },
    "pause and late wake": (fleet, vm) => {
        fleet.pause(vm);
        return () => fleet.resume(vm);
    },
    "silent cold start": (fleet, target) => {
        [...fleet.engines.values()][target % fleet.engines.size]?.coldStart(6);
        return () => undefined;
    },
    "flood": (fleet, vm) => {
        fleet.keepBusy(vm, "b", 200, fleet.clock.nowMs() + 2_000, work(fleet));
        return () => undefined;
    },
};

const work = (fleet: Fleet) => () => ({ workMs: 100 + fleet.random() * 300, cost: 100 });

const keepBusy = (fleet: Fleet, vm: number): void =>
    ["a", "b"].forEach(customer => fleet.keepBusy(vm, customer, 8, untilMs, work(fleet)));

export interface Findings {
    readonly largestInFlight: number;
    readonly coldExcess: number;
    readonly utilisation: number;
    readonly unsettled: number;
    readonly leaked: number;
}

/** Begins the faults 700 ms apart, ends all of them after 4 s and looks at the fleet until it has come to rest. */
export async function runFaults(
    seed: number,
    names: readonly string[],
    policy: Partial<scheduling.SchedulingPolicy> = {},
) {
    const fleet = createFleet({ seed, policy, slots, engines: 4, deadlineMs });
    vms.forEach(vm => keepBusy(fleet, vm));
    await fleet.clock.advance(5_000);
    const ends: (() => void)[] = [];
    for (const [index, name] of names.entries()) {
        ends.push(faults[name]!(fleet, 1 + 2 * index));
        await fleet.clock.advance(700);
    }
    await fleet.clock.advance(faultMs - 700 * names.length);
    ends.forEach(end => end());
    const fromMs = 15_000;
    const connectedMs = 5_000 + faultMs;
    await fleet.clock.advance(fromMs - fleet.clock.nowMs());
    const busyMs = fleet.busyMs();
    await fleet.clock.advance(untilMs - fromMs);
    const utilisation = (fleet.busyMs() - busyMs) / (untilMs - fromMs) / (slots * fleet.engines.size);
    await fleet.clock.advance(deadlineMs + 4_000);
    const engines = [...fleet.engines.values()];
    const findings: Findings = {
        largestInFlight: Math.max(...engines.map(({ maxInFlight }) => maxInFlight)),
        coldExcess: [...fleet.engines.keys()]
            .filter(id => fleet.engines.get(id)!.coldSpans.length > 1)
            .reduce((sum, id) => sum + coldExcess(fleet, id, 1, connectedMs), 0),
        utilisation,
        unsettled:
            fleet.traces.filter(trace => !trace.refusal && trace.startedMs === undefined && trace.askedMs > connectedMs)
                .length,
        leaked: vms.flatMap(vm => fleet.scheduler(vm).status().upstreams)
            .reduce((sum, { ownedSlotsInUse }) => sum + ownedSlotsInUse, 0),
    };
    fleet.dispose();
    return findings;
}

/** Checks that no fault did more than the design page allows. */
export function check(findings: Findings): void {
    const { utilisation, ...counts } = findings;
    assert.deepEqual(counts, { largestInFlight: slots, coldExcess: 0, unsettled: 0, leaked: 0 });
    assert.ok(utilisation >= 0.95, `utilisation after the fault was ${utilisation}`);
}

export const faultNames = Object.keys(faults);
