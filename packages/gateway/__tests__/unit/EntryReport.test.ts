import * as core from "@peridotloft/core";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEntryReport } from "../../src/EntryReport.js";

describe("EntryReport", () => {
    it("tells requests on open connections from those on new ones, once per interval with requests", async () => {
        const clock = testing.createVirtualClock();
        const log = testing.createRecordingLog();
        const report = createEntryReport({
            clock,
            log,
            connections: { openCount: () => 3 },
            overload: { utilization: () => 0.9 },
        });
        const customer = core.customerId("north");
        report.recordConnection("serve");
        report.recordConnection("refuse");
        [true, false, false].forEach(isFirst => report.recordRequest({ customer, isFirst }));
        report.recordRefusal(customer);
        report.recordRequest({ customer: undefined, isFirst: true });
        await clock.advance(6_000);
        report.dispose();
        assert.deepEqual(log.lines.map(({ fields }) => fields), [{
            connections: 2,
            refusedConnections: 1,
            openConnections: 3,
            firstRequests: 2,
            laterRequests: 2,
            customers: "north=3(later:2,refused:1),=1(later:0,refused:0)",
            counted: 2,
            utilization: 0.9,
        }]);
    });
});
