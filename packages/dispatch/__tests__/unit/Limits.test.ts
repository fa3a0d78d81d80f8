import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createPrefixCache } from "../../src/PrefixCache.js";
import { createRetryBudget } from "../../src/RetryBudget.js";
import { createTokenBucket } from "../../src/TokenBucket.js";
import { createUpstreamHealth } from "../../src/UpstreamHealth.js";

describe("RetryBudget", () => {
    it("bounds the retries of many VMs to a fifth of the requests plus 50", () => {
        const vms = Array.from({ length: 9 }, () => createRetryBudget());
        const requests = 900;
        let retries = 0;
        Array.from({ length: requests }, (_, index) => {
            const vm = vms[index % vms.length]!;
            vm.addRequest();
            retries += vm.tryTakeRetry() ? 1 : 0;
        });
        assert.ok(retries <= requests * 0.2 + 50, `${retries} retries`);
        assert.ok(retries >= requests * 0.05, "retries are not possible at all");
    });
});

describe("TokenBucket", () => {
    it("admits at most its rate plus one request in any second", () => {
        const limiter = createTokenBucket(() => 4, 1, 0);
        const sent = Array.from({ length: 5_000 }, (_, ms) => ms).filter(ms => limiter.tryTake(ms));
        sent.forEach(start => {
            const within = sent.filter(ms => ms >= start && ms < start + 1_000).length;
            assert.ok(within <= 5, `${within} in the second from ${start}`);
        });
        assert.ok(sent.length >= 18);
    });
});

describe("UpstreamHealth", () => {
    const recordOutcomes = (health: ReturnType<typeof createUpstreamHealth>, outcomes: string, startMs: number): void =>
        [...outcomes].forEach((letter, index) => health.record(letter === "x" ? "failed" : "ok", startMs + index));

    it("ejects an upstream after repeated failures, and readmits it", () => {
        const health = createUpstreamHealth(() => undefined);
        recordOutcomes(health, "xxxxxx", 0);
        assert.ok(health.isEjected(10));
        assert.ok(!health.isEjected(10_000));
    });

    it("does not eject an upstream for occasional failures", () => {
        const health = createUpstreamHealth(() => undefined);
        recordOutcomes(health, "oooooxooooooxooooooxooooooxx".repeat(10), 0);
        assert.ok(!health.isEjected(280));
    });

    it("ejects an upstream immediately when no process listens at its address", () => {
        const health = createUpstreamHealth(() => undefined);
        health.record("connect-failed", 0);
        health.record("connect-failed", 1);
        assert.ok(health.isEjected(2));
    });

    it("probes an upstream with one request at a time after its ejection", () => {
        const health = createUpstreamHealth(() => undefined);
        recordOutcomes(health, "xxxxxx", 0);
        assert.ok(!health.isEjected(5_000));
        health.recordDispatch(5_000);
        assert.ok(health.isEjected(5_001), "a second probe is sent before the result of the first");
        recordOutcomes(health, "o", 5_050);
        recordOutcomes(health, "oooooooooooooo", 5_200);
        health.recordDispatch(5_300);
        assert.ok(!health.isEjected(5_301));
    });
});

describe("PrefixCache", () => {
    const part = (id: string, tokens: number) => ({ id, tokens });

    it("counts cached tokens only up to the first part that is not cached", () => {
        const cache = createPrefixCache(() => 1_000);
        cache.touch([part("a", 100), part("b", 200)]);
        assert.equal(cache.cachedTokens([part("a", 100), part("b", 200), part("c", 50)]), 300);
        assert.equal(cache.cachedTokens([part("x", 100), part("b", 200)]), 0);
    });

    it("evicts the least recently used parts", () => {
        const cache = createPrefixCache(() => 250);
        cache.touch([part("a", 100)]);
        cache.touch([part("b", 100)]);
        cache.touch([part("a", 100)]);
        cache.touch([part("c", 100)]);
        assert.equal(cache.cachedTokens([part("a", 100)]), 100);
        assert.equal(cache.cachedTokens([part("b", 100)]), 0);
    });
});
