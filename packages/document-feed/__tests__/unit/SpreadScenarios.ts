import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
    findReverts,
    type Fleet,
    maxPropagationMs,
    maxStatePropagationMs,
    type OptionsChange,
    startFleet,
    withSeeds,
} from "./FleetHarness.js";

/** A feed that ignores version announcements of peers, so that it depends on the configuration service. */
const ignoresPeers: OptionsChange = (_id, options) => ({
    ...options,
    membership: { ...options.membership, registerPeerListener: () => () => undefined },
});
const limitReaders = (fleet: Fleet, count: number): void =>
    fleet.ids.slice(count).forEach(id => fleet.platform.setResponseMode("unresponsive", id));

/** Tests how fast a version becomes active on all VMs of a fleet of the given size. */
export function describeSpread(shape: { readonly size: number; readonly zones: number; }): void {
    const { size } = shape;
    describe(`Propagation of a version to ${size} VMs`, () => {
        const seeds = [1, 2];
        const measurePropagation = async (
            readers: number,
            seed: number,
            change?: OptionsChange,
        ): Promise<number | undefined> => {
            const fleet = await startFleet({ ...shape, seed, ...(change && { change }) });
            limitReaders(fleet, readers);
            await fleet.clock.advance(8_000);
            fleet.publish(2);
            return fleet.untilActive(2, maxPropagationMs);
        };

        it("all VMs adopt a version within 5 s if only some of them can read the configuration service", () =>
            withSeeds(seeds, async seed => {
                for (const readers of [size, 3, 1]) {
                    const elapsedMs = await measurePropagation(readers, seed);
                    assert.ok(
                        elapsedMs !== undefined && elapsedMs <= maxStatePropagationMs,
                        `${readers} readers: ${elapsedMs} ms`,
                    );
                }
            }));

        it("detects VMs that ignore their peers", () =>
            withSeeds([1], async seed => assert.equal(await measurePropagation(3, seed, ignoresPeers), undefined)));

        it("all VMs adopt a version within 5 s if all watches stop responding at once", () =>
            withSeeds([4, 5], async seed => {
                const fleet = await startFleet({ ...shape, seed });
                fleet.platform.setResponseMode("unresponsive");
                fleet.publish(2);
                await fleet.clock.advance(100);
                fleet.platform.setResponseMode("normal");
                const elapsedMs = await fleet.untilActive(2, maxPropagationMs);
                assert.ok(elapsedMs !== undefined && elapsedMs + 100 <= maxStatePropagationMs, `${elapsedMs} ms`);
            }));

        it("all VMs adopt a version within 10 s after an outage and rate limiting of the service, with 10% message loss", () =>
            withSeeds([6, 7], async seed => {
                const fleet = await startFleet({ ...shape, seed, lossRatio: 0.1 });
                fleet.platform.setResponseMode("down");
                await fleet.clock.advance(15_000);
                fleet.platform.setResponseMode("limit");
                await fleet.clock.advance(5_000);
                fleet.platform.setResponseMode("normal");
                fleet.publish(2);
                const elapsedMs = await fleet.untilActive(2, maxPropagationMs);
                assert.ok(elapsedMs !== undefined, "not active within 10 s");
            }));

        it("transfers the document from peers to a VM that restarts while the configuration service is down", () =>
            withSeeds([16], async seed => {
                const fleet = await startFleet({ ...shape, seed });
                fleet.publish(2);
                await fleet.untilActive(2, maxPropagationMs);
                fleet.platform.setResponseMode("down");
                fleet.restart(fleet.ids[0]!);
                assert.equal(fleet.vm(0).feed.isReady(), false);
                assert.notEqual(await fleet.untilActive(2, maxPropagationMs), undefined);
            }));

        it("keeps enough watchers if the list of VMs reports every VM as leaving", () =>
            withSeeds([17], async seed => {
                const fleet = await startFleet({ ...shape, seed });
                fleet.platform.setVms(fleet.ids.map(id => ({ id, state: "leaving" })));
                await fleet.clock.advance(35_000);
                fleet.publish(2);
                const elapsedMs = await fleet.untilActive(2, maxStatePropagationMs);
                assert.notEqual(elapsedMs, undefined);
            }));

        it("propagates a version across one-way partitions", () =>
            withSeeds([18, 19], async seed => {
                const fleet = await startFleet({ ...shape, seed });
                limitReaders(fleet, 1);
                // The reader first receives nothing from other VMs; later half of the VMs receive nothing from the reader.
                fleet.ids.slice(1).forEach(id => fleet.network.partitionOneWay(id, fleet.ids[0]!));
                await fleet.clock.advance(8_000);
                fleet.publish(2);
                await fleet.clock.advance(maxPropagationMs);
                fleet.network.heal();
                assert.notEqual(await fleet.untilActive(2, maxStatePropagationMs), undefined);
                fleet.ids.slice(Math.ceil(size / 2)).forEach(id => fleet.network.partitionOneWay(fleet.ids[0]!, id));
                fleet.publish(3);
                assert.notEqual(await fleet.untilActive(3, maxStatePropagationMs), undefined);
            }));

        it("catches up from peers after a pause, even if the configuration service does not respond", () =>
            withSeeds([20, 21], async seed => {
                const fleet = await startFleet({ ...shape, seed });
                const paused = fleet.vm(1);
                paused.clock.pause();
                fleet.network.pause(paused.id);
                fleet.publish(2);
                await fleet.clock.advance(12_000);
                fleet.platform.setResponseMode("unresponsive", paused.id);
                paused.clock.resume();
                fleet.network.resume(paused.id);
                assert.notEqual(await fleet.untilActive(2, maxStatePropagationMs), undefined);
                assert.deepEqual(findReverts(fleet), []);
            }));
    });
}
