import * as core from "@peridotloft/core";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { selectByRendezvous } from "../../src/Rendezvous.js";
import { selectByWeightedRendezvous } from "../../src/WeightedRendezvous.js";

const engines = Array.from({ length: 30 }, (_, index) => ({ id: index, hash: core.hash32(`i-${index}`) }));
const sessions = Array.from({ length: 6_000 }, (_, index) => `session-${index}`);

type Engine = typeof engines[number];

const select = (session: string, weightOf: (engine: Engine) => number, count = 7): readonly number[] =>
    selectByWeightedRendezvous(session, engines, ({ hash }) => hash, weightOf, count).map(({ id }) => id);

describe("WeightedRendezvous", () => {
    it("gives the order of unweighted hashing for equal weights", () => {
        sessions.slice(0, 500).forEach(session => {
            const unweighted = selectByRendezvous(session, engines, ({ hash }) => hash, 7).map(({ id }) => id);
            assert.deepEqual(select(session, () => 1), unweighted);
            assert.deepEqual(select(session, () => 1.5625), unweighted);
            // One engine of another speed does not change the order of the others.
            assert.deepEqual(
                select(session, ({ id }) => id === 3 ? 2 : 1, engines.length).filter(id => id !== 3),
                selectByRendezvous(session, engines, ({ hash }) => hash, engines.length)
                    .map(({ id }) => id).filter(id => id !== 3),
            );
        });
    });

    it("gives engines sessions in proportion to their weights", () => {
        const weightOf = ({ id }: Engine): number => [0.64, 1, 1.5625][id % 3] ?? 1;
        const counts = sessions.reduce<readonly number[]>((sum, session) => {
            const group = (select(session, weightOf, 1)[0] ?? 0) % 3;
            return sum.map((count, index) => index === group ? count + 1 : count);
        }, [0, 0, 0]);
        [0.64, 1, 1.5625].forEach((weight, group) => {
            const expected = sessions.length * weight / (0.64 + 1 + 1.5625);
            assert.ok(
                Math.abs((counts[group] ?? 0) / expected - 1) <= 0.1,
                `${weight}: ${counts[group]} of ${expected}`,
            );
        });
    });

    it("moves only sessions to an engine that became faster", () => {
        sessions.slice(0, 500).forEach(session => {
            const [before] = select(session, () => 1, 1);
            const [after] = select(session, ({ id }) => id === 3 ? 1.5625 : 1, 1);
            assert.ok(after === before || after === 3, `${session}: from ${before} to ${after}`);
        });
    });
});
