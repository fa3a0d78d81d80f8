import * as assert from "node:assert/strict";
import { once } from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import { describe, it } from "node:test";
import * as timers from "node:timers/promises";
import { createCallerConnections } from "../../src/CallerConnections.js";

describe("Requests sent ahead on a returned connection", { timeout: 10_000 }, () => {
    it("may all have run, as a lost response to the first one leaves open", async () => {
        const connections = createCallerConnections();
        const known: (boolean | undefined)[] = [];
        const server = http.createServer((_, response) => {
            connections.recordRequest(response);
            known.push(connections.returnedRequest(response)?.mayHaveRun);
            response.end();
        }).on(
            "connection",
            (socket: net.Socket) =>
                connections.recordReturned(socket, { waitedMs: 0, mayHaveRun: true, tryRunAgain: () => true }),
        ).listen(0, "127.0.0.1");
        await once(server, "listening");
        const caller = net.connect((server.address() as net.AddressInfo).port, "127.0.0.1").resume();
        caller.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(2));
        while (known.length < 2) {
            await timers.setTimeout(5);
        }
        caller.destroy();
        server.close();
        assert.deepEqual(known, [true, true]);
    });
});
