import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createGenerationSpeed } from "../../src/GenerationSpeed.js";

describe("GenerationSpeed", () => {
    [0.6, 1, 1.6].forEach(speed =>
        it(`is within 15 % of ${speed} although a share of the responses stalls`, () => {
            const random = testing.createSeededRandom(1);
            const generation = createGenerationSpeed();
            Array.from({ length: 60 }, () => {
                const expectedMs = 100 + 900 * random();
                generation.record(expectedMs / speed * (random() < 0.15 ? 2.5 : 1), expectedMs);
            });
            const ratio = (generation.value() ?? 0) / speed;
            assert.ok(Math.abs(ratio - 1) <= 0.15, `${ratio} times the speed`);
        })
    );

    it("ignores reports without a response that has ended", () => {
        const generation = createGenerationSpeed();
        Array.from({ length: 60 }, () => generation.record(0, 0));
        assert.equal(generation.value(), undefined);
    });
});
