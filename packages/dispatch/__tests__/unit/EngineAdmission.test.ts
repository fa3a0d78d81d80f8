import * as core from "@peridotloft/core";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createCustomerUsage } from "../../src/CustomerUsage.js";
import {
    computeRetryAfterMs,
    type EngineAdmissionInput,
    isRefusedForUsage,
    maxSlotShare,
    maxSpillWaitMs,
    maxWaitMs,
} from "../../src/EngineAdmission.js";
import { loadFromSlotShare } from "../../src/Placement.js";

const isAdmitted = (offered: EngineAdmissionInput): boolean => offered.waitMs <= maxWaitMs(offered);
const input = { waitMs: 0, elapsedMs: 0, objectiveMs: 500, relativeUsage: 0, meanLoad: 1 };

describe("EngineAdmission", () => {
    it("admits a prompt with almost no wait, even for the heaviest customer", () => {
        assert.ok(isAdmitted({ ...input, waitMs: 50, relativeUsage: 1 }));
    });

    it("refuses a prompt that would wait past its objective, so that queues stay short under overload", () => {
        assert.ok(!isAdmitted({ ...input, waitMs: 400 }));
    });

    it("refuses the heaviest customer before the others", () => {
        assert.ok(isAdmitted({ ...input, waitMs: 200, relativeUsage: 0.1 }));
        assert.ok(!isAdmitted({ ...input, waitMs: 200, relativeUsage: 1 }));
    });

    it("tells a refusal for the customer's usage from one for lack of capacity", () => {
        const heavy = { ...input, relativeUsage: 1 };
        assert.ok(isRefusedForUsage({ ...heavy, waitMs: 200 }, 10));
        assert.ok(!isRefusedForUsage({ ...heavy, waitMs: 400 }, 10), "the queue is too long for everyone");
        assert.ok(!isRefusedForUsage({ ...heavy, waitMs: 200 }, 0), "no slot is free for anyone");
    });

    it("does not limit heavy customers more than others while engines are idle", () => {
        assert.ok(isAdmitted({ ...input, waitMs: 250, relativeUsage: 1, meanLoad: 0 }));
    });

    it("spills heavy customers over only to an idle engine, and light ones also to a busy engine", () => {
        const light = { ...input, relativeUsage: 0.1 };
        const heavy = { ...input, relativeUsage: 1 };
        assert.equal(maxSpillWaitMs(light), maxWaitMs(light));
        assert.ok(maxSpillWaitMs(heavy) > 0 && maxSpillWaitMs(heavy) < 60);
    });

    it("increases Retry-After with the excess wait, within bounds", () => {
        const random = testing.createSeededRandom(1);
        const shortRetryMs = computeRetryAfterMs({ ...input, waitMs: 320 }, random);
        const longRetryMs = computeRetryAfterMs({ ...input, waitMs: 2_000 }, random);
        assert.ok(
            shortRetryMs >= 150 && shortRetryMs < longRetryMs && longRetryMs <= 1_500,
            `${shortRetryMs} ${longRetryMs}`,
        );
    });

    describe("slots", () => {
        it("hardly hold a customer with half of the largest usage back, and the heaviest customer much", () => {
            assert.ok(maxSlotShare({ relativeUsage: 0.5, slotLoad: 1 }) >= 0.85);
            assert.ok(maxSlotShare({ relativeUsage: 1, slotLoad: 1 }) <= 0.3);
            assert.equal(maxSlotShare({ relativeUsage: 1, slotLoad: 0 }), 1);
        });

        /** Prompts that customers get admitted to engines whose slots are used in a random order of arrival. */
        function admittedByCustomer(demandPerTick: readonly number[]): readonly number[] {
            const random = testing.createSeededRandom(1);
            const usage = createCustomerUsage();
            const admitted = demandPerTick.map(() => 0);
            const slots = 600;
            const runTicks = 150;
            const ends: number[] = [];
            Array.from({ length: 2_000 }, (_, tick) => {
                const nowMs = tick * 10;
                while ((ends[0] ?? Number.POSITIVE_INFINITY) <= tick) {
                    ends.shift();
                }
                const arrivals = demandPerTick.flatMap((demand, customer) =>
                    Array.from({ length: Math.floor(demand + random()) }, () => customer)
                );
                core.shuffle(arrivals, random).forEach(customer => {
                    const relativeUsage = usage.relative(customer, nowMs);
                    if (
                        ends.length
                            < slots * maxSlotShare({ relativeUsage, slotLoad: loadFromSlotShare(ends.length / slots) })
                    ) {
                        ends.push(tick + runTicks);
                        admitted[customer]!++;
                        usage.record(customer, 1, nowMs);
                    }
                });
            });
            return admitted;
        }

        it("go in about equal parts to customers that ask for more than their share, however much more", () => {
            [[20, 2, 0.3, 0.3], [30, 2.5], [20, 2.2, 2.2]].forEach(demandPerTick => {
                const [first = 0, second = 0] = admittedByCustomer(demandPerTick);
                assert.ok(first <= 1.5 * second, `${first} and ${second} of ${demandPerTick}`);
            });
        });
    });

    it("equalizes the usage of customers that exceed the capacity, and serves light customers in full", () => {
        const usage = createCustomerUsage();
        const demandPerTick = [40, 20, 10, 1];
        const served = demandPerTick.map(() => 0);
        const offered = demandPerTick.map(() => 0);
        const drainPerTick = 30;
        let backlog = 0;
        Array.from({ length: 2_000 }, (_, tick) => {
            const nowMs = tick * 10;
            backlog = Math.max(0, backlog - drainPerTick);
            demandPerTick.forEach((demand, customer) =>
                Array.from({ length: demand }, () => {
                    offered[customer]!++;
                    const relativeUsage = usage.relative(customer, nowMs);
                    if (isAdmitted({ ...input, waitMs: backlog, relativeUsage })) {
                        backlog++;
                        served[customer]!++;
                        usage.record(customer, 1, nowMs);
                    }
                })
            );
        });
        const shares = served.map((count, customer) => count / offered[customer]!);
        assert.ok(shares[3]! > 0.95, `light customer: ${shares}`);
        // The other three share the remaining capacity about equally; none may get less than half of another's share.
        assert.ok(Math.min(served[0]!, served[1]!, served[2]!) * 2 >= Math.max(served[0]!, served[1]!), `${served}`);
    });
});
