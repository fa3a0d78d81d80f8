import type * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";
import * as assert from "node:assert/strict";
import * as http from "node:http";
import type * as net from "node:net";
import { describe, it } from "node:test";
import { connectTimeoutMs, startAttempt } from "../../src/UpstreamAttempt.js";

describe("UpstreamAttempt", { timeout: 10_000 }, () => {
    it("uses a connection that was established in a turn of the event loop that outlasted the connect timeout", async () => {
        const server = http.createServer((_request, response) => void response.end("ok"));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as net.AddressInfo;
        const attempt = startAttempt({
            upstream: { host: "127.0.0.1", port } as catalog.Upstream,
            agent: new http.Agent(),
            method: "GET",
            path: "/",
            headers: () => ["Host", "x"],
            body: () => Buffer.alloc(0),
            mayWrite: () => true,
            requiresReusedConnection: false,
        }, core.createPolledClock(core.createSteadyClock()));
        const endMs = performance.now() + connectTimeoutMs + 100;
        while (performance.now() < endMs) {}
        const result = await attempt.response;
        server.close();
        server.closeAllConnections();
        assert.equal(result.isOk() ? result.value.statusCode : result.error.cause, 200);
    });
});
