import * as core from "@peridotloft/core";
import * as testing from "@peridotloft/testing";
import * as fc from "fast-check";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { decodeAnnouncement, encodeAnnouncement, type Placement } from "../../src/Announcement.js";
import * as fleet from "../../src/index.js";

const placement = (upstreamHash: number): Placement => ({
    upstreamHash,
    newTokens: 2_890,
    sessionHash: 0xfedcba98,
    customerHash: 0x12345678,
    cost: 9_500,
});

/** VMs joined by a network that can lose datagrams. */
function createNetwork(size: number, seedCount: number, budgetBytesPerS?: number) {
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(7);
    const receivers = new Map<string, (bytes: Uint8Array, from: string) => void>();
    const sentBytes = new Map<string, number>();
    const cut = new Set<string>();
    let lossShare = 0;
    const addresses = Array.from({ length: size }, (_, index) => `10.0.${index >> 8}.${index & 255}`);
    const nodes = addresses.map(address =>
        fleet.createFleetNode({
            address,
            zone: core.zoneId(`z${Number(address.split(".").at(-1)) % 3}`),
            seeds: addresses.slice(0, seedCount),
            incarnation: 1n,
            socket: {
                send(bytes, to) {
                    sentBytes.set(address, (sentBytes.get(address) ?? 0) + bytes.length + 42);
                    if (!cut.has(address) && !cut.has(to) && random() >= lossShare) {
                        clock.setTimer(1, () => receivers.get(to)?.(bytes, address));
                    }
                },
                onMessage: receive => void receivers.set(address, receive),
                close: () => void receivers.delete(address),
            },
            clock,
            random,
            log: testing.createRecordingLog(),
            metrics: testing.createNoMetrics(),
            ...(budgetBytesPerS === undefined ? {} : { budgetBytesPerS }),
        })
    );
    nodes.forEach(node => node.start());
    return {
        clock,
        nodes,
        addresses,
        cut,
        sentBytes,
        lose: (share: number): void => void (lossShare = share),
    };
}

describe("FleetNode", () => {
    it("finds all VMs from one seed, although datagrams are lost", async () => {
        const { clock, nodes, lose } = createNetwork(9, 1);
        lose(0.2);
        await clock.advance(5_000);
        nodes.forEach(node => assert.equal(node.vmCount(), 9));
    });

    it("counts a VM that was cut off as gone after 3 s, and again when it is back", async () => {
        const { clock, nodes, cut, addresses } = createNetwork(6, 2);
        await clock.advance(3_000);
        cut.add(addresses[0]!);
        await clock.advance(3_700);
        assert.equal(nodes[1]!.vmCount(), 5);
        assert.equal(nodes[0]!.vmCount(), 1);
        cut.clear();
        await clock.advance(1_500);
        assert.equal(nodes[0]!.vmCount(), 6);
    });

    it("agrees on two VMs of each zone that read the store, and on others when they are gone", async () => {
        const { clock, nodes, cut, addresses } = createNetwork(12, 1);
        await clock.advance(5_000);
        const readersOf = (zone: number) =>
            nodes.flatMap((node, index) =>
                index % 3 === zone && !cut.has(addresses[index]!) ? [node.storeReaders()] : []
            );
        const before = readersOf(1);
        assert.equal(before[0]?.length, 2);
        before.forEach(readers => assert.deepEqual(readers, before[0]));
        before[0]?.forEach(address => cut.add(address));
        await clock.advance(4_000);
        const after = readersOf(1);
        assert.equal(after.length, 2);
        after.forEach(readers => {
            assert.deepEqual(readers, after[0]);
            assert.ok(readers.every(address => !cut.has(address)));
        });
    });

    it("tells all VMs of a small fleet of each placement within 150 ms", async () => {
        const { clock, nodes } = createNetwork(6, 1);
        await clock.advance(3_000);
        const heard = new Map<number, number>();
        nodes.slice(1).forEach((node, index) =>
            node.registerListener((_, weight) => void heard.set(index, (heard.get(index) ?? 0) + weight))
        );
        nodes[0]!.announce(placement(1));
        await clock.advance(150);
        assert.deepEqual([...heard.values()], [1, 1, 1, 1, 1]);
    });

    it("tells all VMs of a crash, although datagrams are lost", async () => {
        const { clock, nodes, lose } = createNetwork(9, 1);
        await clock.advance(3_000);
        lose(0.3);
        const heard = new Set<number>();
        nodes.slice(1).forEach((node, index) => node.registerCrashListener(() => void heard.add(index)));
        nodes[0]!.announceCrash({ fingerprint: 1, upstreamHash: 2 });
        await clock.advance(1_000);
        assert.equal(heard.size, 8);
    });

    it("keeps to its budget in a large fleet, and weighs what is heard so that sums stay right", async () => {
        const size = 120;
        const budgetBytesPerS = 5_000;
        const { clock, nodes, sentBytes } = createNetwork(size, 3, budgetBytesPerS);
        await clock.advance(30_000);
        assert.ok(nodes[5]!.vmCount() > size * 0.9, `${nodes[5]!.vmCount()} of ${size} known`);
        sentBytes.clear();
        let weights = 0;
        const listeners = nodes.slice(1);
        listeners.forEach(node => node.registerListener((_, weight) => weights += weight));
        const seconds = 10;
        const placements = 20 * seconds;
        for (let i = 0; i < placements; i++) {
            nodes[0]!.announce(placement(i));
            await clock.advance(50);
        }
        const mean = weights / listeners.length;
        assert.ok(Math.abs(mean / placements - 1) < 0.2, `${mean} heard of ${placements}`);
        sentBytes.forEach((bytes, address) =>
            assert.ok(bytes <= budgetBytesPerS * (seconds + 1), `${address}: ${bytes} bytes`)
        );
    });
});

describe("Announcement", () => {
    it("reads what it wrote", () => {
        const announcement = {
            incarnation: 1_765_000_000_000n,
            sampling: 0.25,
            placements: [placement(1), placement(0xffffffff)],
            crashMarks: [{ fingerprint: 5, upstreamHash: 6 }],
            members: ["10.1.0.33", "255.0.1.254"],
            zoneHash: 42,
        };
        assert.deepEqual(decodeAnnouncement(encodeAnnouncement(announcement)), announcement);
    });

    it("takes any bytes without failing", () => {
        fc.assert(
            fc.property(fc.uint8Array({ maxLength: 200 }), bytes => void decodeAnnouncement(bytes)),
            { seed: 11, numRuns: 500 },
        );
    });
});
