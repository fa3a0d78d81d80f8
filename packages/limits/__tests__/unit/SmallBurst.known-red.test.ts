import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as fleets from "./LimiterFleet.js";

// Target of the design page, section 1.1.
const maxWrongfulShare = 0.001;

describe("a customer whose burst is eight requests", () => {
    it("is refused less than 0.1% wrongly (guards against accrual lost by full buckets)", async () => {
        const vmCount = 24;
        const seeds = Array.from({ length: 12 }, (_unused, index) => 60 + index);
        let offered = 0;
        let wrongful = 0;
        for (const seed of seeds) {
            const fleet = fleets.createLimiterFleet({ seed, document: fleets.createDocument({ vmCount }) });
            fleets.offerTraffic(fleet, {
                fromMs: fleets.warmUpMs,
                toMs: fleets.warmUpMs + 30_000,
                costPerS: fleets.ratePerS * 0.7,
                requestCost: fleets.burst / 8,
                pickVm: () => Math.floor(fleet.random() * vmCount),
            });
            await fleet.advance(fleets.warmUpMs + 30_500);
            fleet.stopAll();
            const result = fleets.compareWithReference(fleet);
            offered += result.isWithinRate ? result.offered : 0;
            wrongful += result.isWithinRate ? result.wrongful : 0;
        }
        assert.ok(offered > 0);
        assert.ok(
            wrongful < offered * maxWrongfulShare,
            `seeds ${seeds[0]} to ${seeds.at(-1)}: ${wrongful} of ${offered}`,
        );
    });
});
