import { describe, it } from "node:test";
import { checkShares } from "./EntryZone.js";

describe("Callers that enter at a VM that is full", () => {
    for (const overload of [3, 4.5]) {
        it(`are not starved while the other VMs of the zone are idle, ${overload} times what the VM can serve`, async () => {
            for (const seed of [1, 2, 3]) {
                await checkShares(overload, seed);
            }
        });
    }
});
