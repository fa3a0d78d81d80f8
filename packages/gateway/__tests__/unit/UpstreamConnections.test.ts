import type * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";
import * as assert from "node:assert/strict";
import * as http from "node:http";
import type * as net from "node:net";
import { describe, it } from "node:test";
import { readCompleteResponse } from "../../src/ResponseRelay.js";
import { startAttempt } from "../../src/UpstreamAttempt.js";
import { createUpstreamConnections } from "../../src/UpstreamConnections.js";

/** Time in ms for which requests that cannot be retried reuse an idle connection. */
const maxRecentIdleMs = 500;

describe("UpstreamConnections", { timeout: 10_000 }, () => {
    it("does not reuse a connection whose idle time has passed in the same turn of the event loop", async () => {
        let serverSocket: net.Socket | undefined;
        const server = http.createServer((request, response) => {
            serverSocket = request.socket;
            response.end("ok");
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as net.AddressInfo;
        const upstream = { id: core.upstreamId("i-0"), host: "127.0.0.1", port } as catalog.Upstream;
        const upstreams = new Map([[upstream.id, upstream]]);
        const cell = core.createSnapshotCell({ upstreams } as unknown as catalog.CatalogSnapshot);
        const clock = core.createSteadyClock();
        const connections = createUpstreamConnections(cell, clock);
        const agent = connections.agentOf(upstream, true);
        const start = () =>
            startAttempt({
                upstream,
                agent,
                method: "GET",
                path: "/",
                headers: () => ["Host", "x"],
                body: () => Buffer.alloc(0),
                mayWrite: () => true,
                requiresReusedConnection: false,
            }, clock).response;
        await readCompleteResponse((await start())._unsafeUnwrap());
        while (Object.keys(agent.freeSockets).length === 0) {
            await new Promise(resolve => setImmediate(resolve));
        }
        const endMs = performance.now() + maxRecentIdleMs + 100;
        while (performance.now() < endMs) {}
        serverSocket?.destroy();
        const result = await start();
        connections.dispose();
        server.close();
        server.closeAllConnections();
        assert.equal(result.isOk() ? result.value.statusCode : result.error.cause, 200);
    });
});
