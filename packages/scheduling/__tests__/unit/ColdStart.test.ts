import * as assert from "node:assert/strict";
import { describe } from "node:test";
import type * as scheduling from "../../src/index.js";
import { createFleet, type Fleet, type Trace } from "../support/Fleet.js";
import { coldExcess } from "../support/Measures.js";
import { itDetectsFault, itWithSeeds } from "../support/Seeds.js";

const file = "ColdStart.test.js";
const work = (fleet: Fleet) => () => ({ workMs: 100 + fleet.random() * 200, cost: 100 });
const keepAllBusy = (fleet: Fleet, untilMs: number): void =>
    [0, 1, 2, 3, 4, 5].forEach(vm =>
        ["a", "b"].forEach(customer => fleet.keepBusy(vm, customer, 20, untilMs, work(fleet)))
    );

const violations = (fleet: Fleet): readonly number[] =>
    [...fleet.engines.values()].flatMap(engine => engine.coldViolationsMs);

/**
 * The ramp doubles the usable slots after as many successful requests, so u usable slots need u - coldSlots completed
 * requests. Returns the largest number of requests in flight beyond that limit.
 */
function largestOvershoot(traces: readonly Trace[], upstream: string, coldSlots: number): number {
    const own = traces.filter(trace => trace.upstream === upstream);
    const excess = own.map(({ startedMs = 0 }) => {
        const started = own.filter(other => (other.startedMs ?? Infinity) <= startedMs).length;
        const ended = own.filter(other => (other.endedMs ?? Infinity) <= startedMs).length;
        return started - ended - coldSlots - ended;
    });
    return Math.max(...excess);
}

async function overshootOfStart(seed: number, policy: Partial<scheduling.SchedulingPolicy>): Promise<number> {
    const fleet = createFleet({ seed, coldSlots: 2, slots: 16, policy });
    keepAllBusy(fleet, 4_000);
    await fleet.clock.advance(4_000);
    fleet.dispose();
    assert.deepEqual(violations(fleet), [], "no upstream gets more than its cold slots at the start");
    return Math.max(...[...fleet.engines.keys()].map(id => largestOvershoot(fleet.traces, id, 2)));
}

describe("ramp", () => {
    itWithSeeds(file, [1, 2, 3], "starts cold on every VM and never exceeds the usable slots", async seed => {
        assert.ok(await overshootOfStart(seed, {}) <= 0);
    });

    itDetectsFault("detects a ramp that grows eightfold", async seed => {
        assert.ok(await overshootOfStart(seed, { ramp: usableSlots => usableSlots * 8 }) > 0);
    });
});

/** One engine begins a cold start at 7 s, under load. */
async function runColdStartUnderLoad(seed: number, policy: Partial<scheduling.SchedulingPolicy>) {
    const fleet = createFleet({ seed, policy });
    keepAllBusy(fleet, 16_000);
    await fleet.clock.advance(7_000);
    const [id, engine] = [...fleet.engines][0]!;
    engine.coldStart(24);
    await fleet.clock.advance(9_000);
    const phase = fleet.scheduler(0).status().upstreams.find(({ upstream }) => upstream === id)?.phase;
    fleet.dispose();
    return { excess: coldExcess(fleet, id, 1, 0), phase };
}

describe("a cold start without an error", () => {
    itWithSeeds(file, [1, 2, 3], "is detected by the first slow response and ends with a ramp", async seed => {
        const { excess, phase } = await runColdStartUnderLoad(seed, {});
        assert.equal(excess, 0);
        assert.equal(phase, "warm");
    });

    itDetectsFault("detects an overloaded upstream if slow responses are ignored", async seed => {
        const { excess } = await runColdStartUnderLoad(seed, { slowFirstByteFactor: Infinity });
        assert.ok(excess > 0);
    });
});

/** Two VMs are partitioned from the others for longer than the takeover time, while all upstreams stay cold. */
async function coldViolationsInPartition(seed: number, policy: Partial<scheduling.SchedulingPolicy>) {
    const neverWarm = { ...policy, ramp: (usableSlots: number) => usableSlots };
    const fleet = createFleet({ seed, policy: neverWarm, engine: { requestsUntilWarm: Infinity } });
    keepAllBusy(fleet, 12_000);
    await fleet.clock.advance(2_000);
    fleet.network.isolate([fleet.idOf(0), fleet.idOf(1)]);
    await fleet.clock.advance(10_000);
    fleet.dispose();
    return violations(fleet);
}

describe("cold slots of partitioned VMs", () => {
    itWithSeeds(file, [1, 2], "are never taken over", async seed => {
        assert.deepEqual(await coldViolationsInPartition(seed, {}), []);
    });

    itDetectsFault("detects cold slots used twice if they may be taken over", async seed => {
        assert.ok((await coldViolationsInPartition(seed, { mayTakeOver: () => true })).length > 0);
    });
});

/** Zone z1 leaves at 6 s and returns at 14 s. Its engines lose their warm state in between. */
async function runZoneLeave(seed: number, policy: Partial<scheduling.SchedulingPolicy>) {
    const fleet = createFleet({ seed, policy });
    const setZone = (state: "in-service" | "leaving" | "out"): void =>
        fleet.publish(document => ({
            zones: document.zones.map(zone => zone.id === "z1" ? { ...zone, state } : zone),
        }));
    const inZone = fleet.published().pools[0]!.upstreams.filter(({ zone }) => zone === "z1").map(({ id }) => id);
    keepAllBusy(fleet, 20_000);
    await fleet.clock.advance(6_000);
    setZone("leaving");
    await fleet.clock.advance(6_000);
    setZone("out");
    inZone.forEach(id => fleet.engines.get(id)?.coldStart());
    await fleet.clock.advance(2_000);
    setZone("in-service");
    await fleet.clock.advance(8_000);
    fleet.dispose();
    const started = fleet.traces.filter(({ upstream }) => upstream && inZone.includes(upstream));
    return {
        startedLate: started.filter(({ startedMs = 0 }) => startedMs > 11_000 && startedMs <= 14_000).length,
        brokenOff: started.filter(({ startedMs = 0, endedMs }) => startedMs <= 12_000 && !endedMs).length,
        startedAgain: started.filter(({ startedMs = 0 }) => startedMs > 14_000).length,
        coldViolations: violations(fleet).length,
    };
}

describe("an availability zone that leaves", () => {
    itWithSeeds(
        file,
        [1, 2],
        "gets no new requests after 5 s, completes those in flight, and ramps on return",
        async seed => {
            const { startedAgain, ...faults } = await runZoneLeave(seed, {});
            assert.deepEqual(faults, { startedLate: 0, brokenOff: 0, coldViolations: 0 });
            assert.ok(startedAgain > 100);
        },
    );

    itDetectsFault("detects new requests if the zone state is ignored", async seed => {
        const { startedLate } = await runZoneLeave(seed, { isInService: () => true });
        assert.ok(startedLate > 0);
    });
});
