import * as core from "@peridotloft/core";
import { err } from "neverthrow";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import type * as platform from "../../src/index.js";
import { type Fleet, reverts, startFleet, withSeeds } from "./FleetHarness.js";

const everywhereMs = 10_000;
const statesAndKeysMs = 5_000;

type Change = (id: core.VmId, options: platform.DocumentFeedOptions) => platform.DocumentFeedOptions;

/** A feed that hears nothing from its peers and so learns from the platform only. */
const deafToPeers: Change = (_id, options) => ({
    ...options,
    membership: { ...options.membership, registerPeerListener: () => () => undefined },
});
const acceptsAnyVersion: Change = (_id, options) => ({ ...options, isNewer: () => true });
/** A feed that asks no peer before it trusts the platform. */
const trustsAtOnce: Change = (_id, options) => ({
    ...options,
    quorumOf: () => 0,
    endpoint: {
        ...options.endpoint,
        call: (to, slice, payload, timeoutMs) =>
            slice === "platform"
                ? Promise.resolve(err({ kind: "unreachable", message: "not asked" }))
                : options.endpoint.call(to, slice, payload, timeoutMs),
    },
});

const onlyReaders = (fleet: Fleet, count: number): void =>
    fleet.ids.slice(count).forEach(id => fleet.platform.treat("silent", id));

/** The scenarios that hold for fleets of every size. */
export function describeFleet(shape: { readonly size: number; readonly zones: number; }): void {
    const { size } = shape;
    describe(`DocumentFeed with ${size} VMs`, () => {
        const spreadFrom = async (readers: number, seed: number, change?: Change): Promise<number | undefined> => {
            const fleet = await startFleet({ ...shape, seed, ...(change && { change }) });
            onlyReaders(fleet, readers);
            await fleet.clock.advance(8_000);
            fleet.publish(2);
            return fleet.untilInForce(2, everywhereMs);
        };

        it("puts a version in force everywhere within 5 s when only some VMs can read the platform", () =>
            withSeeds([1, 2, 3], async seed => {
                for (const readers of [size, 3, 1]) {
                    const passedMs = await spreadFrom(readers, seed);
                    assert.ok(
                        passedMs !== undefined && passedMs <= statesAndKeysMs,
                        `${readers} readers: ${passedMs} ms`,
                    );
                }
            }));

        it("is caught by the same check when VMs do not listen to peers", () =>
            withSeeds([1], async seed => assert.equal(await spreadFrom(3, seed, deafToPeers), undefined)));

        it("puts a version in force within 5 s when all watches become silent at once", () =>
            withSeeds([4, 5], async seed => {
                const fleet = await startFleet({ ...shape, seed });
                fleet.platform.treat("silent");
                fleet.publish(2);
                await fleet.clock.advance(100);
                fleet.platform.treat("answer");
                const passedMs = await fleet.untilInForce(2, everywhereMs);
                assert.ok(passedMs !== undefined && passedMs + 100 <= statesAndKeysMs, `${passedMs} ms`);
            }));

        it("puts a version in force within 10 s after a platform outage with limits, and with 10% loss", () =>
            withSeeds([6, 7], async seed => {
                const fleet = await startFleet({ ...shape, seed, lossRatio: 0.1 });
                fleet.platform.treat("down");
                await fleet.clock.advance(15_000);
                fleet.platform.treat("limit");
                await fleet.clock.advance(5_000);
                fleet.platform.treat("answer");
                fleet.publish(2);
                const passedMs = await fleet.untilInForce(2, everywhereMs);
                assert.ok(passedMs !== undefined, "not in force within 10 s");
            }));

        const restartWhileStale = async (seed: number, change?: Change): Promise<Fleet> => {
            const fleet = await startFleet({ ...shape, seed, ...(change && { change }) });
            fleet.publish(2);
            await fleet.untilInForce(2, everywhereMs);
            fleet.platform.serve(1, fleet.textOf(1));
            fleet.ids.slice(0, Math.floor(size / 3)).forEach(fleet.restart);
            await fleet.untilInForce(1, everywhereMs);
            return fleet;
        };

        it("does not revert when VMs restart while the platform is stale", () =>
            withSeeds([8, 9, 10], async seed => {
                const fleet = await restartWhileStale(seed);
                assert.deepEqual(reverts(fleet), []);
                assert.ok(fleet.running().every(vm => vm.feed.isReady()), "not all VMs are ready");
            }));

        it("is caught by the same check when a VM trusts the platform at once", () =>
            withSeeds(
                [8],
                async seed => assert.notDeepEqual(reverts(await restartWhileStale(seed, trustsAtOnce)), []),
            ));

        const staleWithoutRestart = async (seed: number, change?: Change): Promise<Fleet> => {
            const fleet = await startFleet({ ...shape, seed, ...(change && { change }) });
            fleet.publish(2);
            await fleet.untilInForce(2, everywhereMs);
            fleet.platform.serve(1, fleet.textOf(1));
            await fleet.clock.advance(12_000);
            return fleet;
        };

        it("does not revert to what a stale platform answers", () =>
            withSeeds([11], async seed => assert.deepEqual(reverts(await staleWithoutRestart(seed)), [])));

        it("is caught by the same check when any version may replace the one in force", () =>
            withSeeds(
                [11],
                async seed => assert.notDeepEqual(reverts(await staleWithoutRestart(seed, acceptsAnyVersion)), []),
            ));

        it("does not revert in a cut, nor by a peer with an old document, and catches up afterwards", () =>
            withSeeds([12, 13], async seed => {
                const fleet = await startFleet({ ...shape, seed });
                const apart = fleet.ids.slice(0, Math.floor(size / 2));
                apart.forEach(id => fleet.platform.treat("down", id));
                fleet.network.isolate(apart);
                fleet.publish(2);
                assert.notEqual(await fleet.untilInForce(2, everywhereMs, fleet.ids.slice(apart.length)), undefined);
                assert.ok(apart.every(id => fleet.versionOf(id) === 1), "the cut leaks");
                assert.ok(apart.every((_, index) => fleet.vm(index).feed.isReady()), "a cut VM stops serving");
                fleet.network.heal();
                assert.notEqual(await fleet.untilInForce(2, statesAndKeysMs), undefined);
                assert.deepEqual(reverts(fleet), []);
            }));

        it("does not revert with a cut and restarts while the platform is stale", () =>
            withSeeds([14, 15], async seed => {
                const fleet = await startFleet({ ...shape, seed });
                fleet.publish(2);
                await fleet.untilInForce(2, everywhereMs);
                fleet.platform.serve(1, fleet.textOf(1));
                const apart = fleet.ids.slice(0, Math.floor(size / 3));
                fleet.network.isolate(apart);
                [fleet.ids[0]!, fleet.ids[size - 1]!].forEach(fleet.restart);
                await fleet.clock.advance(8_000);
                assert.equal(fleet.versionOf(fleet.ids[0]!), 0, "a VM that hears a minority trusts a document");
                assert.equal(fleet.versionOf(fleet.ids[size - 1]!), 2);
                fleet.network.heal();
                assert.notEqual(await fleet.untilInForce(2, everywhereMs), undefined);
                assert.deepEqual(reverts(fleet), []);
            }));

        it("serves a VM that restarts while the platform is down from its peers", () =>
            withSeeds([16], async seed => {
                const fleet = await startFleet({ ...shape, seed });
                fleet.publish(2);
                await fleet.untilInForce(2, everywhereMs);
                fleet.platform.treat("down");
                fleet.restart(fleet.ids[0]!);
                assert.equal(fleet.vm(0).feed.isReady(), false);
                assert.notEqual(await fleet.untilInForce(2, everywhereMs), undefined);
            }));

        it("keeps enough watchers when lists of VMs disagree and call every VM leaving", () =>
            withSeeds([17], async seed => {
                const fleet = await startFleet({ ...shape, seed });
                fleet.platform.setVms(fleet.ids.map(id => ({ id, state: "leaving" })));
                await fleet.clock.advance(35_000);
                fleet.publish(2);
                const passedMs = await fleet.untilInForce(2, statesAndKeysMs);
                assert.notEqual(passedMs, undefined);
            }));

        it("spreads a version over one-way cuts", () =>
            withSeeds([18, 19], async seed => {
                const fleet = await startFleet({ ...shape, seed });
                onlyReaders(fleet, 1);
                // The reader hears nobody, and half of the VMs do not hear the reader.
                fleet.ids.slice(1).forEach(id => fleet.network.cut(id, fleet.ids[0]!));
                await fleet.clock.advance(8_000);
                fleet.publish(2);
                await fleet.clock.advance(everywhereMs);
                fleet.network.heal();
                assert.notEqual(await fleet.untilInForce(2, statesAndKeysMs), undefined);
                fleet.ids.slice(Math.ceil(size / 2)).forEach(id => fleet.network.cut(fleet.ids[0]!, id));
                fleet.publish(3);
                assert.notEqual(await fleet.untilInForce(3, statesAndKeysMs), undefined);
            }));

        it("catches up after a pause, whether or not the platform answers", () =>
            withSeeds([20, 21], async seed => {
                const fleet = await startFleet({ ...shape, seed });
                const paused = fleet.vm(1);
                paused.clock.pause();
                fleet.network.pause(paused.id);
                fleet.publish(2);
                await fleet.clock.advance(12_000);
                fleet.platform.treat("silent", paused.id);
                paused.clock.resume();
                fleet.network.resume(paused.id);
                assert.notEqual(await fleet.untilInForce(2, statesAndKeysMs), undefined);
                assert.deepEqual(reverts(fleet), []);
            }));
    });
}
