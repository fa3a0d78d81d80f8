import { err } from "neverthrow";
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

/** The never-revert rule, in fleets of every size. */
export function describeNeverReverts(shape: { readonly size: number; readonly zones: number; }): void {
    const { size } = shape;
    describe(`Never-revert rule with ${size} VMs`, () => {
        const restartWhileStale = async (seed: number, change?: Change): Promise<Fleet> => {
            const fleet = await startFleet({ ...shape, seed, ...(change && { change }) });
            fleet.publish(2);
            await fleet.untilInForce(2, everywhereMs);
            fleet.platform.serveStale(1, fleet.textOf(1));
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
            fleet.platform.serveStale(1, fleet.textOf(1));
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
                apart.forEach(id => fleet.platform.setResponseMode("down", id));
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
                fleet.platform.serveStale(1, fleet.textOf(1));
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
    });
}
