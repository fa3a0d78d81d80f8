import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createCustomerUsage, fairShare } from "../../src/CustomerUsage.js";
import { maxWaitMs } from "../../src/EngineAdmission.js";

describe("CustomerUsage", () => {
    describe("fair share", () => {
        it("divides what customers below it leave among the others", () => {
            assert.equal(fairShare([10, 60, 50], 90), 40);
            assert.equal(fairShare([60, 60], 60), 30);
        });

        it("is unlimited if the capacity covers all usages", () => {
            assert.equal(fairShare([10, 20], 30), Number.POSITIVE_INFINITY);
            assert.equal(fairShare([], 0), Number.POSITIVE_INFINITY);
        });
    });

    it("is relative to the heaviest customer while the throughput covers all usages", () => {
        const usage = createCustomerUsage(() => 1_000_000);
        usage.record(1, 100, 0);
        usage.record(2, 50, 0);
        assert.equal(usage.relative(1, 0), 1);
        assert.equal(usage.relative(2, 0), 0.5);
        assert.equal(usage.relative(3, 0), 0);
    });

    it("never exceeds 1 for the heaviest customer while the throughput covers all usages", () => {
        const usage = createCustomerUsage(() => 1_000_000);
        usage.record(1, 100, 0);
        assert.equal(usage.relative(1, 0), 1);
        usage.record(1, 900, 10);
        assert.equal(usage.relative(1, 10), 1);
    });

    it("of equal customers does not exceed the fair share, also if cached prompts make it exceed the stated throughput", () => {
        const usage = createCustomerUsage(() => 1);
        [1, 2, 3].forEach(customer => usage.record(customer, 1_000, 0));
        assert.ok(usage.relative(1, 0) <= 1, `${usage.relative(1, 0)}`);
    });

    describe("under a load above the throughput", () => {
        const objectiveMs = 500;
        const statedPerTick = 20;
        // Engines admit more than they state, since usage counts cached prompt parts in full.
        const throughputPerTick = 30;
        const tickMs = 10;

        /** Requests of each customer that one queue admits, which drains at a constant rate, and the mean wait in ms there. */
        function play(demandPerTick: readonly number[]) {
            const usage = createCustomerUsage(() => statedPerTick * (1_000 / tickMs));
            const admitted = demandPerTick.map(() => 0);
            const ticks = 3_000;
            let backlog = 0;
            let sumOfWaitsMs = 0;
            Array.from({ length: ticks }, (_, tick) => {
                backlog = Math.max(0, backlog - throughputPerTick);
                sumOfWaitsMs += backlog * (tickMs / throughputPerTick);
                demandPerTick.forEach((demand, customer) =>
                    Array.from({ length: Math.floor(demand * (tick + 1)) - Math.floor(demand * tick) }, () => {
                        const bound = { elapsedMs: 0, objectiveMs, meanLoad: 1 };
                        const relativeUsage = usage.relative(customer, tick * tickMs);
                        if (backlog * (tickMs / throughputPerTick) <= maxWaitMs({ ...bound, relativeUsage })) {
                            backlog++;
                            admitted[customer]!++;
                            usage.record(customer, 1, tick * tickMs);
                        }
                    })
                );
            });
            return { servedPerTick: admitted.map(count => count / ticks), meanWaitMs: sumOfWaitsMs / ticks };
        }

        it("serves customers below the fair share in full, whatever the others ask for", () => {
            [[60, 9, 1], [60, 40, 5, 1], [200, 8, 2]].forEach(demandPerTick => {
                const { servedPerTick } = play(demandPerTick);
                const share = fairShare(demandPerTick, statedPerTick);
                demandPerTick.forEach((demand, customer) =>
                    assert.ok(demand > share || servedPerTick[customer]! >= demand * 0.95, `served ${servedPerTick}`)
                );
                const total = servedPerTick.reduce((sum, served) => sum + served, 0);
                assert.ok(total >= throughputPerTick * 0.95, `served ${servedPerTick}`);
            });
        });

        it("gives customers above the fair share about the same", () => {
            const { servedPerTick: [first = 0, second = 0] } = play([90, 45, 1]);
            assert.ok(first <= 1.5 * second, `${first} and ${second}`);
        });

        it("keeps the wait short for all if several customers exceed the fair share", () => {
            const { meanWaitMs } = play([90, 60, 45, 30, ...Array.from({ length: 12 }, () => 0.5)]);
            assert.ok(meanWaitMs <= objectiveMs * 0.15, `${meanWaitMs}`);
        });
    });
});
