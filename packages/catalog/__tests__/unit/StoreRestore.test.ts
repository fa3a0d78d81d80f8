import * as core from "@peridotloft/core";
import { ok } from "neverthrow";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as catalog from "../../src/index.js";
import { config, createFixture, upstream } from "./CatalogFixture.js";

const removed = (id: string): catalog.CatalogChange => ({ kind: "upstream-removed", id: core.upstreamId(id) });
const evacuated = (zone: string): catalog.CatalogChange => ({ kind: "zone-evacuated", zone: core.zoneId(zone) });
const taken = (zone: string): catalog.CatalogChange => ({ kind: "zone-restored", zone: core.zoneId(zone) });
const statement = (id: string, sequence: number, more: Partial<catalog.Upstream> = {}): catalog.CatalogChange =>
    upstream(id, { startedWallMs: 1_000, sequence, ...more });

/** Time in ms in which a VM notices a restore, if the store answers. */
const noticeMs = 1_100;

async function createRunningFixture() {
    const fixture = createFixture();
    const { clock, store, follower } = fixture;
    store.put("config", config(3));
    store.put("up/a", statement("a", 1));
    follower.start();
    await clock.advance(10);
    const isUsable = (id: string): boolean => {
        const known = follower.snapshot.read().upstreams.get(core.upstreamId(id));
        return known !== undefined && !known.leaving;
    };
    const isEvacuated = (zone: string): boolean => follower.snapshot.read().evacuatedZones.has(core.zoneId(zone));
    return { ...fixture, isUsable, isEvacuated };
}

/** A VM that relays a fixed batch. */
const relayOf = (batch: catalog.RelayedBatch): catalog.CatalogRelaySource => ({
    address: "10.0.0.2",
    watch: async () => ok(batch),
});

describe("CatalogFollower after a restore of the store", () => {
    describe("configurations", () => {
        it("adopts a version whose revision was issued before the restore", async () => {
            const { clock, store, version } = await createRunningFixture();
            const restore = store.backUp();
            store.put("config", config(4));
            store.put("config", config(5));
            await clock.advance(10);
            restore();
            store.put("config", config(5));
            await clock.advance(noticeMs);
            store.put("config", config(8));
            await clock.advance(100);
            assert.equal(version(), 8);
        });

        it("does not return to the version of the copy while the newer one is not written again", async () => {
            const { clock, store, version } = await createRunningFixture();
            const restore = store.backUp();
            store.put("config", config(5));
            await clock.advance(10);
            restore();
            for (let waitedMs = 0; waitedMs < 6_000; waitedMs += 100) {
                await clock.advance(100);
                assert.equal(version(), 5);
            }
        });

        it("notices the restore when the revisions have passed the position again", async () => {
            const { clock, store, version, follower } = await createRunningFixture();
            const restore = store.backUp();
            store.put("config", config(5));
            await clock.advance(10);
            store.setMode("down");
            await clock.advance(1_000);
            restore();
            store.put("config", config(5));
            store.put("up/b", statement("b", 1));
            store.put("config", config(6));
            store.put("up/c", statement("c", 1));
            store.setMode("up");
            await clock.advance(noticeMs);
            assert.equal(version(), 6);
            assert.deepEqual([...follower.snapshot.read().upstreams.keys()].sort(), ["a", "b", "c"]);
        });

        it("follows a store that was restored twice in one outage", async () => {
            const { clock, store, version } = await createRunningFixture();
            const restore = store.backUp();
            store.put("config", config(5));
            await clock.advance(10);
            store.setMode("down");
            await clock.advance(500);
            restore();
            restore();
            store.put("config", config(6));
            store.setMode("up");
            await clock.advance(noticeMs + catalog.defaultFollowerTiming.maxBackoffMs);
            assert.equal(version(), 6);
        });

        it("adopts a newer version of another VM if it starts while the store lacks it", async () => {
            const newer = {
                position: { era: 1, revision: 90 },
                ageMs: 100,
                complete: true,
                changes: [{ item: "config", position: { era: 1, revision: 90 }, change: config(9) }],
            };
            const { clock, store, follower, version } = createFixture(isStoreUnreachable =>
                isStoreUnreachable ? relayOf(newer) : undefined
            );
            const restore = store.backUp();
            restore();
            store.put("config", config(3));
            follower.start();
            await clock.advance(noticeMs);
            assert.equal(version(), 9);
        });

        it("takes the configuration, but no other items, of a VM that does not know of the restore", async () => {
            const older = {
                position: { era: 1, revision: 90 },
                ageMs: 100,
                complete: true,
                changes: [
                    { item: "config", position: { era: 1, revision: 90 }, change: config(9) },
                    { item: "up/gone", position: { era: 1, revision: 80 }, change: statement("gone", 4) },
                ],
            };
            let useRelay = false;
            const { clock, store, follower, version, ids, log } = createFixture(() =>
                useRelay ? relayOf(older) : undefined
            );
            const restore = store.backUp();
            restore();
            store.put("config", config(3));
            store.put("up/a", statement("a", 1));
            follower.start();
            await clock.advance(10);
            useRelay = true;
            await clock.advance(3_000);
            assert.deepEqual([version(), ids()], [9, ["a"]]);
            assert.ok(follower.ageMs() < 2_500, "a VM of an older era confirms nothing, so the store is read");
            assert.ok(log.count("relay-lost") > 0);
        });
    });

    describe("upstreams", () => {
        it("keeps an upstream that the copy lacks until it can have registered again", async () => {
            const { clock, store, isUsable } = await createRunningFixture();
            const restore = store.backUp();
            store.put("up/b", statement("b", 1));
            store.put("up/c", statement("c", 1));
            await clock.advance(10);
            restore();
            for (let waitedMs = 0; waitedMs < 2_000; waitedMs += 100) {
                await clock.advance(100);
                assert.ok(isUsable("b"));
                if (waitedMs === 1_000) {
                    store.put("up/b", statement("b", 3));
                }
            }
            await clock.advance(2_000);
            assert.deepEqual([isUsable("b"), isUsable("c")], [true, false]);
        });

        it("does not use an upstream again that left after the copy was made", async () => {
            const { clock, store, isUsable } = await createRunningFixture();
            const restore = store.backUp();
            store.put("up/a", statement("a", 2, { leaving: true }));
            await clock.advance(10);
            store.remove("up/a", removed("a"));
            await clock.advance(10);
            restore();
            for (let waitedMs = 0; waitedMs < 8_000; waitedMs += 100) {
                await clock.advance(100);
                assert.ok(!isUsable("a"));
            }
        });

        it("keeps an upstream marked as leaving that the copy shows as ready, until a later statement", async () => {
            const { clock, store, isUsable } = await createRunningFixture();
            const restore = store.backUp();
            store.put("up/a", statement("a", 2, { leaving: true }));
            await clock.advance(10);
            restore();
            await clock.advance(6_000);
            assert.ok(!isUsable("a"));
            store.put("up/a", statement("a", 1, { startedWallMs: 9_000 }));
            await clock.advance(noticeMs);
            assert.ok(isUsable("a"), "a new run under the same id is not bound by what the former one stated");
        });

        it("uses an upstream again whose entry expired after the copy was made, if the entry does not expire", async () => {
            const { clock, store, isUsable } = await createRunningFixture();
            const restore = store.backUp();
            store.remove("up/a", removed("a"));
            await clock.advance(10);
            restore();
            await clock.advance(2_000);
            assert.ok(!isUsable("a"));
            await clock.advance(4_000);
            assert.ok(isUsable("a"));
        });
    });

    describe("evacuations", () => {
        it("keeps a zone evacuated that the copy lacks until the evacuation can have been written again", async () => {
            const { clock, store, isEvacuated } = await createRunningFixture();
            const restore = store.backUp();
            store.put("zone/z", evacuated("z"));
            await clock.advance(10);
            restore();
            for (let waitedMs = 0; waitedMs < 6_000; waitedMs += 100) {
                await clock.advance(100);
                assert.ok(isEvacuated("z"));
                if (waitedMs === 3_000) {
                    store.put("zone/z", evacuated("z"));
                }
            }
            store.remove("zone/z", taken("z"));
            await clock.advance(noticeMs);
            assert.ok(!isEvacuated("z"));
        });

        it("takes a zone back if its evacuation is not written again", async () => {
            const { clock, store, isEvacuated } = await createRunningFixture();
            const restore = store.backUp();
            store.put("zone/z", evacuated("z"));
            await clock.advance(10);
            restore();
            await clock.advance(catalog.defaultFollowerTiming.restoreSettleMs + 2 * noticeMs);
            assert.ok(!isEvacuated("z"));
        });

        it("does not evacuate a zone again that was taken back after the copy was made", async () => {
            const { clock, store, isEvacuated } = await createRunningFixture();
            store.put("zone/z", evacuated("z"));
            await clock.advance(10);
            const restore = store.backUp();
            store.remove("zone/z", taken("z"));
            await clock.advance(10);
            restore();
            await clock.advance(500);
            store.remove("zone/z", taken("z"));
            await clock.advance(6_000);
            assert.ok(!isEvacuated("z"));
        });
    });

    describe("responses", () => {
        it("ignores a response of the former era that arrives late", async () => {
            const { clock, store, follower, version, log, delayNextWatch } = await createRunningFixture();
            const restore = store.backUp();
            const deliver = delayNextWatch();
            const confirmation = follower.confirm();
            store.put("config", config(5));
            await clock.advance(1_500);
            restore();
            store.put("config", config(6));
            await clock.advance(noticeMs);
            assert.equal(version(), 6);
            const ageMs = follower.ageMs();
            deliver();
            await confirmation;
            store.put("config", config(7));
            await clock.advance(noticeMs);
            assert.equal(version(), 7);
            assert.ok(follower.ageMs() <= ageMs + noticeMs);
            assert.equal(log.count("store-restored"), 1);
        });
    });

    describe("relays", () => {
        it("sends all items to a VM whose position is of another era", async () => {
            const { clock, store, follower } = await createRunningFixture();
            const restore = store.backUp();
            store.put("config", config(5));
            await clock.advance(10);
            const before = await follower.waitForChanges(catalog.initialPosition, 0);
            restore();
            store.put("config", config(6));
            await clock.advance(noticeMs);
            const after = await follower.waitForChanges(before!.position, 0);
            assert.ok(after?.complete);
            assert.ok(after.changes.some(({ change }) => change.kind === "config" && change.config.version === 6));
        });
    });
});
