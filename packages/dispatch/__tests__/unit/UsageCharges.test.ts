import * as core from "@peridotloft/core";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createCustomerUsage, customerHashOf } from "../../src/CustomerUsage.js";
import type { AttemptOutcome, Job, Lease } from "../../src/Job.js";
import { createUsageCharges } from "../../src/UsageCharges.js";
import { pool, route, upstreamOf } from "./EngineFixtures.js";

const customer = core.customerId("north");
const cost = 1_000 + 2 * 50;

const lease: Lease = {
    upstream: { ...upstreamOf("i-1"), learnedMs: 0, coldUntilMs: 0 },
    expectedMs: 100,
    mayWrite: () => true,
    recordFirstByte: () => undefined,
    recordUnresponsive: () => undefined,
    recordStatements: () => undefined,
    end: () => undefined,
};

function createJob(): Job {
    return {
        requestId: core.requestId("r1"),
        route,
        pool,
        customer,
        priority: 1,
        prompt: { model: "m", inputTokens: 1_000, maxOutputTokens: 50, parts: [{ id: "own", tokens: 1_000 }] },
        arrivedMs: 0,
        deadlineMs: () => 5_000,
        fingerprint: () => 1,
    };
}

function createFixture() {
    const announced: number[] = [];
    const usage = createCustomerUsage();
    const charges = createUsageCharges({
        clock: testing.createVirtualClock(),
        fleet: {
            announceUsage: ({ customerHash, cost: announcedCost }) => {
                assert.equal(customerHash, customerHashOf(customer));
                announced.push(announcedCost);
            },
        },
        usage,
        report: {
            recordSent: () => undefined,
            recordOutcome: () => undefined,
            recordAnnounced: () => undefined,
            dispose: () => undefined,
        },
    });
    return { charges, announced, usage: () => usage.relative(customerHashOf(customer), 0) };
}

describe("UsageCharges", () => {
    const ofUpstream: readonly AttemptOutcome[] = ["connect-failed", "shed", "misdirected", "broken", "silent"];
    for (const outcome of ofUpstream) {
        it(`does not charge an attempt without a response that ends as ${outcome}`, () => {
            const { charges, announced, usage } = createFixture();
            charges.createChargedLease(createJob(), lease).end(outcome);
            assert.deepEqual(announced, []);
            assert.equal(usage(), 0);
        });
    }

    const ofCaller: readonly AttemptOutcome[] = ["ok", "failed", "abandoned"];
    for (const outcome of ofCaller) {
        it(`charges an attempt that ends as ${outcome}, so that leaving early saves a customer nothing`, () => {
            const { charges, announced, usage } = createFixture();
            charges.createChargedLease(createJob(), lease).end(outcome);
            assert.deepEqual(announced, [cost]);
            assert.equal(usage(), 1);
        });
    }

    it("charges a request once whose stream breaks and goes on at other upstreams", () => {
        const { charges, announced } = createFixture();
        const job = createJob();
        for (let attempt = 0; attempt < 3; attempt++) {
            const charged = charges.createChargedLease(job, lease);
            charged.recordFirstByte();
            charged.recordFirstByte();
            charged.end("broken");
        }
        assert.deepEqual(announced, [cost]);
    });

    it("charges each request", () => {
        const { charges, announced } = createFixture();
        charges.createChargedLease(createJob(), lease).recordFirstByte();
        charges.createChargedLease(createJob(), lease).recordFirstByte();
        assert.deepEqual(announced, [cost, cost]);
    });
});
