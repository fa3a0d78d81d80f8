import * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { standaloneView } from "../../src/FleetView.js";
import { createUpstreamTable } from "../../src/UpstreamTable.js";
import { pool, upstreamOf } from "./EngineFixtures.js";

function createTable() {
    const clock = testing.createVirtualClock();
    const snapshot = core.createSnapshotCell(catalog.emptySnapshot);
    const table = createUpstreamTable({
        clock,
        catalog: snapshot,
        fleet: standaloneView,
        log: testing.createRecordingLog(),
        metrics: testing.createNoopMetrics(),
        onBroken: () => undefined,
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
        usable: (): readonly string[] =>
            table.usableUpstreams(pool, snapshot.read(), new Set()).map(({ upstream }) => upstream.id),
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
        assert.equal(all.length, 0);
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
});
