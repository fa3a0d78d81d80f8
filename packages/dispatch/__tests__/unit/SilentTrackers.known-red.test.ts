import * as core from "@peridotloft/core";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createFixture, route } from "./DispatcherFixture.js";
import { prefillTokensPerMs } from "./EngineFixtures.js";

describe("A tracker that sometimes does not answer in time", () => {
    it("does not take an engine for slow since prompts were late that it did not admit", async () => {
        const { acquire, clock, setTrackersUnresponsive } = await createFixture();
        const usual = (await acquire("a"))!;
        usual.end("ok");
        setTrackersUnresponsive(true);
        const late = await Promise.all(Array.from({ length: 10 }, () => acquire("a")));
        await clock.advance(500);
        late.forEach(lease => {
            lease?.recordFirstByte();
            lease?.end("ok");
        });
        setTrackersUnresponsive(false);
        const lease = await acquire("a");
        assert.equal(lease?.upstream.id, usual.upstream.id);
        assert.ok(lease.expectedMs <= usual.expectedMs, `${lease.expectedMs} ms, ${usual.expectedMs} ms before`);
    });

    it("does not let a VM send prompts to engines whose queues, as it just stated, are full", async () => {
        const { acquire, askAsOtherVm, setTrackersUnresponsive } = await createFixture({ engines: 1 });
        const lease = (await acquire("a"))!;
        lease.recordFirstByte();
        lease.end("ok");
        for (let i = 0; i < 20; i++) {
            askAsOtherVm({
                upstreamHash: core.hash32(lease.upstream.id),
                sharedParts: [],
                ownTokens: 9_000,
                longestWaitMs: 10_000,
                maxSlotShare: 1,
                runMs: 400,
                isSpillover: false,
                statedLimit: undefined,
                learnedRate: undefined,
            });
        }
        assert.equal(await acquire("a"), undefined);
        setTrackersUnresponsive(true);
        const sent = await acquire("a");
        assert.equal(
            sent,
            undefined,
            `sent; other VMs have queued ${(20 * 9_000) / prefillTokensPerMs} ms, of ${route.objectiveMs} allowed`,
        );
    });
});
