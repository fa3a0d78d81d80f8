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

const vmSpecs = (count: number): VmSpec[] => Array.from({ length: count }, (_unused, index) => ({ id: `vm-${index}` }));

function startVm(id: string, fleet: document.FleetDocument, clock: core.Clock = testing.createVirtualClock()) {
    const documentCell = core.createSnapshotCell(fleet);
    const vmOwnership = ownership.createOwnership({ self: core.vmId(id), clock, document: documentCell });
    return {
        ...vmOwnership,
        adopt: (next: document.FleetDocument) => void documentCell.update(() => next),
        documentCell,
    };
}

describe("Ownership", () => {
    describe("rendezvous hashing", () => {
        const manyResources = Array.from({ length: 20_000 }, (_unused, index) => `slot/e${index >> 3}/${index & 7}`);

        it("balances 20,000 resources over 40 VMs (guards against biased hash mixing)", () => {
            const vm = startVm("vm-0", fleetOf(1, vmSpecs(40)));
            const counts = new Map<string, number>();
            manyResources.forEach(resource => {
                const owner = vm.ownerOf(resource);
                counts.set(owner, (counts.get(owner) ?? 0) + 1);
            });
            // Expected: 500 with a standard deviation of 22; the limits are five standard deviations away.
            assert.equal(counts.size, 40);
            [...counts.values()].forEach(count => assert.ok(count > 390 && count < 610, `${count} resources`));
        });

        it("moves only the resources that a joining VM gains or a retired VM loses (guards against rehashing all resources)", () => {
            fc.assert(
                fc.property(fc.integer({ min: 2, max: 30 }), fc.nat(), (count, pick) => {
                    const before = startVm("vm-0", fleetOf(1, vmSpecs(count)));
                    const joined = startVm("vm-0", fleetOf(2, [...vmSpecs(count), { id: "new", joinedVersion: 2 }]));
                    const removed = `vm-${pick % count}`;
                    const retired = startVm(
                        "vm-0",
                        fleetOf(2, vmSpecs(count).map(vm => vm.id === removed ? { ...vm, state: "retired" } : vm)),
                    );
                    resources.forEach(resource => {
                        const owner = before.ownerOf(resource);
                        assert.ok([owner, "new"].includes(joined.ownerOf(resource)));
                        assert.equal(
                            retired.ownerOf(resource),
                            owner === removed ? before.ranking(resource)[1] : owner,
                        );
                    });
                }),
                { seed, numRuns: 60 },
            );
        });

        it("ranks the owner first and each VM once", () => {
            const vm = startVm("vm-0", fleetOf(1, vmSpecs(12)));
            resources.forEach(resource => {
                assert.equal(vm.ranking(resource)[0], vm.ownerOf(resource));
                assert.equal(new Set(vm.ranking(resource)).size, 12);
            });
        });
    });

    // The clocks do not advance between reads, because the tests compare times for equality.
    describe("sinceMs", () => {
        it("is the process start, the confirmation of the previous owner, or the adoption of its retirement", async () => {
            const clock = testing.createVirtualClock(100, 0);
            const first = fleetOf(1, [{ id: "old" }, { id: "gone" }]);
            const old = startVm("old", first, clock);
            const ownedByRemaining = resources.find(resource => old.ownerOf(resource) === "old")!;
            const ownedByRetired = resources.find(resource => old.ownerOf(resource) === "gone")!;
            assert.deepEqual(old.holdingOf(ownedByRemaining), { kind: "held", sinceMs: 100 });
            await clock.advance(50);
            const second = fleetOf(2, [{ id: "old" }, { id: "gone", state: "retired" }, {
                id: "new",
                joinedVersion: 2,
            }]);
            old.adopt(second);
            const joiningVm = startVm("new", second, clock);
            const moved = resources.find(resource => joiningVm.ownerOf(resource) === "new")!;
            const unchanged = resources.find(resource =>
                resource !== ownedByRetired && old.ownerOf(resource) === "old"
            )!;
            assert.equal(old.holdingOf(unchanged).kind, "held");
            const inherited = resources.filter(resource => old.ownerOf(resource) === "old")
                .map(resource => old.holdingOf(resource));
            assert.ok(inherited.some(holding => holding.kind === "held" && holding.sinceMs === 150));
            assert.deepEqual(joiningVm.holdingOf(moved), { kind: "waiting", previousOwner: "old" });
            joiningVm.recordPeerVersion(core.vmId("old"), 1);
            assert.equal(joiningVm.holdingOf(moved).kind, "waiting");
            await clock.advance(25);
            joiningVm.recordPeerVersion(core.vmId("old"), 2);
            assert.deepEqual(joiningVm.holdingOf(moved), { kind: "held", sinceMs: 175 });
        });

        it("stays the same across documents that do not change the VM list", async () => {
            const clock = testing.createVirtualClock(0, 0);
            const vm = startVm("vm-0", fleetOf(1, vmSpecs(1)), clock);
            await clock.advance(500);
            vm.adopt(fleetOf(2, vmSpecs(1)));
            assert.deepEqual(vm.holdingOf("bucket/x/0"), { kind: "held", sinceMs: 0 });
        });
    });

    describe("handover", () => {
        interface Step {
            readonly kind: "adopt" | "receive-version" | "restart";
            readonly vm: number;
            readonly other: number;
        }

        const step: fc.Arbitrary<Step> = fc.record({
            kind: fc.constantFrom("adopt", "adopt", "receive-version", "receive-version", "restart"),
            vm: fc.nat(6),
            other: fc.nat(6),
        });

        /** Each version adds one VM; a VM is terminated as soon as it is published as retired. */
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
                const current = vms.get(vm)?.documentCell.read().version ?? Math.max(1, vm - 1);
                if (retiredBy(vm) <= newest || current > newest + 1) {
                    return;
                }
                if (kind === "receive-version") {
                    const sender = vms.get(other);
                    if (sender) {
                        vms.get(vm)?.recordPeerVersion(core.vmId(`vm-${other}`), sender.documentCell.read().version);
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

        const findDoubleHolder = (createVm: CreateVm): fc.RunDetails<[Step[], number[]]> =>
            fc.check(
                fc.property(
                    fc.array(step, { minLength: 10, maxLength: 40, size: "max" }),
                    fc.array(fc.integer({ min: 2, max: 9 }), { minLength: 8, maxLength: 8 }),
                    (steps, retirements) => checkInterleaving(steps, retirements, createVm),
                ),
                { seed, numRuns: 1_500 },
            );

        it("never lets two VMs hold one resource (any order of adoptions, received versions and restarts)", () => {
            const details = findDoubleHolder(startVm);
            assert.equal(details.failed, false, `seed ${seed}: ${details.errorInstance}`);
        });

        it("detects a new owner that does not wait for the previous one", () => {
            const withoutWaiting: CreateVm = (id, fleet) => {
                const vm = startVm(id, fleet);
                fleet.vms.forEach(peer => vm.recordPeerVersion(peer.id, 99));
                return vm;
            };
            assert.equal(findDoubleHolder(withoutWaiting).failed, true);
        });

        it("waits for confirmation by more than half of the VMs (guards against a predecessor that restarts with an old version)", () => {
            const fleet = fleetOf(2, [...vmSpecs(5), { id: "new", joinedVersion: 2 }]);
            const vm = startVm("new", fleet);
            const moved = resources.find(resource => vm.ownerOf(resource) === "new")!;
            const [, previous, ...others] = vm.ranking(moved);
            vm.recordPeerVersion(previous!, 2);
            vm.recordPeerVersion(others[0]!, 2);
            assert.deepEqual(vm.holdingOf(moved), { kind: "waiting", previousOwner: previous });
            vm.recordPeerVersion(others[1]!, 2);
            assert.equal(vm.holdingOf(moved).kind, "held");
        });

        it("waits for every predecessor, even if the latest one is itself still waiting", () => {
            const fleet = fleetOf(3, [
                { id: "vm-0" },
                { id: "vm-1", joinedVersion: 2 },
                { id: "vm-2", joinedVersion: 3 },
            ]);
            const newest = startVm("vm-2", fleet);
            const chain = ["vm-2", "vm-1", "vm-0"];
            const resource = Array.from({ length: 200 }, (_unused, index) => `slot/e/${index}`)
                .find(name => newest.ranking(name).join() === chain.join())!;
            newest.recordPeerVersion(core.vmId("vm-1"), 3);
            assert.deepEqual(newest.holdingOf(resource), { kind: "waiting", previousOwner: "vm-0" });
            newest.recordPeerVersion(core.vmId("vm-0"), 2);
            assert.equal(newest.holdingOf(resource).kind, "held");
        });
    });
});
