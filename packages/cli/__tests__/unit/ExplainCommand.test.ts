import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { explainLines, readLines } from "../../src/ExplainCommand.js";

const text = [
    "  19.1218 edge-1 {\"timeMs\":1000,\"level\":\"info\",\"event\":\"store-lost\",\"vm\":\"edge-1\",\"kind\":\"rejected\"}",
    "{\"timeMs\":5200,\"level\":\"warn\",\"event\":\"request-refused\",\"vm\":\"edge-1\",\"requestId\":\"r1\","
    + "\"reason\":\"stale-configuration\",\"statusCode\":503,\"configVersion\":7,\"configAgeMs\":4700}",
    "{\"timeMs\":5300,\"level\":\"warn\",\"event\":\"admission-refused\",\"vm\":\"edge-2\",\"requestId\":\"r2\","
    + "\"upstream\":\"i-1\",\"waitMs\":400,\"objectiveMs\":500,\"relativeUsage\":0.5}",
    "not a log line",
    "{\"timeMs\":5400,\"level\":\"warn\",\"event\":\"answer-la",
].join("\n");

describe("explain", () => {
    const lines = readLines(text);

    it("passes over what stands before a line, and lines that were cut", () => {
        assert.equal(lines.length, 3);
    });

    it("names the age of the configuration that a refusal rests on, and the lost store before it", () => {
        const output = explainLines(lines, "r1");
        assert.match(output.text, /store-lost/);
        assert.match(output.text, /cause: refused unrun: the configuration 7, 4700 ms old, was too old to accept keys/);
    });

    it("names the wait and the customer's usage behind an overload refusal", () => {
        assert.match(explainLines(lines, "r2").text, /wait of 400 ms against an objective of 500 ms.*50%/);
    });

    it("says that nothing is known of a request without lines", () => {
        assert.equal(explainLines(lines, "r3").exitCode, 1);
    });
});
