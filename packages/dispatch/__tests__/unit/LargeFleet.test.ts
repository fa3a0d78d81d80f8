import * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";
import * as fleets from "@peridotloft/fleet";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as dispatch from "../../src/index.js";
import { fleetChanges, pool, prefillTokensPerMs, route } from "./EngineFixtures.js";

const longPrompt = { sharedTokens: 6_300, ownTokens: 2_890 };
const shortPrompt = { sharedTokens: 200, ownTokens: 100 };
/** Time in ms from the end of the prefill of a prompt to its first event. */
const firstEventDelayMs = 70;

interface FleetSizes {
    readonly vms: number;
    readonly engines: number;
    readonly sessions: number;
    readonly customers: number;
    /** Load relative to the capacity of the engines if each session is cached by one engine only. */
    readonly load: number;
    /** Slots of an engine, and the time in ms from a prompt's first event to its last. */
    readonly slots?: number;
    readonly runMs?: number;
    /** Share of the requests moved to the customer "c0", in addition to those of its own sessions. */
    readonly heavyShare?: number;
    /** Share of the attempts of the customer "c0" that their engines shed; the caller then tries again. */
    readonly shedShare?: number;
    /** Requests per second that a cold engine accepts from all VMs. */
    readonly coldRatePerS?: number;
    readonly prompt?: typeof longPrompt;
}

/** Time in ms until an engine sheds an attempt. */
const shedDelayMs = 5;

const jobOf = (
    number: number,
    session: number,
    customer: string,
    arrivedMs: number,
    { sharedTokens, ownTokens }: typeof longPrompt,
): dispatch.Job => ({
    requestId: core.requestId(`r${number}`),
    route,
    pool,
    customer: core.customerId(customer),
    priority: 1,
    prompt: {
        model: "m",
        inputTokens: sharedTokens + ownTokens,
        maxOutputTokens: 50,
        parts: [{ id: `session-${session}`, tokens: sharedTokens }, { id: `own-${number}`, tokens: ownTokens }],
    },
    arrivedMs,
    deadlineMs: () => arrivedMs + route.timeoutMs,
    fingerprint: () => number,
});

/** Dispatchers of a fleet, and engines that prefill one prompt at a time. */
async function createFleet(
    sizes: FleetSizes,
    seed: number,
) {
    const { vms, engines, sessions, customers, load, slots = 128, runMs = 300 } = sizes;
    const { heavyShare = 0, shedShare = 0, coldRatePerS = 0, prompt = longPrompt } = sizes;
    const { sharedTokens, ownTokens } = prompt;
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(seed);
    const log = testing.createRecordingLog();
    const metrics = testing.createNoopMetrics();
    const network = testing.createDatagramNetwork({ clock, delayMs: () => 1 });
    const addresses = Array.from({ length: vms }, (_, index) => `10.0.0.${index + 1}`);
    const snapshot = core.createSnapshotCell(catalog.applyChanges(
        catalog.emptySnapshot,
        fleetChanges(engines, slots, coldRatePerS),
        clock.nowMs(),
    ));
    const nodes = addresses.map((address, index) =>
        fleets.createFleetNode({
            address,
            zone: core.zoneId(`z${index % 3}`),
            seeds: addresses.slice(0, 2),
            incarnation: 1n,
            socket: network.openSocket(address),
            clock,
            random,
            log,
            metrics,
        })
    );
    const dispatchers = nodes.map(fleet =>
        dispatch.createDispatcher({ clock, random, catalog: snapshot, fleet, log, metrics })
    );
    nodes.forEach(node => node.start());
    await clock.advance(6_000);

    const engineFreeAtMs = new Map<core.UpstreamId, number>();
    const cachedPrefixes = new Set<string>();
    const counts = { offered: 0, refused: 0, onTime: 0, prefilledAgain: 0 };
    const countsByCustomer = new Map<string, { offered: number; onTime: number; }>();
    const refusals: { readonly customer: string; readonly reason: string; }[] = [];
    const prefilledSessions = new Set<number>();
    /** Times in ms at which prompts arrived at cold engines. */
    const coldArrivalsMs = new Map<core.UpstreamId, number[]>();

    async function offer(number: number): Promise<void> {
        const drawn = Math.floor(random() * sessions);
        const session = random() < heavyShare ? drawn - (drawn % customers) : drawn;
        const customer = `c${session % customers}`;
        counts.offered++;
        const customerCounts = countsByCustomer.get(customer) ?? { offered: 0, onTime: 0 };
        countsByCustomer.set(customer, customerCounts);
        customerCounts.offered++;
        return send(number, session, customer, customerCounts);
    }

    async function send(
        number: number,
        session: number,
        customer: string,
        customerCounts: { onTime: number; },
    ): Promise<void> {
        const arrivedMs = clock.nowMs();
        const vm = dispatchers[Math.floor(random() * vms)]!;
        const lease = await vm.acquire(jobOf(number, session, customer, arrivedMs, prompt), new Set(), false);
        if (lease.isErr()) {
            counts.refused++;
            refusals.push({ customer, reason: lease.error.reason });
            return;
        }
        if (customer === "c0" && random() < shedShare) {
            clock.setTimer(shedDelayMs, () => {
                lease.value.end("shed");
                void send(number, session, customer, customerCounts);
            });
            return;
        }
        const { id } = lease.value.upstream;
        coldArrivalsMs.get(id)?.push(clock.nowMs());
        const isCached = cachedPrefixes.has(`${id} ${session}`);
        counts.prefilledAgain += !isCached && prefilledSessions.has(session) ? 1 : 0;
        cachedPrefixes.add(`${id} ${session}`);
        prefilledSessions.add(session);
        const prefillMs = ((isCached ? 0 : sharedTokens) + ownTokens) / prefillTokensPerMs;
        const prefilledAtMs = Math.max(engineFreeAtMs.get(id) ?? 0, clock.nowMs()) + prefillMs;
        engineFreeAtMs.set(id, prefilledAtMs);
        clock.setTimer(prefilledAtMs + firstEventDelayMs - clock.nowMs(), () => {
            lease.value.recordFirstByte();
            const isOnTime = clock.nowMs() - arrivedMs <= route.objectiveMs ? 1 : 0;
            counts.onTime += isOnTime;
            customerCounts.onTime += isOnTime;
            clock.setTimer(runMs, () => lease.value.end("ok"));
        });
    }

    /** Restarts the first engines, which are cold for a time, under new ids. */
    function restartEngines(count: number, coldMs: number): void {
        const changes = [...snapshot.read().upstreams.values()].slice(0, count).flatMap(
            (upstream, index): catalog.PositionedChange[] => {
                const position = { era: 0, revision: 1_000 + index };
                const id = core.upstreamId(`cold-${index}`);
                coldArrivalsMs.set(id, []);
                return [
                    {
                        item: `servers/${upstream.id}`,
                        position,
                        change: { kind: "upstream-removed", id: upstream.id },
                    },
                    {
                        item: `servers/${id}`,
                        position,
                        change: { kind: "upstream", upstream: { ...upstream, id, coldLeftMs: coldMs } },
                    },
                ];
            },
        );
        snapshot.update(current => catalog.applyChanges(current, changes, clock.nowMs()));
    }

    return {
        counts,
        countsByCustomer,
        refusals,
        coldArrivalsMs,
        restartEngines,
        /** Offers prompts as a Poisson process. */
        async run(durationMs: number, offeredLoad = load): Promise<void> {
            const prefillMs = ownTokens / prefillTokensPerMs;
            const meanGapMs = Math.max(prefillMs, (prefillMs + firstEventDelayMs + runMs) / slots) / engines
                / offeredLoad;
            const endMs = clock.nowMs() + durationMs;
            for (let number = 0; clock.nowMs() < endMs; number++) {
                void offer(number);
                await clock.advance(-Math.log(1 - random()) * meanGapMs);
            }
            await clock.advance(2_000);
        },
        resetCounts(): void {
            Object.assign(counts, { offered: 0, refused: 0, onTime: 0, prefilledAgain: 0 });
            countsByCustomer.clear();
            refusals.length = 0;
        },
        dispose(): void {
            dispatchers.forEach(dispatcher => dispatcher.dispose());
            nodes.forEach(node => node.dispose());
        },
    };
}

describe("Dispatcher in a large fleet", () => {
    it("reuses the engine that has a session cached and meets the objective at 75 % of the prefill capacity", async () => {
        const fleet = await createFleet({ vms: 30, engines: 24, sessions: 360, customers: 30, load: 0.75 }, 5);
        // Warm-up in which each session is prefilled once.
        await fleet.run(8_000);
        fleet.resetCounts();
        await fleet.run(6_000);
        fleet.dispose();
        const { offered, refused, onTime, prefilledAgain } = fleet.counts;
        assert.ok(onTime >= offered * 0.95, `${onTime} of ${offered} on time, ${refused} refused`);
        assert.ok(prefilledAgain <= offered * 0.05, `${prefilledAgain} of ${offered} sessions prefilled again`);
    });

    it("serves light customers in full while one customer demands more than half of the capacity", async () => {
        const engines = 24;
        const durationMs = 6_000;
        const seeds = [6, 7, 8, 9, 10, 11, 12, 13];
        let totalOnTime = 0;
        for (const seed of seeds) {
            const fleet = await createFleet(
                { vms: 30, engines, sessions: 360, customers: 30, load: 1.4, heavyShare: 0.5 },
                seed,
            );
            await fleet.run(8_000);
            fleet.resetCounts();
            await fleet.run(durationMs);
            fleet.dispose();
            totalOnTime += fleet.counts.onTime;
            fleet.countsByCustomer.forEach((customerCounts, id) =>
                assert.ok(
                    id === "c0" || customerCounts.onTime >= customerCounts.offered * 0.9,
                    `seed ${seed}, ${id}: ${customerCounts.onTime} of ${customerCounts.offered}`,
                )
            );
        }
        const onTime = totalOnTime / seeds.length;
        const capacity = (durationMs * engines * prefillTokensPerMs) / longPrompt.ownTokens;
        assert.ok(onTime >= capacity * 0.9, `${Math.round(onTime)} of ${Math.round(capacity)} on time`);
    });

    it("does not refuse light customers for want of slots while one customer demands more than half of them", async () => {
        const seeds = [14, 15];
        let light = { offered: 0, onTime: 0 };
        for (const seed of seeds) {
            const fleet = await createFleet(
                {
                    vms: 30,
                    engines: 24,
                    sessions: 360,
                    customers: 30,
                    load: 1.4,
                    slots: 12,
                    runMs: 1_500,
                    heavyShare: 0.5,
                },
                seed,
            );
            await fleet.run(8_000);
            fleet.resetCounts();
            await fleet.run(6_000);
            fleet.dispose();
            fleet.countsByCustomer.forEach(({ offered, onTime }, id) => {
                light = id === "c0" ? light : { offered: light.offered + offered, onTime: light.onTime + onTime };
            });
        }
        assert.ok(light.onTime >= light.offered * 0.9, `${light.onTime} of ${light.offered} on time`);
    });

    it("serves a customer whose attempts engines shed no less than half as much as customers with the same demand", async () => {
        const seeds = [16, 17, 18];
        for (const seed of seeds) {
            const fleet = await createFleet(
                { vms: 9, engines: 6, sessions: 120, customers: 4, load: 1.8, shedShare: 0.75 },
                seed,
            );
            await fleet.run(8_000);
            fleet.resetCounts();
            await fleet.run(6_000);
            fleet.dispose();
            const shareOnTime = (id: string): number => {
                const { offered, onTime } = fleet.countsByCustomer.get(id)!;
                return onTime / offered;
            };
            const best = Math.max(...["c1", "c2", "c3"].map(shareOnTime));
            assert.ok(shareOnTime("c0") >= best / 2, `seed ${seed}: ${shareOnTime("c0")}, another customer ${best}`);
        }
    });

    describe("refuses prompts as", () => {
        async function refusalsOf(sizes: Pick<FleetSizes, "customers" | "load" | "heavyShare">) {
            const fleet = await createFleet({ vms: 9, engines: 6, sessions: 120, ...sizes }, 20);
            await fleet.run(8_000);
            fleet.resetCounts();
            await fleet.run(6_000);
            fleet.dispose();
            return fleet.refusals;
        }

        it("over the share of the customer that demands more than half of the capacity, and of no light customer", async () => {
            const refusals = await refusalsOf({ customers: 30, load: 1.4, heavyShare: 0.5 });
            const overShare = refusals.filter(({ reason }) => reason === "over-share");
            const heavy = refusals.filter(({ customer }) => customer === "c0");
            assert.ok(overShare.length > heavy.length / 2, `${overShare.length} of ${heavy.length}`);
            assert.ok(overShare.every(({ customer }) => customer === "c0"));
        });

        it("an overload if there is no other customer", async () => {
            const refusals = await refusalsOf({ customers: 1, load: 1.8 });
            assert.ok(refusals.length > 0 && refusals.every(({ reason }) => reason === "overloaded"));
        });
    });

    describe("while most engines are cold", () => {
        const coldRatePerS = 15;
        const coldMs = 3_000;
        // The bounds of the rule on cold upstreams.
        const coldOvershoot = 1.5;
        const coldSlack = 5;
        const uncachedPerS = (prefillTokensPerMs * 1_000) / (longPrompt.sharedTokens + longPrompt.ownTokens);

        function checkLimit(coldArrivalsMs: ReadonlyMap<core.UpstreamId, readonly number[]>, ratePerS: number): void {
            coldArrivalsMs.forEach((times, id) =>
                times.forEach(startMs => {
                    const within = times.filter(atMs => atMs >= startMs && atMs < startMs + 1_000).length;
                    assert.ok(within <= ratePerS * coldOvershoot + coldSlack, `${id}: ${within} in one second`);
                })
            );
        }

        for (const vms of [9, 60]) {
            it(`does not leave the cold engines idle while prompts are refused, and keeps within their limit, ${vms} VMs`, async () => {
                const fleet = await createFleet(
                    { vms, engines: 6, sessions: 120, customers: 30, load: 0.8, coldRatePerS },
                    19,
                );
                await fleet.run(6_000);
                fleet.restartEngines(5, coldMs);
                fleet.resetCounts();
                await fleet.run(coldMs);
                fleet.dispose();
                const { offered, refused } = fleet.counts;
                assert.ok(refused > 0, "the warm engine has capacity for all");
                fleet.coldArrivalsMs.forEach((times, id) => {
                    const perS = times.length / (coldMs / 1_000);
                    assert.ok(perS >= uncachedPerS / 2, `${id}: ${perS}/s, ${refused} of ${offered} refused`);
                });
                checkLimit(fleet.coldArrivalsMs, coldRatePerS);
            });
        }

        it("sends a cold engine no more than its limit when all VMs of a large fleet turn to it at once", async () => {
            const ratePerS = 16;
            const fleet = await createFleet(
                {
                    vms: 78,
                    engines: 6,
                    sessions: 120,
                    customers: 30,
                    load: 2,
                    coldRatePerS: ratePerS,
                    prompt: shortPrompt,
                },
                19,
            );
            fleet.restartEngines(5, 8_000);
            // The warm engine has capacity for all.
            await fleet.run(2_000, 0.1);
            await fleet.run(2_000);
            fleet.dispose();
            assert.ok(
                [...fleet.coldArrivalsMs.values()].some(({ length }) => length > ratePerS),
                "no engine is near its limit",
            );
            checkLimit(fleet.coldArrivalsMs, ratePerS);
        });
    });
});
