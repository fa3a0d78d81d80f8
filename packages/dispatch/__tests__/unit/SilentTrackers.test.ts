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

    describe("whose answer comes after its sender has decided", () => {
        const ownTokens = 6_000;
        const promptCount = 20;

        async function startFixture() {
            const fixture = await createFixture({ engines: 1 });
            const { acquire, clock } = fixture;
            const usual = (await acquire("a"))!;
            usual.recordFirstByte();
            usual.end("ok");
            await clock.advance(5_000);
            /** Sends as many prompts as are admitted, and receives their first events when the engine has prefilled them. */
            async function sendAll(): Promise<number> {
                const sent = (await Promise.all(Array.from({ length: promptCount }, () => acquire("a", { ownTokens }))))
                    .filter(lease => lease !== undefined);
                sent.forEach((lease, index) =>
                    clock.setTimer((index + 1) * ownTokens / prefillTokensPerMs + 80, () => {
                        lease.recordFirstByte();
                        lease.end("ok");
                    })
                );
                return sent.length;
            }
            /** Asserts that the engine is expected to be as fast as when it was idle. */
            async function assertIdle(): Promise<void> {
                const lease = await acquire("a");
                assert.ok(
                    lease && lease.expectedMs <= usual.expectedMs,
                    `${lease?.expectedMs}, ${usual.expectedMs} ms before`,
                );
            }
            return { ...fixture, sendAll, assertIdle };
        }

        it("does not count the prompt as queued if it was refused", async () => {
            const { clock, setAnswersLate, setTrackersUnresponsive, sendAll, assertIdle } = await startFixture();
            setTrackersUnresponsive(true);
            const sent = await sendAll();
            setTrackersUnresponsive(false);
            setAnswersLate(true);
            assert.equal(await sendAll(), 0);
            await clock.advance((sent * ownTokens) / prefillTokensPerMs + 200);
            setAnswersLate(false);
            await assertIdle();
        });

        it("does not count the prompt as queued for longer than until its first event", async () => {
            const { clock, setAnswersLate, sendAll, assertIdle } = await startFixture();
            setAnswersLate(true);
            const sent = await sendAll();
            await clock.advance((sent * ownTokens) / prefillTokensPerMs + 200);
            setAnswersLate(false);
            await assertIdle();
        });

        it("does not correct its estimates by the prompt, since it did not see what was queued when the prompt was sent", async () => {
            const { acquire, clock, setAnswersLate, assertIdle } = await startFixture();
            setAnswersLate(true);
            const sent = await Promise.all(Array.from({ length: 4 }, () => acquire("a")));
            await clock.advance(1_000);
            sent.forEach(lease => {
                lease?.recordFirstByte();
                lease?.end("ok");
            });
            setAnswersLate(false);
            await assertIdle();
        });
    });
});
