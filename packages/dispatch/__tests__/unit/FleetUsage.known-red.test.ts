import * as core from "@peridotloft/core";
import * as fleets from "@peridotloft/fleet";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createFleetUsage } from "../../src/FleetUsage.js";

/** A customer and the VMs at which it enters. */
interface EnteringCustomer {
    readonly customerHash: number;
    readonly entryVms: readonly number[];
    readonly tokensPerS: number;
}

const vmCount = 78;
const tokensPerPrompt = 9_000;
const stepMs = 20;
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
};
const tracker: fleets.Tracker = {
    answer: () => ({
        granted: true,
        ejected: false,
        limited: false,
        statedLimit: undefined,
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
    const sentBytes = new Map<string, number>();
    const network = testing.createDatagramNetwork({
        clock,
        delayMs(from, _to, bytes) {
            sentBytes.set(from, (sentBytes.get(from) ?? 0) + bytes.length + 42);
            return random() < lossShare ? undefined : 1 + random();
        },
    });
    const addresses = Array.from({ length: vmCount }, (_, index) => `10.0.0.${index + 1}`);
    const vms = addresses.map((address, index) => {
        const node = fleets.createFleetNode({
            address,
            zone: core.zoneId(`z${index % 3}`),
            seeds: addresses.slice(0, 3),
            incarnation: 1n,
            socket: network.openSocket(address),
            clock,
            random,
            log: testing.createRecordingLog(),
            metrics: testing.createNoopMetrics(),
        });
        node.registerTracker(tracker);
        node.start();
        return { address, node, usage: createFleetUsage({ clock, fleet: node }) };
    });
    // Exact usage of each customer over the whole fleet.
    const truth = createFleetUsage({ clock, fleet: { ...vms[0]!.node, registerUsageListener: () => () => undefined } });
    const stopped = new Set<number>();
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
            entryVms.filter(index => !stopped.has(index)).map(index => ({
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
    sentBytes.clear();
    return {
        sentBytes,
        vms,
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
        stop(indexes: readonly number[]): void {
            indexes.forEach(index => {
                stopped.add(index);
                vms[index]!.node.dispose();
            });
        },
        dispose: (): void => vms.forEach(({ node, usage }) => (node.dispose(), usage.dispose())),
    };
}

describe("FleetUsage in a fleet of 78 VMs", () => {
    for (const [seed, lossShare] of [[1, 0], [2, 0.05]] as const) {
        it(`agrees on usage 2 s after the load is steady, with ${lossShare} of the datagrams lost`, async () => {
            const fleet = await createUsageFleet(seed, lossShare);
            const seconds = 6;
            const worst = await fleet.run(seconds * 1_000, 2_000);
            fleet.dispose();
            assert.ok(worst.usage <= maxFactor && worst.relative <= maxFactor, JSON.stringify(worst));
            // The first second may spend what an idle second has left.
            fleet.sentBytes.forEach((bytes, address) =>
                assert.ok(bytes <= 5_000 * (seconds + 1), `${address}: ${bytes} bytes`)
            );
        });
    }
});
