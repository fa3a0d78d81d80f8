import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createPrefillRate } from "../../src/PrefillRate.js";

const statedTokensPerMs = 75;
/** Maximum relative deviation of the learned rate. */
const tolerance = 0.15;
/** Number of prompts until then: an engine's share of 1,340 requests/s to 50 engines in 10 s. */
const prompts = 268;

interface Engine {
    readonly speed: number;
    /** Share of the capacity that is used. */
    readonly load: number;
    readonly firstEventDelayMs?: number;
    /** Share of the first events that take 2.5 times as long, and of those that are not reported. */
    readonly delayedShare?: number;
    readonly lostShare?: number;
    readonly tokens?: readonly number[];
}

/** Lets an engine prefill prompts in order of arrival; returns the learned rate relative to its own. */
function learnedRatio(engine: Engine, seed: number): number {
    const { speed, load, firstEventDelayMs = 50, delayedShare = 0, lostShare = 0.5 } = engine;
    const { tokens = [543, 1_800, 2_890, 2_890] } = engine;
    const random = testing.createSeededRandom(seed);
    const rate = createPrefillRate(statedTokensPerMs);
    const tokensPerMs = statedTokensPerMs * speed;
    const meanTokens = tokens.reduce((sum, count) => sum + count, 0) / tokens.length;
    let arrivedMs = 0;
    let freeMs = 0;
    for (let ticket = 1; ticket <= prompts; ticket++) {
        arrivedMs += -Math.log(1 - random()) * meanTokens / tokensPerMs / load;
        const newTokens = tokens[Math.floor(random() * tokens.length)] ?? 0;
        freeMs = Math.max(freeMs, arrivedMs) + newTokens / tokensPerMs;
        const tookMs = freeMs - arrivedMs + firstEventDelayMs / speed * (0.8 + 0.4 * random());
        rate.recordAdmitted(ticket, newTokens, arrivedMs);
        if (random() >= lostShare) {
            rate.recordFirstEvent(ticket, tookMs * (random() < delayedShare ? 2.5 : 1));
        }
    }
    return (rate.tokensPerMs() ?? 0) / tokensPerMs;
}

describe("PrefillRate", () => {
    const check = (engine: Engine): void =>
        [1, 2, 3].forEach(seed => {
            const ratio = learnedRatio(engine, seed);
            assert.ok(Math.abs(ratio - 1) <= tolerance, `seed ${seed}: ${ratio} times the rate`);
        });

    [0.6, 1, 1.6].forEach(speed =>
        describe(`learns a speed of ${speed}`, () => {
            it("of an engine that is mostly idle", () => check({ speed, load: 0.3 }));
            it("of an engine with a queue", () => check({ speed, load: 0.95 }));
            it("although a share of the responses is late", () => check({ speed, load: 0.7, delayedShare: 0.15 }));
            it("from a quarter of the responses", () => check({ speed, load: 0.7, lostShare: 0.75 }));
        })
    );

    it("has no rate after a few responses", () => {
        const rate = createPrefillRate(statedTokensPerMs);
        Array.from({ length: 10 }, (_, ticket) => {
            rate.recordAdmitted(ticket, 1_000, ticket * 100);
            rate.recordFirstEvent(ticket, 90);
        });
        assert.equal(rate.tokensPerMs(), undefined);
    });

    it("is learned beside reports with tickets of an earlier tracker", () => {
        const rate = createPrefillRate(statedTokensPerMs);
        Array.from({ length: 30 }, (_, ticket) => {
            rate.recordAdmitted(ticket, 1_000, ticket * 100);
            rate.recordFirstEvent(ticket + 1_000, 900);
            rate.recordFirstEvent(ticket, 90);
        });
        assert.notEqual(rate.tokensPerMs(), undefined);
    });
});
