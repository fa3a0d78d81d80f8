import * as core from "@peridotloft/core";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createCustomerUsage, customerHashOf } from "../../src/CustomerUsage.js";
import { createUsageReport } from "../../src/UsageReport.js";

const heavy = core.customerId("heavy");
const light = core.customerId("light");

function createFixture() {
    const clock = testing.createVirtualClock();
    const log = testing.createRecordingLog();
    const usage = createCustomerUsage();
    const report = createUsageReport({ clock, log, usage });
    return { clock, usage, report, lines: () => log.lines.filter(({ event }) => event === "customer-usage") };
}

describe("UsageReport", () => {
    it("tells usage from attempts without a response, the heaviest customer first", async () => {
        const { clock, usage, report, lines } = createFixture();
        usage.record(customerHashOf(light), 100, clock.nowMs());
        usage.record(customerHashOf(heavy), 400, clock.nowMs());
        report.recordSent(light, 100);
        report.recordOutcome(light, 100, "begun");
        report.recordSent(heavy, 300);
        report.recordOutcome(heavy, 300, "broken");
        report.recordAnnounced(customerHashOf(heavy), 100);
        await clock.advance(2_000);
        assert.deepEqual(lines().map(({ fields }) => fields["customers"]), [
            `heavy#${customerHashOf(heavy)}=1.00(sent:300,broken:300,announced:100),`
            + `light#${customerHashOf(light)}=0.25(sent:100,begun:100)`,
        ]);
        // The usage decays with 4 s until the report.
        assert.deepEqual(lines().map(({ fields }) => fields["believedTokens"]), ["243,61"]);
    });

    it("names four customers at most, and states how many there are", async () => {
        const { clock, report, lines } = createFixture();
        for (let index = 0; index < 10; index++) {
            report.recordSent(core.customerId(`c${index}`), 100);
        }
        await clock.advance(2_000);
        const [line] = lines();
        assert.equal(String(line?.fields["customers"]).split("),").length, 4);
        assert.equal(line?.fields["counted"], 10);
    });

    it("writes no line for an interval without usage", async () => {
        const { clock, report, lines } = createFixture();
        report.recordSent(heavy, 100);
        await clock.advance(10_000);
        assert.equal(lines().length, 1);
    });
});
