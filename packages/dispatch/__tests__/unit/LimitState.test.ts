import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createLimitState } from "../../src/LimitState.js";

/** Number of permits that a state grants in a time, if one is asked for each ms. */
function countPermits(limit: ReturnType<typeof createLimitState>, fromMs: number, toMs: number): number {
    return Array.from({ length: toMs - fromMs }, (_, index) => fromMs + index).filter(ms => limit.tryTake(ms)).length;
}

describe("LimitState", () => {
    it("permits everything until a limit is stated, and again when it ends", () => {
        const limit = createLimitState(() => 1);
        assert.equal(countPermits(limit, 0, 100), 100);
        limit.adopt({ limitPerS: 2, atMs: 100 }, 100);
        assert.ok(countPermits(limit, 100, 1_100) <= 3);
        limit.adopt({ limitPerS: undefined, atMs: 1_100 }, 1_100);
        assert.equal(countPermits(limit, 1_100, 1_200), 100);
    });

    it("permits at most the limit and a burst of a quarter second and one request in any second", () => {
        const limit = createLimitState(() => 1);
        limit.adopt({ limitPerS: 8, atMs: 0 }, 0);
        countPermits(limit, 0, 5_000);
        assert.ok(countPermits(limit, 10_000, 11_000) <= 8 + 2 + 1);
        assert.ok(countPermits(limit, 11_000, 15_000) >= 4 * 8 - 1);
    });

    it("permits its share only", () => {
        const limit = createLimitState(() => 0.25);
        limit.adopt({ limitPerS: 8, atMs: 0 }, 0);
        assert.equal(Math.round(countPermits(limit, 0, 10_000) / 10), 2);
    });

    it("adopts the most recent response, in whatever order VMs report them", () => {
        const limit = createLimitState(() => 1);
        limit.adopt({ limitPerS: 4, atMs: 200 }, 210);
        assert.equal(limit.adopt({ limitPerS: undefined, atMs: 150 }, 220), false);
        assert.ok(limit.isLimited());
        limit.adopt({ limitPerS: undefined, atMs: 300 }, 310);
        assert.equal(limit.adopt({ limitPerS: 4, atMs: 250 }, 320), false);
        assert.ok(!limit.isLimited());
    });

    it("keeps its permits when the same limit is stated again", () => {
        const limit = createLimitState(() => 1);
        limit.adopt({ limitPerS: 8.7, atMs: 0 }, 0);
        let permits = 0;
        for (let ms = 0; ms < 10_000; ms += 10) {
            limit.adopt({ limitPerS: 8.7, atMs: ms }, ms);
            permits += limit.tryTake(ms) ? 1 : 0;
        }
        assert.ok(permits >= 80, `${permits} permits`);
    });

    it("permits a request from time to time if the limit is zero, since only a response can lift it", () => {
        const limit = createLimitState(() => 1);
        limit.adopt({ limitPerS: 0, atMs: 0 }, 0);
        assert.equal(countPermits(limit, 0, 11_000), 2);
    });
});
