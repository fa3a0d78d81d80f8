import fc from "fast-check";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as limits from "../../src/index.js";
import * as fleets from "./LimiterFleet.js";

const vmCount = 5;
const seed = 20261204;
const largestRatePerS = fleets.ratePerS;
const roundingCost = 1e-6;

// Small against the rate, so that a few requests exhaust it.
const largestBurst = 100;

const shape = { vmCount, burstCost: largestBurst };
const versions = [
    fleets.createDocument(shape),
    fleets.createDocument({ ...shape, version: 2, bucketsPerCustomer: 2 }),
    fleets.createDocument({ ...shape, version: 3, bucketsPerCustomer: 6, rateCostPerS: 120, burstCost: 60 }),
    fleets.createDocument({ ...shape, version: 4, bucketsPerCustomer: 3 }),
];

/** The bound is checked on the trace of admissions, so the model has no state. */
type Model = Record<string, never>;

type Action = (fleet: fleets.LimiterFleet) => Promise<void>;

/** Runs an action, which is always allowed, and then checks the bound. */
class FleetCommand implements fc.AsyncCommand<Model, fleets.LimiterFleet> {
    public constructor(private readonly name: string, private readonly action: Action) {}

    public check(): boolean {
        return true;
    }

    public async run(_model: Model, fleet: fleets.LimiterFleet): Promise<void> {
        await this.action(fleet);
        const excess = fleets.worstExcess(fleet, largestRatePerS, largestBurst);
        assert.ok(excess <= roundingCost, `${excess} over the bound`);
    }

    public toString(): string {
        return this.name;
    }
}

const vm = fc.nat(vmCount - 1);

const commandOf = <T>(name: string, values: fc.Arbitrary<T>, act: (fleet: fleets.LimiterFleet, value: T) => unknown) =>
    values.map(value =>
        new FleetCommand(`${name}(${JSON.stringify(value)})`, async fleet => {
            await act(fleet, value);
        })
    );

const commands = [
    commandOf("advance", fc.constantFrom(1, 2, 20, 60, 300, 1_200, 2_500), (fleet, ms) => fleet.advance(ms)),
    commandOf("advance", fc.constantFrom(5, 100, 700), (fleet, ms) => fleet.advance(ms)),
    commandOf(
        "send",
        fc.tuple(vm, fc.constantFrom(3, 20, 90)),
        (fleet, [index, cost]) => void fleet.send(index, cost),
    ),
    commandOf(
        "burst",
        fc.tuple(vm, fc.integer({ min: 2, max: 60 })),
        (fleet, [index, count]) => Array.from({ length: count }, () => void fleet.send(index, 9)),
    ),
    commandOf(
        "stream",
        vm,
        (fleet, index) =>
            Array.from({ length: 30 }, (_unused, order) => fleet.at(order * 20, () => void fleet.send(index, 4))),
    ),
    commandOf(
        "flood",
        fc.constant(0),
        fleet => Array.from({ length: 50 * vmCount }, (_unused, order) => void fleet.send(order % vmCount, 9)),
    ),
    commandOf("restart", vm, (fleet, index) => {
        if (fleet.isUp(index)) {
            fleet.restart(index);
        }
    }),
    commandOf(
        "cut",
        fc.tuple(vm, vm),
        (fleet, [from, to]) => fleet.network.partitionOneWay(fleet.idOf(from), fleet.idOf(to)),
    ),
    commandOf("heal", fc.constant(0), fleet => fleet.network.heal()),
    commandOf("pause", vm, (fleet, index) => fleet.pause(index)),
    commandOf("resume", vm, (fleet, index) => fleet.resume(index)),
    commandOf(
        "adopt",
        fc.tuple(vm, fc.integer({ min: 1, max: 3 })),
        (fleet, [index, version]) => fleet.adopt(index, versions[version]!),
    ),
];

const search = (restartVariant: fleets.LimiterVariant) =>
    fc.check(
        fc.asyncProperty(
            fc.commands(commands, { maxCommands: 60, size: "max" }),
            fc.nat(1_000),
            async (list, fleetSeed) => {
                const fleet = fleets.createLimiterFleet({
                    seed: fleetSeed,
                    document: versions[0]!,
                    lossRatio: 0.05,
                    heartbeats: true,
                    restartVariant,
                });
                await fleet.advance(fleets.warmUpMs);
                await fc.asyncModelRun(() => ({ model: {}, real: fleet }), list);
                fleet.stopAll();
            },
        ),
        { seed, numRuns: 80, endOnFailure: true },
    );

describe("the limiter under any order of events", () => {
    it("never exceeds rate*t + burst with message loss, partitions, pauses, restarts and document changes", async () => {
        const details = await search({});
        assert.equal(details.failed, false, `seed ${seed}: ${details.counterexample} ${details.errorInstance}`);
    });

    it("detects a restarted bucket that starts full", async () => {
        const details = await search({
            createBucket(share) {
                const bucket = limits.createTokenBucket(share, 0);
                bucket.credit(share.burst);
                return bucket;
            },
        });
        assert.equal(details.failed, true);
    });
});
