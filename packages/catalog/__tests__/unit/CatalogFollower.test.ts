import * as core from "@peridotloft/core";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as catalog from "../../src/index.js";
import { config, createFixture, upstream } from "./CatalogFixture.js";

describe("CatalogFollower", () => {
    describe("with a reachable store", () => {
        it("lists all items, then applies changes as they are made", async () => {
            const { clock, store, follower, ids, version } = createFixture();
            store.put("config", config(3));
            store.put("up/a", upstream("a"));
            follower.start();
            await clock.advance(10);
            assert.deepEqual([version(), ids()], [3, ["a"]]);
            store.put("config", config(4));
            store.put("up/b", upstream("b"));
            await clock.advance(10);
            assert.deepEqual([version(), ids()], [4, ["a", "b"]]);
            store.remove("up/a", { kind: "upstream-removed", id: core.upstreamId("a") });
            await clock.advance(10);
            assert.deepEqual(ids(), ["b"]);
        });

        it("fetches continuous changes in batches, and applies each within half a second", async () => {
            const { clock, store, follower, ids } = createFixture();
            follower.start();
            await clock.advance(10);
            const before = store.watches();
            for (let i = 0; i < 300; i++) {
                store.put(`up/${i}`, upstream(`u${i}`));
                await clock.advance(10);
                const due = i - 50;
                assert.ok(due < 0 || ids().includes(`u${due}`), `u${due} is missing after half a second`);
            }
            const count = store.watches() - before;
            assert.ok(count <= 3 * 5 + 5, `${count} watches in 3 s`);
        });

        it("never returns to an older configuration", async () => {
            const { clock, store, follower, version } = createFixture();
            store.put("config", config(7));
            follower.start();
            await clock.advance(10);
            store.put("config", config(5));
            await clock.advance(10);
            assert.equal(version(), 7);
        });

        it("bounds the age of the catalog by the wait of a watch and its lag", async () => {
            const { clock, follower } = createFixture();
            assert.equal(follower.ageMs(), Number.POSITIVE_INFINITY);
            follower.start();
            await clock.advance(20_000);
            const { watchWaitMs, watchLagMs } = catalog.defaultFollowerTiming;
            assert.ok(follower.ageMs() <= watchWaitMs + watchLagMs + 1, `age ${follower.ageMs()}`);
        });

        it("immediately removes items that are missing from the listing after a compaction", async () => {
            const { clock, store, follower, ids } = createFixture();
            store.put("up/a", upstream("a"));
            store.put("up/b", upstream("b"));
            follower.start();
            await clock.advance(10);
            store.remove("up/a", { kind: "upstream-removed", id: core.upstreamId("a") });
            store.compact();
            await clock.advance(200);
            assert.deepEqual(ids(), ["b"]);
        });

        it("removes an upstream whose entry cannot be parsed, and keeps the others", async () => {
            const { clock, store, follower, ids } = createFixture();
            store.put("up/a", upstream("a"));
            store.put("up/b", upstream("b"));
            follower.start();
            await clock.advance(10);
            store.put("up/a", { kind: "unreadable", upstream: core.upstreamId("a"), reason: "test" });
            await clock.advance(10);
            assert.deepEqual(ids(), ["b"]);
        });
    });

    describe("while the store is unreachable", () => {
        it("keeps its snapshot and increases its age", async () => {
            const { clock, store, follower, ids } = createFixture();
            store.put("up/a", upstream("a"));
            follower.start();
            await clock.advance(10);
            store.setMode("down");
            await clock.advance(10_000);
            assert.deepEqual(ids(), ["a"]);
            assert.ok(follower.ageMs() >= 10_000);
            assert.equal(await follower.confirm(), false);
        });

        it("times out a watch on a connection without a response", async () => {
            const { clock, store, follower, version } = createFixture();
            store.put("config", config(1));
            follower.start();
            await clock.advance(1_500);
            store.setMode("unresponsive");
            await clock.advance(1_000);
            store.put("config", config(2));
            store.setMode("up");
            const { watchWaitMs, timeoutSlackMs, maxBackoffMs } = catalog.defaultFollowerTiming;
            await clock.advance(watchWaitMs + timeoutSlackMs + maxBackoffMs);
            assert.equal(version(), 2);
        });

        it("retains entries that expired during an outage until live upstreams can have registered again", async () => {
            const { clock, store, follower, ids } = createFixture();
            store.put("up/a", upstream("a"));
            store.put("up/b", upstream("b"));
            follower.start();
            await clock.advance(10);
            store.setMode("down");
            await clock.advance(5_000);
            store.remove("up/a", { kind: "upstream-removed", id: core.upstreamId("a") });
            store.remove("up/b", { kind: "upstream-removed", id: core.upstreamId("b") });
            store.setMode("up");
            await clock.advance(1_000);
            assert.deepEqual(ids(), ["a", "b"]);
            store.put("up/a", upstream("a"));
            await clock.advance(3_000);
            assert.deepEqual(ids(), ["a"], "b did not register again and is removed");
        });

        it("relays a deferred removal, also to a VM that read the catalog in the meantime", async () => {
            const { clock, store, follower } = createFixture();
            store.put("up/a", upstream("a"));
            store.put("up/b", upstream("b"));
            follower.start();
            await clock.advance(10);
            store.setMode("down");
            await clock.advance(5_000);
            store.setMode("up");
            await clock.advance(600);
            store.remove("up/a", { kind: "upstream-removed", id: core.upstreamId("a") });
            store.put("up/c", upstream("c"));
            await clock.advance(10);
            const during = await follower.waitForChanges(catalog.initialPosition, 0);
            assert.ok(during);
            await clock.advance(2_500);
            const after = await follower.waitForChanges(during.position, 0);
            assert.ok(after?.changes.some(({ change }) => change.kind === "upstream-removed" && change.id === "a"));
        });

        it("calls the store once for concurrent confirmations, and not again right after a failure", async () => {
            const { clock, store, follower, log } = createFixture();
            follower.start();
            await clock.advance(10);
            store.setMode("down");
            const results = await Promise.all([follower.confirm(), follower.confirm(), follower.confirm()]);
            assert.deepEqual(results, [false, false, false]);
            assert.equal(log.count("store-lost"), 1);
        });
    });
});
