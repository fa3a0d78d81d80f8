import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEntryZone, type SecondOfLoad, vmCapacityPerS } from "./EntryZone.js";

const vmCount = 20;
const seconds = 20;
/** The span over which the shares of customers are compared, and the share of what it asks for that one is owed at least. */
const windowS = 6;
const minShare = 0.5;

/** The smallest share of the requests sent in a window that began. */
function worstShare(load: readonly SecondOfLoad[]): number {
    const shares = load.slice(0, 1 - windowS).map((_, start) => {
        const window = load.slice(start, start + windowS);
        const sum = (count: (second: SecondOfLoad) => number) =>
            window.reduce((total, second) => total + count(second), 0);
        return sum(({ begun }) => begun) / sum(({ sent }) => sent);
    });
    return Math.min(...shares);
}

describe("Callers that enter at a VM that is full", () => {
    for (const overload of [1.5, 3, 4.5]) {
        it(`are not starved while the other VMs of the zone are idle, ${overload} times what the VM can serve`, async () => {
            for (const seed of [1, 2, 3]) {
                const zone = createEntryZone(vmCount, [
                    { name: "large", perS: overload * vmCapacityPerS },
                    ...Array.from({ length: 3 * vmCount }, (_, index) => ({ name: `small-${index}`, perS: 5 })),
                ], seed);
                const loads = await zone.play(seconds);
                zone.dispose();
                loads.forEach((load, name) =>
                    assert.ok(worstShare(load) >= minShare, `seed ${seed}: ${worstShare(load)} of ${name}`)
                );
            }
        });
    }
});
