import type * as core from "@peridotloft/core";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { prefillTokensPerMs } from "./EngineFixtures.js";
import { createPrefillFleet, type FleetSizes, longPrompt, shortPrompt } from "./PrefillFleet.js";

describe("Dispatcher in a large fleet", () => {
    it("reuses the engine that has a session cached and meets the objective at 75 % of the prefill capacity", async () => {
        const fleet = await createPrefillFleet({ vms: 30, engines: 24, sessions: 360, customers: 30, load: 0.75 }, 5);
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
            const fleet = await createPrefillFleet(
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
            const fleet = await createPrefillFleet(
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
            const fleet = await createPrefillFleet(
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
            const fleet = await createPrefillFleet({ vms: 9, engines: 6, sessions: 120, ...sizes }, 20);
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
                const fleet = await createPrefillFleet(
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
            const fleet = await createPrefillFleet(
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
