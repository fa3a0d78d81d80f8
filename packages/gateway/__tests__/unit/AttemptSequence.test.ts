import * as core from "@peridotloft/core";
import type * as dispatch from "@peridotloft/dispatch";
import * as testing from "@peridotloft/testing";
import { err, ok } from "neverthrow";
import * as assert from "node:assert/strict";
import * as http from "node:http";
import * as net from "node:net";
import { describe, it } from "node:test";
import { createAttemptSequence } from "../../src/AttemptSequence.js";
import type { GatewayContext } from "../../src/GatewayContext.js";

/** Returns a loopback port on which nothing listens. */
function closedPort(): Promise<number> {
    return new Promise(resolve => {
        const server = net.createServer().listen(0, "127.0.0.1", () => {
            const { port } = server.address() as net.AddressInfo;
            server.close(() => resolve(port));
        });
    });
}

describe("AttemptSequence", () => {
    it("acquires another upstream without spending the retry budget when no connection could be opened", async () => {
        const port = await closedPort();
        const acquireCalls: { excluded: readonly string[]; isRetry: boolean; }[] = [];
        const upstream = { id: core.upstreamId("i-dead"), host: "127.0.0.1", port };
        const lease = {
            upstream,
            expectedMs: 100,
            mayWrite: () => true,
            recordFirstByte: () => undefined,
            end: () => undefined,
        } as unknown as dispatch.Lease;
        const context = {
            clock: core.createSteadyClock(),
            log: testing.createRecordingLog(),
            codec: {},
            connections: { agentOf: () => new http.Agent(), closeIdle: () => undefined },
            dispatcher: {
                acquire(_job: dispatch.Job, excluded: ReadonlySet<string>, isRetry: boolean) {
                    acquireCalls.push({ excluded: [...excluded], isRetry });
                    return Promise.resolve(
                        acquireCalls.length === 1 ? ok(lease) : err({ reason: "no-upstream", retryAfterMs: undefined }),
                    );
                },
            },
        } as unknown as GatewayContext;
        const sequence = createAttemptSequence(context, {
            job: { requestId: "r1", route: { maxAttempts: 1 } } as unknown as dispatch.Job,
            isRetryable: false,
            earlierAttempts: 0,
            method: "GET",
            path: "/",
            body: () => Buffer.alloc(0),
            rawHeaders: [],
            reserveResponse: () => undefined,
            isCancelled: () => false,
            hasBegun: () => false,
            isStillAllowed: () => true,
            hasCallerGivenUp: () => false,
        });
        const result = await sequence.nextResponse(undefined);
        assert.equal(result.isErr() && result.error.reason, "no-upstream");
        assert.equal(result.isErr() && result.error.statusCode, 503);
        assert.deepEqual(acquireCalls, [{ excluded: [], isRetry: false }, { excluded: ["i-dead"], isRetry: false }]);
        assert.equal(sequence.mayHaveRun(), false);
    });
});
