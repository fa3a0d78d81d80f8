import * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import * as assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type IncomingMessage, request, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { Readable } from "node:stream";
import { afterEach, beforeEach, describe, it } from "node:test";
import { createCallerResponse } from "../../src/CallerResponse.js";
import type { RequestFailure } from "../../src/RequestFailure.js";
import { relayResponse } from "../../src/ResponseRelay.js";
import { callUpstream } from "../../src/UpstreamCall.js";
import { createUpstreamConnections } from "../../src/UpstreamConnections.js";
import { eventually } from "./TestClient.js";

const megabyte = 1_000_000;
const responseBytes = 100 * megabyte;
const stallMs = 200;

async function listening(server: Server): Promise<number> {
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return (server.address() as AddressInfo).port;
}

describe("relayResponse to a caller that does not read", () => {
    const controller = { current: new AbortController() };
    const connections = createUpstreamConnections();
    let sentBytes = 0;
    let failure: RequestFailure | undefined;
    let upstream: Server;
    let entry: Server;
    let response: IncomingMessage;

    beforeEach(async () => {
        controller.current = new AbortController();
        sentBytes = 0;
        failure = undefined;
        const part = Buffer.from(`data: ${"x".repeat(megabyte - 8)}\n\n`);
        function* parts() {
            while (sentBytes < responseBytes) {
                sentBytes += part.length;
                yield part;
            }
            yield "data: [DONE]\n\n";
        }
        upstream = createServer((_, upstreamResponse) => {
            upstreamResponse.writeHead(200, { "content-type": "text/event-stream" });
            Readable.from(parts(), { highWaterMark: 1 }).pipe(upstreamResponse);
        });
        const upstreamPort = await listening(upstream);
        entry = createServer(async (_, callerResponse) => {
            const { signal } = controller.current;
            const caller = createCallerResponse(
                core.requestId("r"),
                callerResponse,
                signal,
                () => false,
                core.createSystemClock(),
            );
            const clock = core.createSystemClock();
            const call = {
                upstream: { id: core.upstreamId("e1"), url: `http://127.0.0.1:${upstreamPort}` } as documents.Upstream,
                method: "POST",
                target: "/",
                headers: [],
                body: Buffer.alloc(0),
                requestId: "r",
                firstByteTimeoutMs: 5_000,
                idleTimeoutMs: 5_000,
                deadlineMs: clock.nowMs() + 30_000,
                reuseConnection: false,
            };
            const upstreamResponse = (await callUpstream(connections, clock, call, signal))._unsafeUnwrap();
            const { result } = await relayResponse(upstreamResponse, caller, true, () => undefined);
            failure = result.isErr() ? result.error : undefined;
        });
        const client = request({ port: await listening(entry), host: "127.0.0.1", agent: false }).end();
        [response] = await once(client, "response") as [IncomingMessage];
        response.on("error", () => undefined);
        let last = -1;
        await eventually("the upstream stops sending", async () => {
            await new Promise(resolve => setTimeout(resolve, stallMs));
            const isPaused = sentBytes === last;
            last = sentBytes;
            return isPaused;
        });
    });

    afterEach(() => {
        [upstream, entry].forEach(server => {
            server.closeAllConnections();
            server.close();
        });
    });

    it("applies backpressure to the upstream instead of buffering, and completes when the caller reads", async () => {
        assert.ok(sentBytes < responseBytes / 2, `the upstream sent ${sentBytes} bytes without a reader`);
        let receivedBytes = 0;
        for await (const part of response as AsyncIterable<Buffer>) {
            receivedBytes += part.length;
        }
        assert.ok(receivedBytes > responseBytes);
        assert.equal(response.complete, true);
    });

    it("aborts when the key is withdrawn, although no byte can be written", async () => {
        const closed = once(upstream, "close");
        controller.current.abort("key-withdrawn");
        await eventually("the relay ends", async () => failure !== undefined);
        assert.deepEqual(failure, { kind: "key-withdrawn", written: true });
        upstream.close();
        await closed;
    });
});
