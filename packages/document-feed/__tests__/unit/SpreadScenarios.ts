import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
    type Change,
    everywhereMs,
    type Fleet,
    reverts,
    startFleet,
    statesAndKeysMs,
    withSeeds,
} from "./FleetHarness.js";

/** A feed that hears nothing from its peers and so learns from the platform only. */
const deafToPeers: Change = (_id, options) => ({
    ...options,
    membership: { ...options.membership, registerPeerListener: () => () => undefined },
});
const onlyReaders = (fleet: Fleet, count: number): void =>
    fleet.ids.slice(count).forEach(id => fleet.platform.setResponseMode("silent", id));

/** How soon a version is in force, in fleets of every size. */
export function describeSpread(shape: { readonly size: number; readonly zones: number; }): void {
    const { size } = shape;
    describe(`Spread of a version over ${size} VMs`, () => {
        const seeds = [1, 2];
        const spreadFrom = async (readers: number, seed: number, change?: Change): Promise<number | undefined> => {
            const fleet = await startFleet({ ...shape, seed, ...(change && { change }) });
            onlyReaders(fleet, readers);
            await fleet.clock.advance(8_000);
            fleet.publish(2);
            return fleet.untilInForce(2, everywhereMs);
        };

        it("puts a version in force everywhere within 5 s when only some VMs can read the platform", () =>
            withSeeds(seeds, async seed => {
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
                fleet.platform.setResponseMode("silent");
                fleet.publish(2);
                await fleet.clock.advance(100);
                fleet.platform.setResponseMode("answer");
                const passedMs = await fleet.untilInForce(2, everywhereMs);
                assert.ok(passedMs !== undefined && passedMs + 100 <= statesAndKeysMs, `${passedMs} ms`);
            }));

        it("puts a version in force within 10 s after a platform outage with limits, and with 10% loss", () =>
            withSeeds([6, 7], async seed => {
                const fleet = await startFleet({ ...shape, seed, lossRatio: 0.1 });
                fleet.platform.setResponseMode("down");
                await fleet.clock.advance(15_000);
                fleet.platform.setResponseMode("limit");
                await fleet.clock.advance(5_000);
                fleet.platform.setResponseMode("answer");
                fleet.publish(2);
                const passedMs = await fleet.untilInForce(2, everywhereMs);
                assert.ok(passedMs !== undefined, "not in force within 10 s");
            }));

        it("serves a VM that restarts while the platform is down from its peers", () =>
            withSeeds([16], async seed => {
                const fleet = await startFleet({ ...shape, seed });
                fleet.publish(2);
                await fleet.untilInForce(2, everywhereMs);
                fleet.platform.setResponseMode("down");
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
                fleet.platform.setResponseMode("silent", paused.id);
                paused.clock.resume();
                fleet.network.resume(paused.id);
                assert.notEqual(await fleet.untilInForce(2, statesAndKeysMs), undefined);
                assert.deepEqual(reverts(fleet), []);
            }));
    });
}
