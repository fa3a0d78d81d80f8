import * as core from "@peridotloft/core";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { chooseService, type ServiceCandidate } from "../../src/Placement.js";
import { selectByRendezvous } from "../../src/Rendezvous.js";

const service = (id: string, more: Partial<ServiceCandidate> = {}) => ({
    id,
    running: 0,
    slots: 8,
    failureShare: 0,
    ...more,
});

describe("chooseService", () => {
    it("chooses the service with the smallest share of its slots in use", () => {
        const candidates = [service("a", { running: 4 }), service("b", { running: 3, slots: 4 })];
        assert.equal(chooseService(candidates, testing.createSeededRandom(1))?.id, "a");
    });

    it("prefers a healthy service over one that fails part of its requests", () => {
        const candidates = [service("failing", { failureShare: 0.4 }), service("healthy", { running: 1 })];
        assert.equal(chooseService(candidates, testing.createSeededRandom(1))?.id, "healthy");
    });

    it("spreads requests over equally loaded services", () => {
        const random = testing.createSeededRandom(2);
        const chosen = Array.from(
            { length: 60 },
            () => chooseService([service("a"), service("b"), service("c")], random)?.id,
        );
        ["a", "b", "c"].forEach(id => {
            const count = chosen.filter(other => other === id).length;
            assert.ok(count >= 10, `${id} got ${count} of 60`);
        });
    });
});

/** Reference implementation: all candidates, sorted by their score. */
function rankByRendezvous(key: string, ids: readonly number[]): number[] {
    const score = (id: number): number => core.mixHashes(id, core.hash32(key));
    return [...ids].sort((left, right) => score(right) - score(left));
}

describe("selectByRendezvous", () => {
    const ids = Array.from({ length: 13 }, (_, index) => core.hash32(`i-${index}`));

    it("moves only the sessions of a removed upstream", () => {
        const sessions = Array.from({ length: 500 }, (_, index) => `s${index}`);
        const remaining = ids.slice(1);
        sessions.forEach(session => {
            const before = selectByRendezvous(session, ids, id => id, 1)[0];
            const after = selectByRendezvous(session, remaining, id => id, 1)[0];
            assert.ok(before === ids[0] || before === after);
        });
    });

    it("selects the candidates with the highest scores", () => {
        Array.from({ length: 200 }, (_, index) => `s${index}`).forEach(session =>
            assert.deepEqual(
                selectByRendezvous(session, ids, id => id, 3),
                rankByRendezvous(session, ids).slice(0, 3),
            )
        );
    });

    it("spreads sessions evenly", () => {
        const counts = new Map<number, number>();
        Array.from({ length: 13_000 }, (_, index) => selectByRendezvous(`s${index}`, ids, id => id, 1)[0]!)
            .forEach(id => counts.set(id, (counts.get(id) ?? 0) + 1));
        counts.forEach((count, id) => assert.ok(count > 850 && count < 1_150, `${id} has ${count} of 13,000`));
    });
});
