import * as core from "@peridotloft/core";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import type { Server } from "node:http";
import { afterEach, describe, it } from "node:test";
import { createEntryServer, listen } from "../../src/EntryServer.js";
import * as constants from "../../src/RouterConstants.js";

/** Time in ms that callers allow a VM to read their request. */
const callerTimeoutMs = 1_000;

describe("EntryServer", () => {
    let server: Server;
    let acceptQueue: core.AcceptQueueMonitor;
    afterEach(() => {
        acceptQueue.dispose();
        server.close();
        server.closeAllConnections();
    });

    it("does not accept connections only after their callers have given up when more arrive than it can serve", async () => {
        acceptQueue = core.createAcceptQueueMonitor({ clock: core.createSystemClock(), onReport: () => undefined });
        server = createEntryServer(constants, acceptQueue, (_, response) => {
            const endMs = performance.now() + 4;
            while (performance.now() < endMs) {}
            response.end("ok");
        });
        const address = await listen(server, "127.0.0.1:0");
        const warmUpMs = 3_000;
        const connectionsPerS = 600;
        const outcomes = await testing.runConnectionLoad({
            port: Number(address.split(":")[1]),
            connectionsPerS,
            durationMs: warmUpMs + 3_000,
            timeoutMs: callerTimeoutMs,
            request: "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        });
        const steady = outcomes.slice(warmUpMs * connectionsPerS / 1_000);
        const count = (outcome: string): number => steady.filter(seen => seen === outcome).length;
        assert.ok(count("response") > 0, `no response to ${steady.length} connections`);
        assert.equal(count("timeout"), 0, `${count("timeout")} of ${steady.length} connections timed out`);
    });
});
