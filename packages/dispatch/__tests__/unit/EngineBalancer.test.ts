import * as core from "@peridotloft/core";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { createEngineBalancer, type EngineBalancer } from "../../src/EngineBalancer.js";
import { createEngineLoadView } from "../../src/EngineLoadView.js";

const pool = core.poolId("llm");
const candidates = [1, 2, 3].map(idHash => ({ idHash, prefillMs: 20 }));
const time = { objectiveMs: 300, elapsedMs: 0 };

describe("EngineBalancer", () => {
    let slots: number | undefined;
    let balancer: EngineBalancer;
    beforeEach(() => {
        slots = 12;
        const loadView = createEngineLoadView(testing.createVirtualClock().nowMs);
        balancer = createEngineBalancer({
            random: () => 0,
            metrics: testing.createNoopMetrics(),
            loadViewOf: () => loadView,
            slotsOf: () => slots,
        });
    });

    it("makes no offers for engines with many slots, or whose slots are not stated", () => {
        slots = 33;
        assert.equal(balancer.startOffers(pool, candidates, time), undefined);
        slots = undefined;
        assert.equal(balancer.startOffers(pool, candidates, time), undefined);
    });

    it("offers a prompt to a second engine that is less busy than the one that refused it, and to no third", () => {
        const offers = balancer.startOffers(pool, candidates, time);
        assert.deepEqual(offers?.next(), { index: 0, waitLimitMs: 30 });
        offers?.recordRefusal(0, 90);
        assert.deepEqual(offers?.next(), { index: 1, waitLimitMs: 65 });
        offers?.recordRefusal(1, 90);
        assert.equal(offers?.next(), undefined);
    });

    it("makes no second offer for a wait that another engine can hardly shorten", () => {
        const offers = balancer.startOffers(pool, candidates, time);
        offers?.next();
        offers?.recordRefusal(0, 20);
        assert.equal(offers?.next(), undefined);
    });

    it("makes no offers while questions take long, as on a VM without processor time", () => {
        Array.from({ length: 20 }, () => balancer.recordQuestionTime(40));
        assert.equal(balancer.startOffers(pool, candidates, time), undefined);
        Array.from({ length: 20 }, () => balancer.recordQuestionTime(2));
        assert.notEqual(balancer.startOffers(pool, candidates, time), undefined);
    });
});
