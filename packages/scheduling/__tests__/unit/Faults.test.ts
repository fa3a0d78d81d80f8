import * as assert from "node:assert/strict";
import { describe } from "node:test";
import { assertNoViolation, faultNames, runFaults, slots } from "../support/Faults.js";
import { itDetectsFault, itWithSeeds } from "../support/Seeds.js";

const file = "Faults.test.js";

describe("after one fault shorter than the takeover time", () => {
    faultNames.forEach(name =>
        itWithSeeds(file, [1], name, async seed => assertNoViolation(await runFaults(seed, [name])))
    );

    // The pause is the second fault so that it hits VM 3, which owns warm slots of three engines; VM 1 owns a single slot.
    itDetectsFault("detects slots assigned twice if they are taken over after half a second", async seed => {
        const findings = await runFaults(seed, ["flood", "pause and resume"], { takeoverTimeoutMs: 500 });
        assert.ok(findings.largestInFlight > slots);
    });
});
