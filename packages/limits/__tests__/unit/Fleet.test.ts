import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as fleets from "./LimiterFleet.js";

const vmCount = 24;
const command = "node scripts/run-tests.mjs limits/dist/__tests__/unit/Fleet";
const runMs = 10_500;
const endMs = fleets.warmUpMs + runMs;

// Costs are sums of thousands of 64-bit floats.
const roundingCost = 1e-6;

// Target of the design page, section 1.1.
const maxWrongfulShare = 0.001;

type Traffic = (fleet: fleets.LimiterFleet) => void;

type PickVm = (fleet: fleets.LimiterFleet, atMs: number) => number;

const trafficOf = (costPerS: number, requestCost: number, pickVm: PickVm): Traffic => fleet =>
    fleets.offerTraffic(fleet, {
        fromMs: fleets.warmUpMs,
        toMs: endMs,
        costPerS,
        requestCost,
        pickVm: atMs => pickVm(fleet, atMs),
    });

const traffics: Record<string, Traffic> = {
    "one VM only": trafficOf(fleets.ratePerS * 0.9, 4, () => 7),
    "moving from VM to VM": trafficOf(fleets.ratePerS * 0.9, 4, (_fleet, atMs) => Math.floor(atMs / 1_500) % vmCount),
    "10 times its rate": trafficOf(fleets.ratePerS * 10, 12, fleet => Math.floor(fleet.random() * vmCount)),
};

type Fault = (fleet: fleets.LimiterFleet) => void;

const faults: Record<string, Fault> = {
    kill: fleet => fleet.at(3_000, () => fleet.kill(fleet.ownerOf(0))),
    "restart without state": fleet =>
        [2_000, 5_500, 9_000].forEach(atMs => fleet.at(atMs, () => fleet.restart(fleet.ownerOf(1)))),
    "partition and heal": fleet => {
        fleet.at(2_500, () => fleet.network.isolate([0, 1, 2, 3, 4, 5, 6, 7].map(fleet.idOf)));
        fleet.at(7_500, () => fleet.network.heal());
    },
    "one-way partition": fleet => {
        const owner = fleet.ownerOf(2);
        fleet.at(2_000, () =>
            Array.from({ length: vmCount }, (_unused, index) => index)
                .filter(index => index !== owner && index % 2 === 1)
                .forEach(index => fleet.network.partitionOneWay(fleet.idOf(owner), fleet.idOf(index))));
        fleet.at(8_000, () => fleet.network.heal());
    },
    "long pauses": fleet => {
        [7, fleet.ownerOf(3)].forEach((vm, order) => {
            fleet.at(2_200 + order * 700, () => fleet.pause(vm));
            fleet.at(5_900 + order * 1_900, () => fleet.resume(vm));
        });
    },
    "different documents": fleet => {
        const moreVms = fleets.createDocument({ version: 2, vmCount: vmCount + 2, joinedFrom: vmCount });
        const moreBuckets = fleets.createDocument({
            version: 3,
            vmCount: vmCount + 2,
            joinedFrom: vmCount,
            bucketsPerCustomer: 6,
        });
        const adopt = (version: typeof moreVms, from: number, to: number) => () =>
            Array.from({ length: to - from }, (_unused, index) => fleet.adopt(from + index, version));
        fleet.at(1_000, () => fleet.start(vmCount, moreVms));
        fleet.at(1_000, () => fleet.start(vmCount + 1, moreVms));
        fleet.at(1_500, adopt(moreVms, 0, 12));
        fleet.at(4_500, adopt(moreVms, 12, vmCount));
        fleet.at(6_000, adopt(moreBuckets, 6, vmCount + 2));
        fleet.at(9_000, adopt(moreBuckets, 0, 6));
    },
};

async function run(seed: number, traffic: Traffic, faultNames: readonly string[]): Promise<fleets.LimiterFleet> {
    const heartbeats = faultNames.includes("different documents");
    const fleet = fleets.createLimiterFleet({ seed, document: fleets.createDocument({ vmCount }), heartbeats });
    traffic(fleet);
    await fleet.advance(fleets.warmUpMs);
    faultNames.forEach(name => faults[name]!(fleet));
    await fleet.advance(runMs + 500);
    fleet.stopAll();
    return fleet;
}

function checkBound(fleet: fleets.LimiterFleet, seed: number): void {
    const excess = fleets.worstExcess(fleet);
    assert.ok(excess <= roundingCost, `seed ${seed}: ${excess} over rate*t + burst; repeat with ${command}`);
}

describe("a fleet of rate limiters", () => {
    describe("with all VMs connected", () => {
        Object.entries(traffics).forEach(([name, traffic], index) => {
            it(`${name}: never exceeds rate*t + burst and refuses at most 0.1% wrongly`, async () => {
                const seed = 100 + index;
                const fleet = await run(seed, traffic, []);
                checkBound(fleet, seed);
                const { offered, wrongful, isWithinRate } = fleets.compareWithReference(fleet);
                assert.ok(
                    !isWithinRate || wrongful <= offered * maxWrongfulShare,
                    `seed ${seed}: ${wrongful} of ${offered} refused wrongly; repeat with ${command}`,
                );
            });
        });
    });

    describe("with two faults at once", () => {
        const names = Object.keys(faults);
        const pairs = names.flatMap((first, index) => names.slice(index + 1).map(second => [first, second]));
        pairs.forEach((pair, pairIndex) =>
            Object.entries(traffics).forEach(([name, traffic], trafficIndex) => {
                it(`${pair.join(" + ")}, ${name}: never exceeds rate*t + burst`, async () => {
                    const seed = 1_000 + pairIndex * 10 + trafficIndex;
                    checkBound(await run(seed, traffic, pair), seed);
                });
            })
        );
    });
});
