import * as core from "@peridotloft/core";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createFixture, route } from "./DispatcherFixture.js";
import { prefillTokensPerMs } from "./EngineFixtures.js";

describe("A tracker that sometimes does not answer in time", () => {
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
