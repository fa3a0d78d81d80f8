import * as core from "@peridotloft/core";
import * as document from "@peridotloft/document";
import * as testing from "@peridotloft/testing";
import fc from "fast-check";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as ownership from "../../src/index.js";

const seed = 20261204;
const resources = Array.from({ length: 24 }, (_unused, index) => `bucket/north/${index}`);

interface VmSpec {
    readonly id: string;
    readonly joinedVersion?: number;
    readonly state?: "in-service" | "retired";
}

function fleetOf(version: number, vms: readonly VmSpec[]): document.FleetDocument {
    return testing.expectOk(document.validateDocument({
        version,
        zones: [{ id: "a", region: "r" }],
        vms: vms.map((vm, index) => ({ ...vm, zone: "a", peerAddress: `127.0.0.1:${7000 + index}` })),
        customers: [],
        pools: [{
            id: "p",
            kind: "engine",
            upstreams: [{ id: "e", zone: "a", url: "http://127.0.0.1:8101", slots: 1, coldSlots: 1 }],
        }],
    }));
}

const named = (count: number): VmSpec[] => Array.from({ length: count }, (_unused, index) => ({ id: `vm-${index}` }));

function startVm(id: string, fleet: document.FleetDocument, clock: core.Clock = testing.createVirtualClock()) {
    const cell = core.createSnapshotCell(fleet);
    const owned = ownership.createOwnership({ self: core.vmId(id), clock, document: cell });
    return { ...owned, adopt: (next: document.FleetDocument) => void cell.update(() => next), cell };
}

describe("Ownership", () => {
    describe("rendezvous hashing", () => {
        const many = Array.from({ length: 20_000 }, (_unused, index) => `slot/e${index >> 3}/${index & 7}`);

        it("balances 20,000 resources over 40 VMs (guards against a biased mix of hashes)", () => {
            const vm = startVm("vm-0", fleetOf(1, named(40)));
            const counts = new Map<string, number>();
            many.forEach(resource => {
                const owner = vm.ownerOf(resource);
                counts.set(owner, (counts.get(owner) ?? 0) + 1);
            });
            // 500 expected with a standard deviation of 22; five deviations on either side.
            assert.equal(counts.size, 40);
            [...counts.values()].forEach(count => assert.ok(count > 390 && count < 610, `${count} resources`));
        });

        it("moves only what a joining or retired VM gains or loses (guards against rehashing everything)", () => {
            fc.assert(
                fc.property(fc.integer({ min: 2, max: 30 }), fc.nat(), (count, pick) => {
                    const before = startVm("vm-0", fleetOf(1, named(count)));
                    const joined = startVm("vm-0", fleetOf(2, [...named(count), { id: "new", joinedVersion: 2 }]));
                    const lost = `vm-${pick % count}`;
                    const retired = startVm(
                        "vm-0",
                        fleetOf(2, named(count).map(vm => vm.id === lost ? { ...vm, state: "retired" } : vm)),
                    );
                    resources.forEach(resource => {
                        const owner = before.ownerOf(resource);
                        assert.ok([owner, "new"].includes(joined.ownerOf(resource)));
                        assert.equal(
                            retired.ownerOf(resource),
                            owner === lost ? before.ranking(resource)[1] : owner,
                        );
                    });
                }),
                { seed, numRuns: 60 },
            );
        });

        it("ranks the owner first and every VM once", () => {
            const vm = startVm("vm-0", fleetOf(1, named(12)));
            resources.forEach(resource => {
                assert.equal(vm.ranking(resource)[0], vm.ownerOf(resource));
                assert.equal(new Set(vm.ranking(resource)).size, 12);
            });
        });
    });

    // The clocks stand still between readings, because the tests compare times for equality.
    describe("sinceMs", () => {
        it("is the process start, the confirmation of the previous owner, or the adoption of its retirement", async () => {
            const clock = testing.createVirtualClock(100, 0);
            const first = fleetOf(1, [{ id: "old" }, { id: "gone" }]);
            const old = startVm("old", first, clock);
            const ofOld = resources.find(resource => old.ownerOf(resource) === "old")!;
            const ofGone = resources.find(resource => old.ownerOf(resource) === "gone")!;
            assert.deepEqual(old.holdingOf(ofOld), { kind: "held", sinceMs: 100 });
            await clock.advance(50);
            const second = fleetOf(2, [{ id: "old" }, { id: "gone", state: "retired" }, {
                id: "new",
                joinedVersion: 2,
            }]);
            old.adopt(second);
            const fresh = startVm("new", second, clock);
            const moved = resources.find(resource => fresh.ownerOf(resource) === "new")!;
            const kept = resources.find(resource => resource !== ofGone && old.ownerOf(resource) === "old")!;
            assert.equal(old.holdingOf(kept).kind, "held");
            const inherited = resources.filter(resource => old.ownerOf(resource) === "old")
                .map(resource => old.holdingOf(resource));
            assert.ok(inherited.some(holding => holding.kind === "held" && holding.sinceMs === 150));
            assert.deepEqual(fresh.holdingOf(moved), { kind: "waiting", previousOwner: "old" });
            fresh.notePeerVersion(core.vmId("old"), 1);
            assert.equal(fresh.holdingOf(moved).kind, "waiting");
            await clock.advance(25);
            fresh.notePeerVersion(core.vmId("old"), 2);
            assert.deepEqual(fresh.holdingOf(moved), { kind: "held", sinceMs: 175 });
        });

        it("stays the same across documents that leave the VM list alone", async () => {
            const clock = testing.createVirtualClock(0, 0);
            const vm = startVm("vm-0", fleetOf(1, named(1)), clock);
            await clock.advance(500);
            vm.adopt(fleetOf(2, named(1)));
            assert.deepEqual(vm.holdingOf("bucket/x/0"), { kind: "held", sinceMs: 0 });
        });
    });

    describe("handover", () => {
        interface Step {
            readonly kind: "adopt" | "hear" | "restart";
            readonly vm: number;
            readonly other: number;
        }

        const step: fc.Arbitrary<Step> = fc.record({
            kind: fc.constantFrom("adopt", "adopt", "hear", "hear", "restart"),
            vm: fc.nat(6),
            other: fc.nat(6),
        });

        /** Each version adds one or two VMs; a retired VM is terminated the moment it is published as retired. */
        const buildVersions = (retirements: readonly number[]): document.FleetDocument[] =>
            [1, 2, 3, 4, 5].map(version =>
                fleetOf(
                    version,
                    Array.from({ length: version + 2 }, (_unused, index) => ({
                        id: `vm-${index}`,
                        joinedVersion: Math.max(1, index - 1),
                        state: index > 0 && (retirements[index] ?? 9) <= version ? "retired" : "in-service",
                    })),
                )
            );

        type CreateVm = (id: string, fleet: document.FleetDocument) => ReturnType<typeof startVm>;

        function checkInterleaving(steps: readonly Step[], retirements: readonly number[], createVm: CreateVm): void {
            const versions = buildVersions(retirements);
            let newest = 1;
            const vms = new Map<number, ReturnType<typeof startVm>>();
            const retiredBy = (index: number): number => index === 0 ? 99 : retirements[index] ?? 99;
            const run = ({ kind, vm, other }: Step): void => {
                const current = vms.get(vm)?.cell.read().version ?? Math.max(1, vm - 1);
                if (retiredBy(vm) <= newest || current > newest + 1) {
                    return;
                }
                if (kind === "hear") {
                    const heard = vms.get(other);
                    if (heard) {
                        vms.get(vm)?.notePeerVersion(core.vmId(`vm-${other}`), heard.cell.read().version);
                    }
                    return;
                }
                const target = Math.min(
                    5,
                    kind === "restart" ? current : Math.max(current + 1, other % 5 + 1),
                    newest + 1,
                );
                newest = Math.max(newest, target);
                [...vms.keys()].filter(index => retiredBy(index) <= newest).forEach(index => vms.delete(index));
                const known = vms.get(vm);
                if (known && kind === "adopt") {
                    known.adopt(versions[target - 1]!);
                }
                else if (retiredBy(vm) > newest) {
                    vms.set(vm, createVm(`vm-${vm}`, versions[Math.max(current, target) - 1]!));
                }
            };
            steps.forEach(each => {
                run(each);
                resources.slice(0, 8).forEach(resource => {
                    const holders = [...vms].filter(([, vm]) => vm.holdingOf(resource).kind === "held");
                    assert.ok(holders.length <= 1, `${resource} is held by VMs ${holders.map(([index]) => index)}`);
                });
            });
        }

        const searchForDoubleHolder = (createVm: CreateVm): fc.RunDetails<[Step[], number[]]> =>
            fc.check(
                fc.property(
                    fc.array(step, { minLength: 10, maxLength: 40, size: "max" }),
                    fc.array(fc.integer({ min: 2, max: 9 }), { minLength: 8, maxLength: 8 }),
                    (steps, retirements) => checkInterleaving(steps, retirements, createVm),
                ),
                { seed, numRuns: 1_500 },
            );

        it("never lets two VMs hold one resource (any order of adoption, heard versions and restarts)", () => {
            const details = searchForDoubleHolder(startVm);
            assert.equal(details.failed, false, `seed ${seed}: ${details.errorInstance}`);
        });

        it("catches a new owner that does not wait for the previous one", () => {
            const hasty: CreateVm = (id, fleet) => {
                const vm = startVm(id, fleet);
                fleet.vms.forEach(peer => vm.notePeerVersion(peer.id, 99));
                return vm;
            };
            assert.equal(searchForDoubleHolder(hasty).failed, true);
        });

        it("waits for more than half of the VMs, which a restarting predecessor asks (guards against its old version)", () => {
            const fleet = fleetOf(2, [...named(5), { id: "new", joinedVersion: 2 }]);
            const vm = startVm("new", fleet);
            const moved = resources.find(resource => vm.ownerOf(resource) === "new")!;
            const [, previous, ...others] = vm.ranking(moved);
            vm.notePeerVersion(previous!, 2);
            vm.notePeerVersion(others[0]!, 2);
            assert.deepEqual(vm.holdingOf(moved), { kind: "waiting", previousOwner: previous });
            vm.notePeerVersion(others[1]!, 2);
            assert.equal(vm.holdingOf(moved).kind, "held");
        });

        it("waits for every predecessor, also when the latest is itself still waiting", () => {
            const fleet = fleetOf(3, [
                { id: "vm-0" },
                { id: "vm-1", joinedVersion: 2 },
                { id: "vm-2", joinedVersion: 3 },
            ]);
            const newest = startVm("vm-2", fleet);
            const chain = ["vm-2", "vm-1", "vm-0"];
            const resource = Array.from({ length: 200 }, (_unused, index) => `slot/e/${index}`)
                .find(name => newest.ranking(name).join() === chain.join())!;
            newest.notePeerVersion(core.vmId("vm-1"), 3);
            assert.deepEqual(newest.holdingOf(resource), { kind: "waiting", previousOwner: "vm-0" });
            newest.notePeerVersion(core.vmId("vm-0"), 2);
            assert.equal(newest.holdingOf(resource).kind, "held");
        });
    });
});
