import * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { standaloneView } from "../../src/FleetView.js";
import type { Job, Lease } from "../../src/Job.js";
import { noStatements, type ResponseStatements } from "../../src/UpstreamStatements.js";
import { createUpstreamTable } from "../../src/UpstreamTable.js";
import { pool, route, upstreamOf } from "./EngineFixtures.js";

const job: Job = {
    requestId: core.requestId("r1"),
    route,
    pool,
    customer: undefined,
    priority: 1,
    prompt: undefined,
    arrivedMs: 0,
    deadlineMs: () => 5_000,
    fingerprint: () => 1,
};

function createTable() {
    const clock = testing.createVirtualClock();
    const snapshot = core.createSnapshotCell(catalog.emptySnapshot);
    const table = createUpstreamTable({
        clock,
        random: testing.createSeededRandom(1),
        catalog: snapshot,
        fleet: standaloneView,
        log: testing.createRecordingLog(),
        metrics: testing.createNoopMetrics(),
        onBroken: () => undefined,
        onBegun: () => undefined,
        onResponse: () => undefined,
    });
    let revision = 0;
    return {
        clock,
        table,
        /** @param catalogMs time on the catalog's clock. */
        register(upstream: catalog.Upstream, catalogMs: number): void {
            revision++;
            const change: catalog.PositionedChange = {
                item: upstream.id,
                position: { era: 0, revision },
                change: { kind: "upstream", upstream },
            };
            snapshot.update(current => catalog.applyChanges(current, [change], catalogMs));
        },
        /** Lets an upstream respond to a request with statements; returns the lease, which has not ended. */
        respond(id: string, statements: Partial<ResponseStatements>): Lease {
            const lease = table.stateOf(core.upstreamId(id))!.openLease(
                job,
                0,
                100,
                () => ({ ticket: 0, tracker: undefined, isLate: false }),
            );
            lease.recordStatements({ ...noStatements, ...statements });
            return lease;
        },
        firstPauseEndMs: (): number | undefined => table.pauses(pool, snapshot.read())[0]?.untilMs,
        usable: (): readonly string[] =>
            table.usableUpstreams(pool, snapshot.read(), new Set()).warm.map(({ upstream }) => upstream.id),
    };
}

describe("UpstreamTable", () => {
    it("treats an upstream as cold for its announced time even if the wall clock was set forward", async () => {
        const { clock, register, usable } = createTable();
        const hourMs = 3_600_000;
        register(upstreamOf("i-warm"), hourMs);
        register(upstreamOf("i-cold", { coldLeftMs: 3_000 }), hourMs);
        assert.deepEqual(usable(), ["i-warm"]);
        await clock.advance(3_001);
        assert.deepEqual(usable(), ["i-warm", "i-cold"]);
    });

    it("excludes ejected upstreams, but at most half of a pool", () => {
        const { clock, register, table, usable } = createTable();
        ["a", "b", "c"].forEach(id => register(upstreamOf(id), 0));
        const all = table.usableUpstreams(pool, { ...catalog.emptySnapshot }, new Set());
        assert.deepEqual(all, { warm: [], cold: [] });
        const fail = (id: string): void =>
            Array.from({ length: 8 }).forEach(() =>
                table.stateOf(core.upstreamId(id))?.health.record("failed", clock.nowMs())
            );
        const preferred = (): readonly string[] =>
            table.withoutEjected(usable().map(id => table.stateOf(core.upstreamId(id))!)).map(({ upstream }) =>
                upstream.id
            );
        fail("a");
        assert.deepEqual(preferred(), ["b", "c"]);
        fail("b");
        assert.deepEqual(preferred(), ["a", "b", "c"]);
    });

    describe("what upstreams state in responses", () => {
        it("sends nothing new to a run that leaves, also if the store shows it as ready later, but to another run", () => {
            const { register, respond, usable } = createTable();
            ["a", "b"].forEach(id => register(upstreamOf(id), 0));
            const earlier = respond("a", {});
            respond("a", { isLeaving: true });
            assert.deepEqual(usable(), ["b"]);
            assert.ok(!earlier.mayWrite(), "a request that was placed before is not written");
            register(upstreamOf("a", { coldLeftMs: 0 }), 10);
            assert.deepEqual(usable(), ["b"]);
            register(upstreamOf("a", { startedWallMs: 2 }), 20);
            assert.deepEqual(usable(), ["a", "b"]);
        });

        it("sends nothing to a paused upstream until its pause ends, and does not count the pause as a failure", async () => {
            const { clock, register, respond, usable, table, firstPauseEndMs } = createTable();
            ["a", "b"].forEach(id => register(upstreamOf(id), 0));
            for (let i = 0; i < 10; i++) {
                respond("a", { pauseMs: 1_500 }).end("failed");
            }
            assert.deepEqual(usable(), ["b"]);
            respond("b", { pauseMs: 900 }).end("shed");
            assert.deepEqual(usable(), []);
            assert.equal(Math.round(firstPauseEndMs()! - clock.nowMs()), 900);
            await clock.advance(901);
            assert.deepEqual(usable(), ["b"]);
            await clock.advance(600);
            assert.deepEqual(usable(), ["a", "b"]);
            assert.equal(firstPauseEndMs(), undefined);
            assert.equal(table.stateOf(core.upstreamId("a"))!.health.failureShare(), 0);
        });

        it("prefers warm upstreams to one that states that it has become cold", async () => {
            const { clock, register, respond, usable } = createTable();
            ["a", "b"].forEach(id => register(upstreamOf(id), 0));
            respond("a", { coldMs: 2_000 }).end("ok");
            assert.deepEqual(usable(), ["b"]);
            register(upstreamOf("a", { coldLeftMs: 0 }), 10);
            assert.deepEqual(usable(), ["b"], "an entry of the store that lags does not end the cold time");
            await clock.advance(2_001);
            assert.deepEqual(usable(), ["a", "b"]);
        });
    });
});
