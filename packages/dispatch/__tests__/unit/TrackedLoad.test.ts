import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createTrackedLoad } from "../../src/TrackedLoad.js";

function loadAfter(waitMs: number, slotShare: number) {
    const load = createTrackedLoad(testing.createVirtualClock());
    Array.from({ length: 40 }).forEach(() => load.record(waitMs, slotShare));
    return load;
}

describe("TrackedLoad", () => {
    it("does not count long queues as load of the slots, so that heavy customers are not held back from free slots", () => {
        const load = loadAfter(400, 0.4);
        assert.equal(load.value(), 1);
        assert.equal(load.slotLoad(), 0);
    });

    it("counts engines without free slots as loaded, although no prompt waits for its prefill", () => {
        const load = loadAfter(0, 1);
        assert.equal(load.value(), 1);
        assert.equal(load.slotLoad(), 1);
    });
});
