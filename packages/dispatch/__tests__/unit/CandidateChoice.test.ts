import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type CandidateQueue, chooseFirstCandidate } from "../../src/CandidateChoice.js";

const time = { objectiveMs: 300, elapsedMs: 0 };
const always = (): number => 0;

describe("chooseFirstCandidate", () => {
    const primary = (waitMs: number | undefined): CandidateQueue => ({ waitMs, prefillMs: 20 });
    const other = (waitMs: number | undefined): CandidateQueue => ({ waitMs, prefillMs: 60 });

    it("keeps a prompt at its primary engine while its first event is expected in good time", () => {
        assert.equal(chooseFirstCandidate([primary(60), other(0)], time, always), 0);
    });

    it("moves a prompt that would be late to the candidate with the soonest first event", () => {
        assert.equal(chooseFirstCandidate([primary(200), other(80), other(0)], time, always), 2);
    });

    it("counts the time that has passed since the request arrived", () => {
        assert.equal(chooseFirstCandidate([primary(60), other(0)], { ...time, elapsedMs: 150 }, always), 0);
        assert.equal(chooseFirstCandidate([primary(90), other(0)], { ...time, elapsedMs: 150 }, always), 1);
    });

    it("does not move a prompt for a gain that the repeated prefill takes", () => {
        assert.equal(chooseFirstCandidate([primary(200), other(170)], time, always), 0);
    });

    it("does not move a prompt to or from an engine of which nothing is known", () => {
        assert.equal(chooseFirstCandidate([primary(200), other(undefined)], time, always), 0);
        assert.equal(chooseFirstCandidate([primary(undefined), other(0)], time, always), 0);
    });

    it("shares prompts between two engines whose queues many VMs know alike", () => {
        const random = testing.createSeededRandom(1);
        const chosen = Array.from(
            { length: 1_000 },
            () => chooseFirstCandidate([primary(200), other(40)], time, random),
        );
        const moved = chosen.filter(index => index === 1).length;
        assert.ok(moved > 400 && moved < 800, `${moved} of 1,000 moved`);
    });
});
