import type { LearnedRate } from "@peridotloft/fleet";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createKnownRate } from "../../src/KnownRate.js";
import { createSlowAverage } from "../../src/SlowAverage.js";
import { nextSpeedStep } from "../../src/SpeedStep.js";
import { upstreamOf } from "./EngineFixtures.js";

const knownRateOf = (startedWallMs: number) =>
    createKnownRate({ ...upstreamOf("i-1", { startedWallMs }), learnedMs: 0, coldUntilMs: 0 });

describe("KnownRate", () => {
    const { runHash } = knownRateOf(1);
    const rate: LearnedRate = {
        runHash,
        prefillTokensPerMs: 120,
        generationSpeed: 1.5,
        prefillStep: 2,
        generationStep: 2,
        atMs: 1_000,
    };

    it("ignores a rate of another run of the engine", () => {
        const restarted = knownRateOf(2);
        restarted.adopt(rate);
        assert.equal(restarted.current(), undefined);
        assert.equal(restarted.prefillSpeed(), 1);
    });

    it("keeps the more recent rate, whichever arrives first", () => {
        const known = knownRateOf(1);
        known.adopt(rate);
        known.adopt({ ...rate, prefillStep: -2, atMs: 999 });
        assert.equal(known.current(), rate);
    });
});

describe("SlowAverage", () => {
    /** Follows a value every 100 ms. */
    function follow(average: ReturnType<typeof createSlowAverage>, value: number, fromMs: number, durationMs: number) {
        return Array.from({ length: durationMs / 100 }, (_, index) => fromMs + index * 100)
            .reduce((_, nowMs) => average.follow(value, undefined, nowMs), 0);
    }

    it("does not take five seconds at a third of the rate for another speed", () => {
        const average = createSlowAverage();
        const before = follow(average, 75, 0, 20_000);
        const after = follow(average, 25, 20_000, 5_000);
        assert.equal(nextSpeedStep(0, after / before), 0);
    });

    it("starts at the rate that another VM knew", () => {
        const average = createSlowAverage();
        assert.ok(average.follow(75, 120, 0) > 119);
    });
});
