import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as telemetry from "../../src/index.js";

function createSink() {
    const lines: Record<string, unknown>[] = [];
    let pendingBytes = 0;
    return {
        lines,
        block: () => void (pendingBytes = 1_000_000_000),
        write: (text: string) => lines.push(JSON.parse(text) as Record<string, unknown>) > 0,
        pendingBytes: () => pendingBytes,
    };
}

describe("EventLog", () => {
    it("limits routine lines per event and second, and logs how many were omitted", async () => {
        const clock = testing.createVirtualClock();
        const sink = createSink();
        const log = telemetry.createEventLog({ clock, sink, commonFields: { vm: "vm-1" }, decisionsPerS: 5 });
        Array.from({ length: 100 }, () => log.decision("placed", { requestId: "r" }));
        Array.from({ length: 3 }, () => log.decision("answer-begun", {}));
        assert.equal(sink.lines.length, 8);
        await clock.advance(1_100);
        log.decision("placed", {});
        assert.deepEqual(sink.lines.slice(8).map(line => [line["event"], line["count"]]), [
            ["log-lines-omitted", 95],
            ["placed", undefined],
        ]);
    });

    it("writes lines of failed requests while routine lines are omitted", () => {
        const sink = createSink();
        const log = telemetry.createEventLog({ clock: testing.createVirtualClock(), sink, commonFields: {} });
        Array.from({ length: 1_000 }, () => log.decision("placed", {}));
        Array.from({ length: 50 }, (_, index) => log.failure("request-refused", { requestId: `r${index}` }));
        assert.equal(sink.lines.filter(line => line["event"] === "request-refused").length, 50);
    });

    it("drops lines instead of blocking when standard output is not read", () => {
        const sink = createSink();
        const log = telemetry.createEventLog({ clock: testing.createVirtualClock(), sink, commonFields: {} });
        sink.block();
        log.failure("request-refused", {});
        log.state("store-lost", {});
        assert.equal(sink.lines.length, 0);
        assert.equal(log.omitted(), 2);
    });
});

describe("Metrics", () => {
    it("renders counters and histograms in seconds as Prometheus text", async () => {
        const metrics = telemetry.createMetrics();
        metrics.count("requests", { kind: "stream", outcome: "200" });
        metrics.observeMs("firstEventMs", 130, { kind: "stream" });
        const remove = metrics.registerGauge("store_age_seconds", "Age of the catalog.", () => 2);
        const text = await metrics.render();
        assert.match(text, /peridotloft_requests_total\{kind="stream",outcome="200"\} 1/);
        assert.match(text, /peridotloft_first_event_seconds_bucket\{le="0.15",kind="stream"\} 1/);
        assert.match(text, /peridotloft_store_age_seconds 2/);
        remove();
        assert.doesNotMatch(await metrics.render(), /store_age_seconds/);
    });
});
