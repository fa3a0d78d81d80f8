import * as core from "@peridotloft/core";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createFirstByteMonitor } from "../../src/FirstByteMonitor.js";
import type * as scheduling from "../../src/index.js";
import { createQuarantine } from "../../src/Quarantine.js";
import { createRetryBudget } from "../../src/RetryBudget.js";
import { createFleet, pool } from "../support/Fleet.js";
import { itDetectsFault, itWithSeeds } from "../support/Seeds.js";

const file = "RetriesAndQuarantine.test.js";

/** Allowed retries per request over 30 s of varying load, if every request asks for a retry. */
async function retryShare(ratio: number | undefined): Promise<number> {
    const clock = testing.createVirtualClock();
    const budget = createRetryBudget(clock, ratio);
    let requests = 0;
    let retries = 0;
    for (let second = 0; second < 30; second++) {
        const count = second % 7 === 0 ? 200 : 10;
        for (let each = 0; each < count; each++) {
            budget.recordRequest();
            requests++;
            retries += budget.tryTakeRetry() ? 1 : 0;
        }
        await clock.advance(1_000);
    }
    return retries / requests;
}

describe("retry budget", () => {
    it("allows at most 10% of recent requests", async () => {
        const share = await retryShare(undefined);
        assert.ok(share <= 0.1 && share > 0.05, `share ${share}`);
    });

    it("detects more retries with a larger ratio", async () => assert.ok(await retryShare(0.2) > 0.1));

    it("allows no retry after the requests have left the window", async () => {
        const clock = testing.createVirtualClock();
        const budget = createRetryBudget(clock);
        Array.from({ length: 100 }, () => budget.recordRequest());
        await clock.advance(20_000);
        assert.equal(budget.tryTakeRetry(), false);
    });
});

/** Requests with the same fingerprint crash one upstream after another through different VMs. */
async function quarantinedAt(seed: number, policy: Partial<scheduling.SchedulingPolicy>, crashes: number) {
    const fleet = createFleet({ seed, policy });
    await fleet.clock.advance(1_000);
    for (let each = 0; each < crashes; each++) {
        fleet.scheduler(each).recordCrash("f1", core.upstreamId(`e${each}`));
        await fleet.clock.advance(25);
    }
    await fleet.clock.advance(200);
    const quarantined = [0, 1, 2, 3, 4, 5].filter(vm => fleet.scheduler(vm).isQuarantined("f1"));
    await fleet.clock.advance(600_000 + 1_000);
    const after = [0, 1, 2, 3, 4, 5].filter(vm => fleet.scheduler(vm).isQuarantined("f1"));
    fleet.dispose();
    return { quarantined: quarantined.length, after: after.length };
}

describe("quarantine", () => {
    it("needs two distinct upstreams", () => {
        const quarantine = createQuarantine(testing.createVirtualClock());
        [1, 2].forEach(() => quarantine.recordCrash({ fingerprint: "f", upstream: core.upstreamId("e1"), ageMs: 0 }));
        assert.equal(quarantine.isQuarantined("f"), false);
        quarantine.recordCrash({ fingerprint: "f", upstream: core.upstreamId("e2"), ageMs: 0 });
        assert.equal(quarantine.isQuarantined("f"), true);
    });

    itWithSeeds(file, [1], "applies on every VM within an exchange period, for 10 minutes", async seed => {
        assert.deepEqual(await quarantinedAt(seed, {}, 2), { quarantined: 6, after: 0 });
    });

    itDetectsFault("detects a missing quarantine if three upstreams must crash", async seed => {
        assert.equal((await quarantinedAt(seed, { quarantineUpstreams: 3 }, 2)).quarantined, 0);
    });
});

describe("first-byte delays", () => {
    it("indicate a cold start above four times the usual delay, once that delay is known", () => {
        const monitor = createFirstByteMonitor();
        const upstream = core.upstreamId("e1");
        const notes = Array.from({ length: 20 }, () => monitor.recordDelay(upstream, pool, 100, true));
        assert.ok(!notes.includes(true));
        assert.equal(monitor.recordDelay(upstream, pool, 350, true), false);
        assert.equal(monitor.recordDelay(upstream, pool, 800, true), true);
        assert.equal(
            monitor.recordDelay(core.upstreamId("e2"), pool, 800, false),
            true,
            "a new upstream is compared with its pool",
        );
        assert.equal(createFirstByteMonitor().recordDelay(upstream, pool, 5_000, true), false);
    });
});
