import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createFixture, route } from "./DispatcherFixture.js";
import * as fixtures from "./EngineFixtures.js";

describe("Dispatcher", () => {
    it("sends a session to the engine that has its prefix cached while that engine is only slightly busier", async () => {
        const { acquire, clock } = await createFixture();
        const primary = (await acquire("a"))?.upstream.id;
        await clock.advance(4_000);
        // Adds 150 ms of prefill to the engine's queue.
        assert.equal((await acquire("a", { ownTokens: 11_000 }))?.upstream.id, primary);
        assert.equal((await acquire("a"))?.upstream.id, primary);
    });

    it("spills a session over to the same second engine whenever its primary engine would miss the objective", async () => {
        const { acquire, clock } = await createFixture({ engines: 12 });
        const primary = (await acquire("a"))?.upstream.id;
        await clock.advance(4_000);
        await acquire("a", { ownTokens: 40_000 });
        const others = [(await acquire("a"))?.upstream.id, (await acquire("a"))?.upstream.id];
        assert.ok(others[0] !== undefined && others[0] !== primary);
        assert.equal(others[1], others[0]);
    });

    it("refuses a prompt that would miss its objective at all engines of its session", async () => {
        const { acquire } = await createFixture({ engines: 2 });
        await acquire("a", { ownTokens: 60_000 });
        await acquire("a", { ownTokens: 60_000 });
        assert.equal(await acquire("a"), undefined);
    });

    it("admits a stream that goes on although its engines are busy only if its origin is recorded", async () => {
        const { acquire } = await createFixture({ engines: 2 });
        await acquire("a", { ownTokens: 60_000 });
        await acquire("a", { ownTokens: 60_000 });
        const origin = { pool: fixtures.pool, softwareVersion: "v1", isRecorded: false };
        assert.equal(await acquire("a", { origin }), undefined);
        assert.notEqual(await acquire("a", { origin: { ...origin, isRecorded: true } }), undefined);
    });

    it("chooses no upstream of another software version for a stream that goes on", async () => {
        const { acquire } = await createFixture();
        const origin = { pool: fixtures.pool, softwareVersion: "v2", isRecorded: true };
        assert.equal(await acquire("a", { origin }), undefined);
    });

    it("admits a retry even if its engines are busy", async () => {
        const { acquire } = await createFixture({ engines: 2 });
        await acquire("a", { ownTokens: 60_000 });
        await acquire("a", { ownTokens: 60_000 });
        // Each request adds a tenth of a retry to the budget.
        for (let i = 0; i < 30; i++) {
            await acquire("b");
        }
        assert.ok(await acquire("a", { isRetry: true }));
    });

    it("skips an engine without a free slot", async () => {
        const { acquire } = await createFixture({ engines: 2, slots: 1 });
        const first = await acquire("a", { ownTokens: 1 });
        const second = await acquire("a", { ownTokens: 1 });
        assert.ok(first && second && first.upstream.id !== second.upstream.id);
        assert.equal(await acquire("a", { ownTokens: 1 }), undefined);
    });

    it("skips an engine that fails according to the reports of all VMs", async () => {
        const { acquire, clock } = await createFixture({ engines: 6 });
        const primary = (await acquire("a"))?.upstream.id;
        for (let i = 0; i < 5; i++) {
            (await acquire("a"))?.end("failed");
            await clock.advance(5);
        }
        const next = (await acquire("a"))?.upstream.id;
        assert.ok(next !== undefined && next !== primary);
    });

    it("finds the engine that is up while most engines are ejected, the usual ones of a session among them", async () => {
        const { acquire } = await createFixture({ engines: 6 });
        const failed = new Set<string>();
        for (let i = 0; i < 40; i++) {
            const lease = await acquire(`session-${i}`, { ownTokens: 1 });
            const isUp = lease !== undefined && !failed.has(lease.upstream.id) && failed.size === 5;
            if (lease && !isUp) {
                failed.add(lease.upstream.id);
            }
            lease?.end(isUp ? "ok" : "connect-failed");
        }
        assert.equal(failed.size, 5);
        for (let i = 0; i < 40; i++) {
            const lease = await acquire(`session-${i}`, { ownTokens: 1 });
            assert.ok(lease && !failed.has(lease.upstream.id), `session ${i}: ${lease?.upstream.id}`);
            lease.end("ok");
        }
    });

    it("decides from this VM's own requests while trackers do not answer, and still bounds the queue of an engine", async () => {
        const { acquire, setTrackersUnresponsive } = await createFixture({ engines: 2 });
        setTrackersUnresponsive(true);
        const leases = [];
        for (let i = 0; i < 40; i++) {
            leases.push(await acquire("a", { ownTokens: 6_000 }));
        }
        const admitted = leases.filter(lease => lease !== undefined).length;
        assert.ok(
            admitted >= 4 && admitted <= 14,
            `${admitted} admitted; each takes 80 ms of prefill, the objective is 600 ms`,
        );
    });
});

describe("PromptQueue of a tracker", () => {
    it("does not mistake an engine with a lower prefill rate than stated for an idle one", async () => {
        const { acquire, clock } = await createFixture({ engines: 1 });
        let refused = 0;
        // The engine has a third of the expected prefill rate, so first events arrive correspondingly late.
        let engineFreeAtMs = clock.nowMs();
        for (let i = 0; i < 200; i++) {
            const lease = await acquire("a", { ownTokens: 1_500 });
            refused += lease ? 0 : 1;
            if (lease) {
                engineFreeAtMs = Math.max(engineFreeAtMs, clock.nowMs()) + 60;
                const endMs = engineFreeAtMs + 70;
                clock.setTimer(endMs - clock.nowMs(), () => {
                    lease.recordFirstByte();
                    lease.end("ok");
                });
            }
            await clock.advance(25);
        }
        const backlogMs = engineFreeAtMs - clock.nowMs();
        assert.ok(backlogMs < route.objectiveMs, `${backlogMs} ms of backlog at the engine`);
        assert.ok(refused > 80, `${refused} of 200 refused; the engine can prefill 83 of them`);
    });
});
