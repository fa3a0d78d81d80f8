import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { checkShares, minShare, playHotCustomer } from "./EntryZone.js";

const seeds = [1, 2, 3];

describe("Callers that enter at a VM that is full", () => {
    for (const overload of [1.5, 2, 3, 4.5]) {
        it(`are not starved while the other VMs of the zone are idle, ${overload} times what the VM can serve`, async () => {
            for (const seed of seeds) {
                await checkShares(overload, seed);
            }
        });
    }

    [false, true].forEach(losesServingVm => {
        const suffix = losesServingVm ? ", also when a VM that serves its connections is lost" : "";
        it(`get at least half of what perfect entry gives while a customer sends ten times its rate${suffix}`, async context => {
            for (const seed of seeds) {
                const perfect = await playHotCustomer("perfect", seed, losesServingVm);
                const shares = await playHotCustomer("hash-and-relay", seed, losesServingVm);
                context.diagnostic(`seed ${seed}: ${JSON.stringify({ shares, perfect })}`);
                assert.ok(shares.largeWorst >= minShare * perfect.largeWorst, `large customer, seed ${seed}`);
                assert.ok(shares.smallWorst >= minShare * perfect.smallWorst, `small customers, seed ${seed}`);
            }
        });
    });
});
