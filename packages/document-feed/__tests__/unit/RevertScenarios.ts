import { err } from "neverthrow";
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

const acceptsAnyVersion: OptionsChange = (_id, options) => ({ ...options, isNewer: () => true });
/** A feed that adopts the document of the configuration service without asking peers. */
const skipsQuorum: OptionsChange = (_id, options) => ({
    ...options,
    quorumOf: () => 0,
    endpoint: {
        ...options.endpoint,
        call: (to, slice, payload, timeoutMs) =>
            slice === "platform"
                ? Promise.resolve(err({ kind: "unreachable", message: "not called" }))
                : options.endpoint.call(to, slice, payload, timeoutMs),
    },
});

/** Tests the never-revert rule with a fleet of the given size. */
export function describeNeverReverts(shape: { readonly size: number; readonly zones: number; }): void {
    const { size } = shape;
    describe(`Never-revert rule with ${size} VMs`, () => {
        const restartWhileStale = async (seed: number, change?: OptionsChange): Promise<Fleet> => {
            const fleet = await startFleet({ ...shape, seed, ...(change && { change }) });
            fleet.publish(2);
            await fleet.untilActive(2, maxPropagationMs);
            fleet.platform.serveStale(1, fleet.textOf(1));
            fleet.ids.slice(0, Math.floor(size / 3)).forEach(fleet.restart);
            await fleet.untilActive(1, maxPropagationMs);
            return fleet;
        };

        it("does not revert when VMs restart while the configuration service is stale", () =>
            withSeeds([8, 9, 10], async seed => {
                const fleet = await restartWhileStale(seed);
                assert.deepEqual(findReverts(fleet), []);
                assert.ok(fleet.runningVms().every(vm => vm.feed.isReady()), "not all VMs are ready");
            }));

        it("detects a starting VM that does not wait for a quorum", () =>
            withSeeds(
                [8],
                async seed => assert.notDeepEqual(findReverts(await restartWhileStale(seed, skipsQuorum)), []),
            ));

        const staleWithoutRestart = async (seed: number, change?: OptionsChange): Promise<Fleet> => {
            const fleet = await startFleet({ ...shape, seed, ...(change && { change }) });
            fleet.publish(2);
            await fleet.untilActive(2, maxPropagationMs);
            fleet.platform.serveStale(1, fleet.textOf(1));
            await fleet.clock.advance(12_000);
            return fleet;
        };

        it("does not revert to the older version of a stale configuration service", () =>
            withSeeds([11], async seed => assert.deepEqual(findReverts(await staleWithoutRestart(seed)), [])));

        it("detects a feed in which any version may replace the active one", () =>
            withSeeds(
                [11],
                async seed => assert.notDeepEqual(findReverts(await staleWithoutRestart(seed, acceptsAnyVersion)), []),
            ));

        it("does not revert during a partition or by a peer with an older document, and catches up afterwards", () =>
            withSeeds([12, 13], async seed => {
                const fleet = await startFleet({ ...shape, seed });
                const partitioned = fleet.ids.slice(0, Math.floor(size / 2));
                partitioned.forEach(id => fleet.platform.setResponseMode("down", id));
                fleet.network.isolate(partitioned);
                fleet.publish(2);
                assert.notEqual(
                    await fleet.untilActive(2, maxPropagationMs, fleet.ids.slice(partitioned.length)),
                    undefined,
                );
                assert.ok(partitioned.every(id => fleet.versionOf(id) === 1), "the partition lets messages through");
                assert.ok(
                    partitioned.every((_, index) => fleet.vm(index).feed.isReady()),
                    "a partitioned VM is not ready",
                );
                fleet.network.heal();
                assert.notEqual(await fleet.untilActive(2, maxStatePropagationMs), undefined);
                assert.deepEqual(findReverts(fleet), []);
            }));

        it("does not revert with a partition and restarts while the configuration service is stale", () =>
            withSeeds([14, 15], async seed => {
                const fleet = await startFleet({ ...shape, seed });
                fleet.publish(2);
                await fleet.untilActive(2, maxPropagationMs);
                fleet.platform.serveStale(1, fleet.textOf(1));
                const partitioned = fleet.ids.slice(0, Math.floor(size / 3));
                fleet.network.isolate(partitioned);
                [fleet.ids[0]!, fleet.ids[size - 1]!].forEach(fleet.restart);
                await fleet.clock.advance(8_000);
                assert.equal(
                    fleet.versionOf(fleet.ids[0]!),
                    0,
                    "a VM that reaches only a minority adopts a document",
                );
                assert.equal(fleet.versionOf(fleet.ids[size - 1]!), 2);
                fleet.network.heal();
                assert.notEqual(await fleet.untilActive(2, maxPropagationMs), undefined);
                assert.deepEqual(findReverts(fleet), []);
            }));
    });
}
