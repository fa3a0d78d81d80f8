import * as assert from "node:assert/strict";
import { describe } from "node:test";
import { check, faultNames, runFaults, slots } from "../support/Faults.js";
import { itFindsFault, itWithSeeds } from "../support/Seeds.js";

const file = "Faults.test.js";

describe("after one fault of less than the takeover time", () => {
    faultNames.forEach(name => itWithSeeds(file, [1], name, async seed => check(await runFaults(seed, [name]))));

    // The second fault hits VM 3, which owns warm slots of three engines; VM 1 owns a single slot.
    itFindsFault("slots given twice are found when they are taken over after half a second", async seed => {
        const findings = await runFaults(seed, ["flood", "pause and late wake"], { takeoverSilenceMs: 500 });
        assert.ok(findings.largestInFlight > slots);
    });
});
