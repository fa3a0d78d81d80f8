import * as core from "@peridotloft/core";
import type * as dispatch from "@peridotloft/dispatch";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRefusalReport, type RequestSubject } from "../../src/RefusalReport.js";

function subject(customer: string, ...partIds: string[]): RequestSubject {
    const parts = partIds.map(id => ({ id, tokens: 100 }));
    const prompt: dispatch.Prompt = { model: "m", inputTokens: 100, maxOutputTokens: 10, parts };
    return { customer: core.customerId(customer), prompt };
}

function createReport() {
    const clock = testing.createVirtualClock();
    const log = testing.createRecordingLog();
    const report = createRefusalReport({
        clock,
        log,
        acceptQueue: { waitMs: () => 120.4 },
        overload: { utilization: () => 0.9 },
    });
    return { clock, log, report };
}

describe("RefusalReport", () => {
    it("names reasons, customers and prompt beginnings with the most refusals, once per interval", async () => {
        const { clock, log, report } = createReport();
        const sent = [
            subject("a", "x", "own"),
            subject("a", "x", "own"),
            subject("b", "y", "own"),
            subject("c", "own"),
        ];
        sent.forEach(report.recordRequest);
        sent.slice(0, 3).forEach(refused => report.recordRefusal("overloaded", refused));
        report.recordRefusal("draining", subject("a", "x", "own"));
        report.recordConnection("serve");
        report.recordConnection("refuse");
        report.recordOverloadRetry({ retryAfterMs: 50, knownPeers: 3, freePeers: 2, oldestLoadMs: 420 });
        await clock.advance(2_000);
        assert.deepEqual(log.lines.map(({ fields }) => fields), [{
            reasons: "overloaded:3,draining:1",
            customers: "a=3/2(overloaded:2,draining:1),b=1/1(overloaded:1)",
            beginnings: `${core.hash32("x")}=3/2(overloaded:2,draining:1),${core.hash32("y")}=1/1(overloaded:1)`,
            connections: 2,
            refusedConnections: 1,
            acceptWaitMs: 120,
            utilization: 0.9,
            knownPeers: 3,
            freePeers: 2,
            oldestLoadMs: 420,
        }]);
        report.recordRequest(subject("a", "x", "own"));
        await clock.advance(4_000);
        assert.equal(log.count("refusals"), 1, "nothing is reported while nothing is refused");
        report.dispose();
    });

    it("finds a beginning that is refused often among any number of others", () => {
        const { log, report } = createReport();
        for (let index = 0; index < 20_000; index++) {
            const request = subject("a", index % 20 === 0 ? "frequent" : `rare-${index}`, "own");
            report.recordRequest(request);
            report.recordRefusal("overloaded", request);
        }
        report.dispose();
        const beginnings = String(log.lines[0]?.fields.beginnings);
        assert.ok(beginnings.startsWith(`${core.hash32("frequent")}=1000/1000`), beginnings);
        assert.ok(beginnings.length < 200, beginnings);
    });
});
