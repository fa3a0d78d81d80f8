import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createCustomerUsage } from "../../src/CustomerUsage.js";
import { fairShareOf, fairShareWeight, pressureOf } from "../../src/FairShare.js";

const demandOf = (begunTokens: number, refusedTokens = 0) => ({ begunTokens, refusedTokens });

describe("FairShare", () => {
    it("divides equally what customers with small demands leave", () => {
        assert.equal(fairShareOf([demandOf(10), demandOf(60, 40), demandOf(30, 70)]), 45);
    });

    it("is the largest demand if nothing is refused, and 0 without customers", () => {
        assert.equal(fairShareOf([demandOf(10), demandOf(60)]), 60);
        assert.equal(fairShareOf([]), 0);
    });

    it("does not grow with what a customer asks for beyond its share, so that asking more gains nothing", () => {
        assert.equal(
            fairShareOf([demandOf(50, 1e9), demandOf(50, 50)]),
            fairShareOf([demandOf(50, 51), demandOf(50, 50)]),
        );
    });

    it("holds customers back the more the further they are above their share, without a step", () => {
        const pressures = Array.from({ length: 301 }, (_, index) => pressureOf(index / 100));
        pressures.slice(1).forEach((pressure, index) =>
            assert.ok(pressure >= pressures[index]! && pressure - pressures[index]! <= 0.02, `${index}`)
        );
        assert.equal(pressures[0], 0);
        assert.equal(pressures.at(-1), 1);
    });

    it("counts only once something is refused", () => {
        assert.equal(fairShareWeight([demandOf(100)]), 0);
        assert.equal(fairShareWeight([demandOf(100, 100)]), 1);
    });

    it("leaves the pressure on customers at their relative usage in fleets that do not sum up usage", () => {
        const usage = createCustomerUsage();
        usage.record(1, 100, 0);
        usage.record(2, 50, 0);
        usage.recordRefused(2, 900, 0);
        assert.equal(usage.pressure(2, 0), usage.relative(2, 0));
    });

    it("does not hold back a customer below its share that is refused most of what it asks for", () => {
        const totals = new Map([
            [1, { customerHash: 1, ...demandOf(100, 400) }],
            [2, { customerHash: 2, ...demandOf(40, 460) }],
        ]);
        const usage = createCustomerUsage(() => totals);
        assert.ok(usage.pressure(2, 0) <= 0.3, `${usage.pressure(2, 0)}`);
        assert.ok(usage.pressure(1, 0) >= 0.9, `${usage.pressure(1, 0)}`);
    });
});
