import * as core from "@peridotloft/core";
import * as documents from "@peridotloft/document";
import * as testing from "@peridotloft/testing";
import * as fc from "fast-check";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as membership from "../../src/index.js";

const seed = Number(process.env["PERIDOTLOFT_SEED"] ?? 41);
const command = `PERIDOTLOFT_SEED=${seed} node scripts/run-tests.mjs membership`;

interface Node {
    readonly id: core.VmId;
    readonly clock: testing.PausableClock;
    readonly gossip: membership.Membership;
    readonly payloadBytes: number[];
}

function documentOf(size: number, version = 1): documents.FleetDocument {
    return documents.validateDocument({
        version,
        zones: [{ id: "a", region: "r" }],
        vms: Array.from({ length: size }, (_, index) => ({
            id: `vm-${index}`,
            zone: "a",
            peerAddress: `127.0.${index >> 8}.${index & 255}:7000`,
        })),
        customers: [],
        pools: [{
            id: "p",
            kind: "service",
            upstreams: [{ id: "u", zone: "a", url: "http://127.0.0.1:1", slots: 1, coldSlots: 1 }],
        }],
    })._unsafeUnwrap();
}

function createGossipFleet(size: number, change: Partial<membership.MembershipOptions> = {}) {
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(seed);
    const network = testing.createVirtualNetwork({ clock, random });
    const cell = core.createSnapshotCell<documents.FleetDocument | undefined>(documentOf(size));
    const start = (id: core.VmId, incarnation = 1): Node => {
        const endpoint = network.attach(id);
        const vmClock = testing.createPausableClock(clock);
        const payloadBytes: number[] = [];
        const gossip = membership.createMembership({
            self: id,
            incarnation,
            clock: vmClock,
            random,
            endpoint: {
                ...endpoint,
                call(to, slice, payload, timeoutMs) {
                    payloadBytes.push(payload.length);
                    return endpoint.call(to, slice, payload, timeoutMs);
                },
            },
            document: cell,
            ...change,
        });
        gossip.start();
        return { id, clock: vmClock, gossip, payloadBytes };
    };
    const nodes = Array.from({ length: size }, (_, index) => start(core.vmId(`vm-${index}`)));
    const healthSeenBy = (node: Node, id: core.VmId): core.PeerHealth | undefined =>
        node.gossip.peers().find(peer => peer.id === id)?.health;
    return { clock, network, cell, nodes, start, healthSeenBy };
}

const kill = ({ network, nodes }: ReturnType<typeof createGossipFleet>, index: number): core.VmId => {
    const { id, gossip } = nodes[index]!;
    gossip.dispose();
    network.detach(id);
    return id;
};

function createSectionOfSize(name: string, bytes: number): core.GossipSection & { readonly limits: number[]; } {
    const limits: number[] = [];
    return {
        name,
        limits,
        encode(limitBytes) {
            limits.push(limitBytes);
            return new Uint8Array(Math.min(limitBytes, bytes));
        },
        apply: () => undefined,
    };
}

describe(`Membership (${command})`, () => {
    [9, 48].forEach(size =>
        describe(`with ${size} VMs`, () => {
            // Relayed marks may belong to the current or the previous epoch.
            const relayMs = size > membership.maxFullGossipVms ? 2 * membership.epochMs : 0;

            it("reports running peers as alive, and a stopped one as suspect and then unreachable", async () => {
                const fleet = createGossipFleet(size);
                await fleet.clock.advance(5_000);
                const dead = kill(fleet, 0);
                const others = fleet.nodes.slice(1);
                const states = (id: core.VmId) => new Set(others.map(node => fleet.healthSeenBy(node, id)));
                await fleet.clock.advance(membership.suspectAfterMs + relayMs + 300);
                assert.ok(!states(dead).has("alive"));
                await fleet.clock.advance(membership.unreachableAfterMs - membership.suspectAfterMs);
                assert.deepEqual([...states(dead)], ["unreachable"]);
                const health = others.flatMap(node => node.gossip.peers().map(peer => peer.health));
                const alive = health.filter(state => state === "alive").length;
                assert.equal(alive, others.length * (others.length - 1));
            });

            it("reports no peer as alive when the budget allows no heartbeat (shows that the check above can fail)", async () => {
                const fleet = createGossipFleet(size, { budgetBytesPerS: 0 });
                await fleet.clock.advance(6_000);
                assert.ok(fleet.nodes.every(node => node.gossip.peers().every(peer => peer.health !== "alive")));
            });

            it("reports no peer as unreachable after a pause of its own process", async () => {
                const fleet = createGossipFleet(size);
                await fleet.clock.advance(3_000);
                const paused = fleet.nodes[0]!;
                paused.clock.pause();
                fleet.network.pause(paused.id);
                await fleet.clock.advance(30_000);
                paused.clock.resume();
                assert.ok(paused.gossip.peers().every(peer => peer.health !== "unreachable"));
                fleet.network.resume(paused.id);
                const dead = kill(fleet, 1);
                await fleet.clock.advance(membership.unreachableAfterMs + relayMs + 3_000);
                assert.equal(fleet.healthSeenBy(paused, dead), "unreachable");
            });
        })
    );

    const spentPerS = async (size: number, change: Partial<membership.MembershipOptions>): Promise<number> => {
        const fleet = createGossipFleet(size, change);
        fleet.nodes.forEach(({ gossip }) => gossip.registerSection(createSectionOfSize("big", 50_000)));
        await fleet.clock.advance(2_000);
        const before = fleet.nodes[0]!.gossip.counters().bytesSent;
        await fleet.clock.advance(10_000);
        return (fleet.nodes[0]!.gossip.counters().bytesSent - before) / 10;
    };

    it("keeps heartbeats with sections within the byte budget", async () => {
        assert.ok(await spentPerS(13, {}) <= membership.defaultBudgetBytesPerS * 1.02);
        assert.ok(await spentPerS(9, {}) <= membership.smallFleetBudgetBytesPerS * 1.02);
    });

    it("exceeds the default byte budget when configured with a larger one (shows that the check above can fail)", async () => {
        assert.ok(await spentPerS(13, { budgetBytesPerS: 1e6 }) > membership.defaultBudgetBytesPerS * 1.02);
        assert.ok(await spentPerS(9, { budgetBytesPerS: 1e6 }) > membership.smallFleetBudgetBytesPerS * 1.02);
    });

    it("sends few heartbeats in a small fleet without new content, and more with new content", async () => {
        const sentIn10S = async (fleet: ReturnType<typeof createGossipFleet>): Promise<number> => {
            const before = fleet.nodes[0]!.gossip.counters().heartbeatsSent;
            await fleet.clock.advance(10_000);
            return (fleet.nodes[0]!.gossip.counters().heartbeatsSent - before) / (fleet.nodes.length - 1);
        };
        const fleet = createGossipFleet(9);
        await fleet.clock.advance(2_000);
        const quiet = await sentIn10S(fleet);
        assert.ok(quiet >= 9 && quiet <= 12, `${quiet} rounds`);
        fleet.nodes[0]!.gossip.registerSection(createSectionOfSize("news", 100));
        const busy = await sentIn10S(fleet);
        assert.ok(busy >= 40, `${busy} rounds`);
    });

    it("encodes sections in rotation when the budget is short (guards against starvation)", async () => {
        const fleet = createGossipFleet(9);
        const sections = ["a", "b", "c", "d"].map(name => createSectionOfSize(name, 10_000));
        sections.forEach(section => fleet.nodes[0]!.gossip.registerSection(section));
        await fleet.clock.advance(20_000);
        const encodeCounts = sections.map(section => section.limits.length);
        assert.ok(
            Math.min(...encodeCounts) * 2 > Math.max(...encodeCounts),
            `encoded ${encodeCounts.join(", ")} times`,
        );
    });

    it("drops a section that exceeds its limit or throws, and sends the others", async () => {
        const faults: string[] = [];
        const fleet = createGossipFleet(3, { onSectionFault: section => faults.push(section) });
        const [sender, receiver] = [fleet.nodes[0]!.gossip, fleet.nodes[1]!.gossip];
        const section = (name: string, encode: () => Uint8Array) => ({ name, encode, apply: () => undefined });
        sender.registerSection(section("large", () => new Uint8Array(50_000)));
        sender.registerSection(section("throws", () => {
            throw new Error("broken");
        }));
        sender.registerSection(section("good", () => new Uint8Array([5])));
        const received: number[] = [];
        receiver.registerSection({
            ...section("good", () => new Uint8Array()),
            apply: (_, __, [byte]) => {
                received.push(byte ?? 0);
            },
        });
        await fleet.clock.advance(1_000);
        assert.ok(received.length > 0 && received.every(byte => byte === 5));
        assert.deepEqual([...new Set(faults)].sort(), ["large", "throws"]);
    });

    it("limits the rate of requested exchanges", async () => {
        const fleet = createGossipFleet(9);
        await fleet.clock.advance(1_000);
        const { gossip } = fleet.nodes[0]!;
        const before = gossip.counters().heartbeatsSent;
        for (let index = 0; index < 1_000; index++) {
            gossip.requestExchange();
            await fleet.clock.advance(1);
        }
        const rounds = (gossip.counters().heartbeatsSent - before) / 8;
        assert.ok(rounds <= 1_000 / membership.minExchangeGapMs, `${rounds} rounds in 1 s`);
    });

    it("announces a new document version within the minimum gap", async () => {
        const fleet = createGossipFleet(9);
        await fleet.clock.advance(1_000);
        const seen: number[] = [];
        fleet.nodes[1]!.gossip.registerPeerListener(peer => seen.push(peer.documentVersion));
        fleet.nodes[0]!.gossip.setDocument(7, "ab".repeat(32));
        const deliveryMs = 2;
        await fleet.clock.advance(membership.minExchangeGapMs + deliveryMs);
        assert.ok(seen.includes(7));
    });

    it("grows heartbeats with the fleet only by the liveness digest", async () => {
        const sizes = await Promise.all([24, 360].map(async size => {
            const fleet = createGossipFleet(size);
            await fleet.clock.advance(500);
            return Math.max(...fleet.nodes.flatMap(node => node.payloadBytes));
        }));
        assert.ok(sizes[1]! - sizes[0]! <= 90, `heartbeats of ${sizes.join(" and ")} bytes`);
        assert.ok(sizes[1]! <= 150);
    });

    it("ignores malformed heartbeats and those of an earlier run", async () => {
        const fleet = createGossipFleet(3);
        await fleet.clock.advance(1_000);
        kill(fleet, 0);
        fleet.start(core.vmId("vm-0"), 5);
        await fleet.clock.advance(1_000);
        const incarnation = () => fleet.nodes[1]!.gossip.peers().find(peer => peer.id === "vm-0")?.incarnation;
        assert.equal(incarnation(), 5);
        const old = fleet.start(core.vmId("vm-0"), 2);
        await fleet.clock.advance(1_000);
        assert.equal(incarnation(), 5);
        old.gossip.dispose();
        const unlisted = fleet.network.attach(core.vmId("unlisted"));
        await fc.assert(
            fc.asyncProperty(fc.uint8Array({ maxLength: 80 }), async bytes => {
                const reply = unlisted.call(fleet.nodes[1]!.id, "membership", bytes, 100);
                await fleet.clock.advance(10);
                await reply;
            }),
            { seed, numRuns: 100 },
        );
        assert.equal(fleet.nodes[1]!.gossip.peers().length, 2);
    });
});
