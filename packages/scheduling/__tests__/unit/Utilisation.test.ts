import * as assert from "node:assert/strict";
import { describe } from "node:test";
import { createFleet, type Fleet } from "../support/Fleet.js";
import { itWithSeeds } from "../support/Seeds.js";

const file = "Utilisation.test.js";
const totalSlots = 48;

/** Share of the slots that are in use over `durationMs`. */
async function measureUtilisation(fleet: Fleet, durationMs: number): Promise<number> {
    const beforeMs = fleet.busyMs();
    await fleet.clock.advance(durationMs);
    return (fleet.busyMs() - beforeMs) / durationMs / totalSlots;
}

const work = (fleet: Fleet) => () => ({ workMs: 200 + fleet.random() * 400, cost: 100 });

describe("utilisation while work waits", () => {
    itWithSeeds(file, [1, 2, 3], "uses at least 95% of the slots when all work enters by one VM", async seed => {
        const fleet = createFleet({ seed });
        ["a", "b"].forEach(customer => fleet.keepBusy(0, customer, 60, 12_000, work(fleet)));
        await fleet.clock.advance(6_000);
        const utilisation = await measureUtilisation(fleet, 5_000);
        fleet.dispose();
        assert.ok(utilisation >= 0.95, `utilisation was ${utilisation}`);
    });
});
