import type * as core from "@peridotloft/core";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createPrefillFleet, type FleetSizes } from "./PrefillFleet.js";

const speeds = [0.6, 1, 1.6];
const sizes: FleetSizes = { vms: 15, engines: 12, sessions: 180, customers: 30, load: 0.75, speeds };
/** Time in ms in which each session is prefilled once, and each engine responds to some tens of prompts whose prefix it had cached. */
const warmUpMs = 12_000;
/** Maximum relative deviation of the speed by which an engine is used from its own. */
const tolerance = 0.15;

type Fleet = Awaited<ReturnType<typeof createPrefillFleet>>;

/** Speeds with which VMs expected the engines to prefill, of the prompts placed since a time. */
function expectedSpeeds({ log }: Fleet, fromLine: number): Map<string, readonly number[]> {
    return log.lines.slice(fromLine).filter(({ event }) => event === "placed").reduce((byId, { fields }) => {
        const id = String(fields["upstream"]);
        return byId.set(id, [...byId.get(id) ?? [], Number(fields["prefillSpeed"])]);
    }, new Map<string, readonly number[]>());
}

function checkSpeeds(fleet: Fleet, fromLine: number, context: string): void {
    const expected = expectedSpeeds(fleet, fromLine);
    fleet.speedById.forEach((speed, id) => {
        const values = expected.get(id) ?? [];
        const wrong = values.filter(value => !(Math.abs(value / speed - 1) <= tolerance));
        assert.ok(
            values.length > 0 && wrong.length <= values.length * 0.1,
            `${context}: ${id} of speed ${speed}: ${wrong.length} of ${values.length} wrong, e.g. ${wrong.at(-1)}`,
        );
    });
}

/** Share of the prompts that get their first event in time, after the warm-up. */
async function shareOnTime(used: FleetSizes, seed: number): Promise<number> {
    const fleet = await createPrefillFleet(used, seed);
    await fleet.run(warmUpMs);
    fleet.resetCounts();
    await fleet.run(6_000);
    fleet.dispose();
    return fleet.counts.onTime / fleet.counts.offered;
}

describe("Engines of different speeds", () => {
    it("serve as many prompts in time at 75 % of their prefill capacity as equal ones of the same capacity", async () => {
        const seeds = [1, 2, 3];
        const [unequal = 0, equal = 0] = await Promise.all([speeds, [1]].map(async used => {
            const shares = await Promise.all(seeds.map(seed => shareOnTime({ ...sizes, speeds: used }, seed)));
            return shares.reduce((sum, share) => sum + share, 0) / seeds.length;
        }));
        assert.ok(unequal >= equal - 0.02, `${unequal}, equal engines ${equal}`);
    });

    it("are used by their speeds", async () => {
        const fleet = await createPrefillFleet(sizes, 4);
        await fleet.run(warmUpMs);
        const fromLine = fleet.log.lines.length;
        await fleet.run(2_000);
        fleet.dispose();
        checkSpeeds(fleet, fromLine, "after the warm-up");
    });

    it("are known at new trackers when half of the VMs are lost", async () => {
        const fleet = await createPrefillFleet(sizes, 5);
        // Each VM has asked about each engine since its speed was learned.
        await fleet.run(2 * warmUpMs);
        fleet.killVms(Array.from({ length: sizes.vms / 2 }, (_, index) => 2 * index + 1));
        const fromLine = fleet.log.lines.length;
        await fleet.run(1_000);
        fleet.dispose();
        checkSpeeds(fleet, fromLine, "after the loss");
    });

    it("are not slow because of a share of late responses", async () => {
        const fleet = await createPrefillFleet({ ...sizes, delayedShare: 0.15 }, 6);
        await fleet.run(warmUpMs);
        const fromLine = fleet.log.lines.length;
        await fleet.run(2_000);
        fleet.dispose();
        checkSpeeds(fleet, fromLine, "with late responses");
    });

    it("do not keep their speed when they start again", async () => {
        const fleet = await createPrefillFleet(sizes, 7);
        await fleet.run(warmUpMs);
        const [id] = [...fleet.speedById].find(([, speed]) => speed === 1.6) as [core.UpstreamId, number];
        fleet.restartEngine(id, 1);
        const fromLine = fleet.log.lines.length;
        await fleet.run(500);
        fleet.dispose();
        const after = expectedSpeeds(fleet, fromLine).get(id) ?? [];
        assert.ok(after.length > 0 && after.every(value => value === 1), after.join());
    });

    it("are not found in a pool of equal ones, whose sessions stay where they were", async () => {
        const fleet = await createPrefillFleet({ ...sizes, load: 0.9, speeds: [1], delayedShare: 0.15 }, 8);
        await fleet.run(warmUpMs);
        fleet.dispose();
        assert.deepEqual(fleet.log.lines.filter(({ event }) => event === "engine-speed"), []);
    });
});
