import * as core from "@peridotloft/core";
import * as fleets from "@peridotloft/fleet";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createFleetUsage } from "../../src/FleetUsage.js";
import { standaloneView } from "../../src/FleetView.js";

/** A customer and the VMs at which it enters. */
interface EnteringCustomer {
    readonly customerHash: number;
    readonly entryVms: readonly number[];
    readonly tokensPerS: number;
}

const vmCount = 78;
const tokensPerPrompt = 9_000;
const stepMs = 20;
const budgetBytesPerS = 5_000;
/** Fields of the messages in which VMs exchange usage. */
const usageFields: ReadonlySet<number> = new Set([9, 10]);
/** Factor by which a VM may misjudge usage: with more, two customers of equal usage look like one with half of the other's. */
const maxFactor = 1.5;

const everyNth = (step: number): readonly number[] =>
    Array.from({ length: vmCount }, (_, index) => index).filter(index => index % step === 0);

const customers: readonly EnteringCustomer[] = [
    { customerHash: core.hash32("everywhere"), entryVms: everyNth(1), tokensPerS: 2_000_000 },
    { customerHash: core.hash32("half"), entryVms: everyNth(2), tokensPerS: 1_200_000 },
    { customerHash: core.hash32("third"), entryVms: everyNth(3), tokensPerS: 800_000 },
    { customerHash: core.hash32("single"), entryVms: [41], tokensPerS: 2_400_000 },
];
/** Light customers, whose usage is announced beside. */
const lightCustomers = Array.from({ length: 26 }, (_, index): EnteringCustomer => ({
    customerHash: core.hash32(`light-${index}`),
    entryVms: everyNth(1),
    tokensPerS: 45_000,
}));
const allCustomers = [...customers, ...lightCustomers];
/** Questions per second with which each VM asks trackers, and the engines that they are about. */
const questionsPerS = 10;
const engineHashes = Array.from({ length: 50 }, (_, index) => core.hash32(`engine-${index}`));
const question: fleets.TrackerQuestion = {
    upstreamHash: 0,
    sharedParts: [{ hash: 0xfffffff1, tokens: 4_000 }, { hash: 0xfffffff2, tokens: 2_000 }],
    ownTokens: 3_000,
    longestWaitMs: 300,
    maxSlotShare: 1,
    runMs: 1_500,
    isSpillover: false,
    statedLimit: undefined,
    learnedRate: undefined,
};
const tracker: fleets.Tracker = {
    answer: () => ({
        granted: true,
        ejected: false,
        limited: false,
        statedLimit: undefined,
        learnedRate: undefined,
        otherQueues: [],
        unreadTokens: 20_000,
        newTokens: 3_000,
        running: 8,
        slowness: 1.2,
        ticket: 1_000,
    }),
    recordReport: () => undefined,
    recordLimit: () => undefined,
};

/** VMs that exchange usage with the bandwidth of production, and how much of each customer they used themselves. */
async function createUsageFleet(seed: number, lossShare = 0) {
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(seed);
    let totalBytes = 0;
    const usageBytes = new Map<string, number>();
    const network = testing.createDatagramNetwork({
        clock,
        delayMs(from, _to, bytes) {
            const sizeBytes = bytes.length + 42;
            totalBytes += sizeBytes;
            if (usageFields.has(bytes[0]! >> 3)) {
                usageBytes.set(from, (usageBytes.get(from) ?? 0) + sizeBytes);
            }
            return random() < lossShare ? undefined : 1 + random();
        },
    });
    const addresses = Array.from({ length: vmCount }, (_, index) => `10.0.0.${index + 1}`);
    const logs = addresses.map(() => testing.createRecordingLog());
    function startVm(index: number, incarnation: bigint) {
        const address = addresses[index]!;
        const node = fleets.createFleetNode({
            address,
            zone: core.zoneId(`z${index % 3}`),
            seeds: addresses.slice(0, 3),
            incarnation,
            socket: network.openSocket(address),
            clock,
            random,
            log: logs[index]!,
            metrics: testing.createNoopMetrics(),
        });
        node.registerTracker(tracker);
        node.start();
        return { node, usage: createFleetUsage({ clock, fleet: node }) };
    }

    const vms = addresses.map((_, index) => startVm(index, 1n));
    // Exact usage of each customer over the whole fleet.
    const truth = createFleetUsage({ clock, fleet: standaloneView });
    const stopped = new Set<number>();
    /** Times in ms from which VMs that have started again are judged. */
    const judgedFromMs = new Map<number, number>();
    let nextDueMs: number[] = [];

    function charge({ customerHash, entryVms }: EnteringCustomer): void {
        const entries = entryVms.filter(index => !stopped.has(index));
        const vm = vms[entries[Math.floor(random() * entries.length)]!]!;
        truth.record(customerHash, tokensPerPrompt, clock.nowMs());
        vm.usage.record(customerHash, tokensPerPrompt, clock.nowMs());
        vm.node.announceUsage({ customerHash, cost: tokensPerPrompt });
    }

    /** The factors, 1 or more, by which VMs misjudge the customers that enter there. */
    function factors(): readonly { readonly usage: number; readonly relative: number; }[] {
        const nowMs = clock.nowMs();
        const factorOf = (believed: number, exact: number): number => Math.max(believed / exact, exact / believed);
        return customers.flatMap(({ customerHash, entryVms }) =>
            entryVms.filter(index => !stopped.has(index) && nowMs >= (judgedFromMs.get(index) ?? 0)).map(index => ({
                usage: factorOf(vms[index]!.usage.tokens(customerHash, nowMs), truth.tokens(customerHash, nowMs)),
                relative: factorOf(
                    vms[index]!.usage.relative(customerHash, nowMs),
                    truth.relative(customerHash, nowMs),
                ),
            }))
        );
    }

    await clock.advance(30_000);
    nextDueMs = allCustomers.map(() => clock.nowMs());
    return {
        /** Uses engines at the stated rates; resolves with the worst factors at any time later than `settlingMs`. */
        async run(durationMs: number, settlingMs: number) {
            const endMs = clock.nowMs() + durationMs;
            const settledMs = clock.nowMs() + settlingMs;
            const worst = { usage: 1, relative: 1 };
            while (clock.nowMs() < endMs) {
                allCustomers.forEach((customer, index) => {
                    const meanGapMs = (1_000 * tokensPerPrompt) / customer.tokensPerS;
                    for (; nextDueMs[index]! <= clock.nowMs(); nextDueMs[index]! += 2 * random() * meanGapMs) {
                        charge(customer);
                    }
                });
                vms.filter((_, index) => !stopped.has(index) && random() < questionsPerS * stepMs / 1_000).forEach((
                    { node },
                ) => void node.askTracker({
                    ...question,
                    upstreamHash: engineHashes[Math.floor(random() * engineHashes.length)]!,
                }));
                await clock.advance(stepMs);
                if (clock.nowMs() >= settledMs) {
                    factors().forEach(({ usage, relative }) => {
                        worst.usage = Math.max(worst.usage, usage);
                        worst.relative = Math.max(worst.relative, relative);
                    });
                }
            }
            return worst;
        },
        /** Bytes that VMs sent in reports and tables of usage. */
        usageBytes,
        meanBytes: (): number => totalBytes / vmCount,
        resetBytes(): void {
            totalBytes = 0;
            usageBytes.clear();
        },
        /** Index of the VM to which most report usage. */
        collector(): number {
            const chosen = logs.flatMap(({ lines }) =>
                lines.findLast(({ event }) => event === "usage-collector") ?? []
            );
            const counts = addresses.map(address =>
                chosen.filter(({ fields }) => fields["collector"] === address).length
            );
            return counts.indexOf(Math.max(...counts));
        },
        stop(index: number): void {
            stopped.add(index);
            vms[index]!.node.dispose();
        },
        /** Replaces a VM by one without state. */
        restart(index: number): void {
            vms[index]!.node.dispose();
            vms[index] = startVm(index, 2n);
            judgedFromMs.set(index, clock.nowMs() + 2_000);
        },
        dispose: (): void => vms.forEach(({ node, usage }) => (node.dispose(), usage.dispose())),
    };
}

const assertAgreement = (worst: { readonly usage: number; readonly relative: number; }): void =>
    assert.ok(worst.usage <= maxFactor && worst.relative <= maxFactor, JSON.stringify(worst));

describe("FleetUsage in a fleet of 78 VMs", () => {
    for (const [seed, lossShare] of [[1, 0], [2, 0.05]] as const) {
        it(`agrees on usage 2 s after the load is steady, with ${lossShare} of the datagrams lost`, async () => {
            const fleet = await createUsageFleet(seed, lossShare);
            const worst = await fleet.run(6_000, 2_000);
            fleet.dispose();
            assertAgreement(worst);
        });
    }

    it("keeps the bandwidth limit, of which no VM uses more than half for usage", async () => {
        const fleet = await createUsageFleet(1);
        // The idle time before has accumulated bandwidth for one second of announcements.
        await fleet.run(2_000, 2_000);
        fleet.resetBytes();
        const seconds = 6;
        await fleet.run(seconds * 1_000, 0);
        fleet.dispose();
        const meanBytesPerS = fleet.meanBytes() / seconds;
        assert.ok(meanBytesPerS <= budgetBytesPerS * 1.02, `${meanBytesPerS} bytes/s`);
        fleet.usageBytes.forEach((bytes, address) =>
            assert.ok(bytes <= (budgetBytesPerS / 2) * seconds, `${address}: ${bytes} bytes of usage`)
        );
    });

    for (const kind of ["stop", "restart"] as const) {
        it(`goes on to agree after a ${kind} of the VM that adds up usage`, async () => {
            const fleet = await createUsageFleet(3);
            await fleet.run(6_000, 6_000);
            const collector = fleet.collector();
            fleet[kind](collector);
            const worst = await fleet.run(5_000, 0);
            const next = fleet.collector();
            fleet.dispose();
            assertAgreement(worst);
            assert.equal(next === collector, kind === "restart");
        });
    }
});
