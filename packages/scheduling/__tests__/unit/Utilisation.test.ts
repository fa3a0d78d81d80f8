import * as assert from "node:assert/strict";
import { describe } from "node:test";
import type * as scheduling from "../../src/index.js";
import { createFleet, type Fleet, type FleetOptions } from "../support/Fleet.js";
import { itDetectsFault, itWithSeeds } from "../support/Seeds.js";

const file = "Utilisation.test.js";
const totalSlots = 48;

/** Share of the slots that are in use over `durationMs`. */
async function measureUtilisation(fleet: Fleet, durationMs: number): Promise<number> {
    const beforeMs = fleet.busyMs();
    await fleet.clock.advance(durationMs);
    return (fleet.busyMs() - beforeMs) / durationMs / totalSlots;
}

const work = (fleet: Fleet) => () => ({ workMs: 200 + fleet.random() * 400, cost: 100 });

async function utilisationOf(seed: number, entries: readonly number[], options: Partial<FleetOptions>) {
    const fleet = createFleet({ seed, ...options });
    entries.forEach(vm =>
        ["a", "b"].forEach(customer => fleet.keepBusy(vm, customer, 200 / entries.length, 12_000, work(fleet)))
    );
    await fleet.clock.advance(6_000);
    const utilisation = await measureUtilisation(fleet, 5_000);
    fleet.dispose();
    return utilisation;
}

const customers = ["a", "b"].map(id => ({ id, weight: 1, maxQueued: 200 }));

describe("utilisation while requests wait", () => {
    itWithSeeds(file, [1, 2, 3], "is at least 95% if all requests enter through one VM", async seed => {
        const utilisation = await utilisationOf(seed, [0], { customers });
        assert.ok(utilisation >= 0.95, `utilisation was ${utilisation}`);
    });

    itWithSeeds(file, [1], "is at least 95% if requests enter unevenly", async seed => {
        const utilisation = await utilisationOf(seed, [0, 0, 0, 0, 1, 4], { customers });
        assert.ok(utilisation >= 0.95, `utilisation was ${utilisation}`);
    });

    itWithSeeds(file, [1], "is at least 95% with 24 VMs and one entry VM", async seed => {
        const utilisation = await utilisationOf(seed, [0], { customers, vms: 24 });
        assert.ok(utilisation >= 0.95, `utilisation was ${utilisation}`);
    });

    itDetectsFault("detects a lower value if grants for wants older than 1 ms are declined", async seed => {
        const utilisation = await utilisationOf(seed, [0], { customers, policy: { wantLifetimeMs: 1 } });
        assert.ok(utilisation < 0.95, `utilisation was ${utilisation}`);
    });

    itWithSeeds(file, [1], "is at least 95% after a VM crashed and its warm slots were taken over", async seed => {
        assert.ok(await utilisationAfterCrash(seed, {}) >= 0.95);
    });

    itDetectsFault("detects a lower value if warm slots are not taken over", async seed => {
        assert.ok(await utilisationAfterCrash(seed, { mayTakeOver: () => false }) < 0.95);
    });
});

/** The cold slots of the crashed VM stay unused, so only the other slots are counted. */
async function utilisationAfterCrash(seed: number, policy: Partial<scheduling.SchedulingPolicy>): Promise<number> {
    const fleet = createFleet({ seed, customers, policy, deadlineMs: 3_000 });
    ["a", "b"].forEach(customer => fleet.keepBusy(0, customer, 100, 25_000, work(fleet)));
    await fleet.clock.advance(6_000);
    const owned = fleet.scheduler(3).status().upstreams.reduce((sum, { ownedSlots }) => sum + ownedSlots, 0);
    const cold = fleet.coldSlotsOwnedBy(3);
    assert.ok(owned > cold, "the VM owned warm slots");
    fleet.kill(3);
    await fleet.clock.advance(12_000);
    const utilisation = await measureUtilisation(fleet, 5_000);
    fleet.dispose();
    return utilisation * totalSlots / (totalSlots - cold);
}
