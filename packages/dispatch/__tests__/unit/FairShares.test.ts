import * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { startDispatcherVms } from "./DispatcherVms.js";
import { fleetChanges, pool, prefillTokensPerMs, route } from "./EngineFixtures.js";

const vmCount = 40;
const engineCount = 16;
const slotsPerEngine = 12;
const runMs = 400;
const prompt = { sharedTokens: 300, ownTokens: 2_700 };
const inputTokens = prompt.sharedTokens + prompt.ownTokens;
const firstEventDelayMs = 70;
/** Demand of each customer as a multiple of the capacity of all engines; twice the capacity together. */
const demands = [0.9, 0.4, 0.25, 0.2, 0.15, 0.06, 0.03, 0.01];
/** Customer whose callers all enter at the first VM. */
const singleVmCustomer = 3;
const sessionsPerCustomer = 12;

/** Mean time in ms between prompts at the capacity of all engines, of their prefill or of their slots. */
const meanGapMs = Math.max(
    prompt.ownTokens / prefillTokensPerMs,
    (prompt.ownTokens / prefillTokensPerMs + firstEventDelayMs + runMs) / slotsPerEngine,
) / engineCount;

interface Counts {
    asked: number;
    begun: number;
    /** Refusals while less than half of all slots were taken. */
    refusedIdle: number;
}

/** Offers prompts of customers to a fleet; resolves with the counts of each customer in the last 6 s. */
async function serve(seed: number): Promise<readonly Counts[]> {
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(seed);
    const log = testing.createRecordingLog();
    const metrics = testing.createNoopMetrics();
    const network = testing.createDatagramNetwork({ clock, delayMs: () => 1 });
    const snapshot = core.createSnapshotCell(
        catalog.applyChanges(catalog.emptySnapshot, fleetChanges(engineCount, slotsPerEngine), clock.nowMs()),
    );
    const { nodes, dispatchers: vms } = await startDispatcherVms({
        vms: vmCount,
        clock,
        random,
        log,
        metrics,
        snapshot,
        network,
    });

    const cached = new Set<string>();
    const freeAtMs = new Map<core.UpstreamId, number>();
    let counts = demands.map((): Counts => ({ asked: 0, begun: 0, refusedIdle: 0 }));
    let number = 0;
    let takenSlots = 0;

    async function offer(customer: number): Promise<void> {
        const count = counts[customer]!;
        count.asked++;
        const session = `${customer}-${Math.floor(random() * sessionsPerCustomer)}`;
        const arrivedMs = clock.nowMs();
        const requestNumber = ++number;
        const lease = await vms[customer === singleVmCustomer ? 0 : Math.floor(random() * vmCount)]!.acquire(
            {
                requestId: core.requestId(`r${requestNumber}`),
                route,
                pool,
                customer: core.customerId(`c${customer}`),
                priority: 1,
                prompt: {
                    model: "m",
                    inputTokens,
                    maxOutputTokens: 50,
                    parts: [
                        { id: `session-${session}`, tokens: prompt.sharedTokens },
                        { id: `own-${requestNumber}`, tokens: prompt.ownTokens },
                    ],
                },
                arrivedMs,
                deadlineMs: () => arrivedMs + route.timeoutMs,
                fingerprint: () => requestNumber,
            },
            new Set(),
            false,
        );
        if (lease.isErr()) {
            count.refusedIdle += takenSlots < (engineCount * slotsPerEngine) / 2 ? 1 : 0;
            return;
        }
        count.begun++;
        takenSlots++;
        const { id } = lease.value.upstream;
        const isCached = cached.has(`${id} ${session}`);
        cached.add(`${id} ${session}`);
        const prefillMs = ((isCached ? 0 : prompt.sharedTokens) + prompt.ownTokens) / prefillTokensPerMs;
        const prefilledMs = Math.max(freeAtMs.get(id) ?? 0, clock.nowMs()) + prefillMs;
        freeAtMs.set(id, prefilledMs);
        clock.setTimer(prefilledMs + firstEventDelayMs - clock.nowMs(), () => {
            lease.value.recordFirstByte();
            clock.setTimer(runMs, () => {
                takenSlots--;
                lease.value.end("ok");
            });
        });
    }

    const nextMs = demands.map(() => clock.nowMs());
    async function run(durationMs: number): Promise<void> {
        const endMs = clock.nowMs() + durationMs;
        while (clock.nowMs() < endMs) {
            demands.forEach((demand, customer) => {
                for (; nextMs[customer]! <= clock.nowMs(); nextMs[customer]! += (2 * random() * meanGapMs) / demand) {
                    void offer(customer);
                }
            });
            await clock.advance(2);
        }
    }
    await run(8_000);
    counts = demands.map(() => ({ asked: 0, begun: 0, refusedIdle: 0 }));
    await run(6_000);
    const result = counts;
    vms.forEach(vm => vm.dispose());
    nodes.forEach(node => node.dispose());
    return result;
}

describe("Shares of customers at twice the capacity", () => {
    for (const seed of [1, 2, 3]) {
        it(`are half of the demand, or of what the best served customer gets, or more; light ones get all, seed ${seed}`, async () => {
            const counts = await serve(seed);
            const best = Math.max(...counts.map(({ begun }) => begun));
            const shown = counts.map(({ asked, begun }) => `${begun}/${asked}`).join(" ");
            counts.forEach(({ asked, begun }, customer) => {
                assert.ok(begun >= Math.min(asked, best) / 2, `c${customer}: ${shown}`);
                // The level of max-min shares is above 0.2 of the capacity.
                assert.ok(demands[customer]! > 0.1 || begun >= asked * 0.95, `c${customer}: ${shown}`);
            });
            const refusedIdle = counts.reduce((sum, count) => sum + count.refusedIdle, 0);
            assert.equal(refusedIdle, 0, `${refusedIdle} refused while under half of the slots were taken: ${shown}`);
        });
    }
});
