import * as assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { describe, it } from "node:test";
import { createMetrics, metricNames } from "../../src/Metrics.js";

describe("Metrics", () => {
    it("sends several counters and histograms in one packet, under the documented names", async () => {
        const socket = createSocket("udp4").bind(0, "127.0.0.1");
        await once(socket, "listening");
        const metrics = createMetrics(`127.0.0.1:${socket.address().port}`);
        metrics.count(metricNames.requests, 2, { status: "200" });
        metrics.histogram(metricNames.queueMs, 7);
        const [packet] = await once(socket, "message") as [Buffer];
        assert.deepEqual(packet.toString().trim().split("\n"), [
            "peridotloft.requests:2|c|#status:200",
            "peridotloft.queue_ms:7|h",
        ]);
        metrics.dispose();
        socket.close();
    });

    it("does not fail without a receiver", () => {
        createMetrics(undefined).count(metricNames.requests);
        const metrics = createMetrics("127.0.0.1:9");
        metrics.count(metricNames.requests);
        metrics.dispose();
    });
});
