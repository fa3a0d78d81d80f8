import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { largestServiceGap } from "../../src/FleetObserver.js";

describe("largestServiceGap", () => {
    it("finds a gap within the measurement that is closed again at its end", () => {
        // A measure of the last sample alone would report 0.
        assert.equal(largestServiceGap([[0, 0], [50, 10], [60, 60]]), 40);
    });

    it("adds a lead of one customer and a later lead of the other, which span one interval", () => {
        assert.equal(largestServiceGap([[0, 0], [30, 0], [30, 70]]), 70);
    });

    it("is 0 for equal service", () => {
        assert.equal(largestServiceGap([[0, 0], [5, 5]]), 0);
    });
});
