import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { nextSpeedStep, speedOfStep } from "../../src/SpeedStep.js";

describe("SpeedStep", () => {
    it("is 0 for engines that differ little", () => {
        [0.76, 0.9, 1, 1.1, 1.34].forEach(ratio => assert.equal(nextSpeedStep(0, ratio), 0, String(ratio)));
    });

    it("is within 15 % of the speeds of a mixed pool", () => {
        [0.4, 0.6, 1.6, 2.5].forEach(ratio =>
            assert.ok(Math.abs(speedOfStep(nextSpeedStep(0, ratio)) / ratio - 1) <= 0.15, String(ratio))
        );
    });

    it("does not move sessions back and forth when a speed varies by 15 % around a threshold", () => {
        [1.35, 1.4, 1.75, 0.57, 0.74].forEach(ratio => {
            const steps = Array.from({ length: 20 }).reduce<readonly number[]>(
                (
                    before,
                    _,
                    index,
                ) => [...before, nextSpeedStep(before.at(-1) ?? 0, ratio * (index % 2 ? 1.075 : 0.925))],
                [],
            );
            assert.equal(new Set(steps.slice(2)).size, 1, `${ratio}: ${steps.join()}`);
        });
    });

    it("is bounded", () => {
        assert.equal(nextSpeedStep(0, 1e9), 6);
        assert.equal(nextSpeedStep(0, 1e-9), -6);
    });
});
