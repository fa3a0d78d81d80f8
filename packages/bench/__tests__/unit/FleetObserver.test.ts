import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { largestServiceGap } from "../../src/FleetObserver.js";

describe("largestServiceGap", () => {
    it("detects a gap that opens and closes within the measurement", () => {
        // Comparing only the last sample would give 0.
        assert.equal(largestServiceGap([[0, 0], [50, 10], [60, 60]]), 40);
    });

    it("adds up opposite leads of two customers within one interval", () => {
        assert.equal(largestServiceGap([[0, 0], [30, 0], [30, 70]]), 70);
    });

    it("is 0 for equal service", () => {
        assert.equal(largestServiceGap([[0, 0], [5, 5]]), 0);
    });
});
