import * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import * as assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import type { CallerResponse } from "../../src/CallerResponse.js";
import { type FailureKind, verdictOf } from "../../src/RequestFailure.js";
import { relayResponse } from "../../src/ResponseRelay.js";
import { callUpstream } from "../../src/UpstreamCall.js";
import { createUpstreamConnections, type UpstreamConnections } from "../../src/UpstreamConnections.js";

const clock = core.createSystemClock();
const timeoutMs = 150;

/** Sends one request to a scripted upstream; returns what the caller received. */
async function exchange(
    port: number,
    options: { connections?: UpstreamConnections; signal?: AbortSignal; deadlineMs?: number; } = {},
) {
    const connections = options.connections ?? createUpstreamConnections();
    const received: Buffer[] = [];
    let headersSent = false;
    let ended = false;
    const caller = {
        headersSent: () => headersSent,
        writeHead: () => void (headersSent = true),
        write: async (bytes: Uint8Array) => void received.push(Buffer.from(bytes)),
        end: () => void (ended = true),
        send(_status: number, _headers: unknown, body: Uint8Array) {
            headersSent = true;
            ended = true;
            received.push(Buffer.from(body));
        },
    } as unknown as CallerResponse;
    const call = {
        upstream: { id: core.upstreamId("e1"), url: `http://127.0.0.1:${port}` } as documents.Upstream,
        method: "POST",
        target: "/",
        headers: [],
        body: Buffer.from("{}"),
        requestId: "r",
        firstByteTimeoutMs: timeoutMs,
        idleTimeoutMs: timeoutMs,
        deadlineMs: clock.nowMs() + (options.deadlineMs ?? 5_000),
        reuseConnection: true,
    };
    const response = await callUpstream(connections, clock, call, options.signal ?? new AbortController().signal);
    const result = response.isErr()
        ? response
        : (await relayResponse(response.value, caller, true, () => undefined)).result;
    if (options.connections === undefined) {
        connections.dispose();
    }
    const failure = result.isErr() ? result.error : undefined;
    return { failure, ended, body: Buffer.concat(received).toString() };
}

const head = (lines: string) => `HTTP/1.1 200 OK\r\n${lines}\r\n\r\n`;
const events = "content-type: text/event-stream\r\ntransfer-encoding: chunked";
const chunk = (text: string) => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
const done = chunk("data: [DONE]\n\n");

type Script = (socket: Socket) => void;
const respond = (...parts: string[]): Script => socket => void socket.write(parts.join(""));
const respondAndEnd = (...parts: string[]): Script => socket => void socket.end(parts.join(""));
const respondAndReset = (...parts: string[]): Script => socket =>
    void socket.write(parts.join(""), () => socket.resetAndDestroy());

// Failures of an upstream after the request was written; in each case the request may have run.
const faults: readonly (readonly [fault: string, script: Script, kind: FailureKind])[] = [
    ["reset before the response", socket => void socket.resetAndDestroy(), "connection-broken"],
    ["end before the response", socket => void socket.end(), "connection-broken"],
    ["no response", () => undefined, "first-byte-timeout"],
    ["end within the headers", respondAndEnd("HTTP/1.1 200 OK\r\ncontent-"), "connection-broken"],
    ["bytes that are not HTTP", respond("garbage\r\n\r\n"), "malformed"],
    [
        "an unrequested protocol upgrade",
        respond("HTTP/1.1 101 X\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n"),
        "malformed",
    ],
    ["a status below 100", respond("HTTP/1.1 099 X\r\ncontent-length: 0\r\n\r\n"), "malformed"],
    ["another version of the protocol", respond("HTTP/2.0 200 OK\r\ncontent-length: 0\r\n\r\n"), "malformed"],
    [
        "an encoding that is not undone here, then a reset",
        respondAndReset(head("transfer-encoding: chunked, gzip"), "part"),
        "malformed",
    ],
    ["a reset of a body with neither length nor chunks", respondAndReset(head("x: y"), "part"), "truncated"],
    ["a space in the name of a header", respond(head("x a: b\r\ncontent-length: 0")), "malformed"],
    ["body shorter than its Content-Length", respondAndEnd(head("content-length: 9"), "short"), "connection-broken"],
    ["reset within the body", respondAndReset(head("content-length: 9"), "short"), "connection-broken"],
    ["body with neither length nor chunks", respondAndEnd(head("x: y"), "unframed body"), "truncated"],
    ["stall within the body", respond(head("content-length: 9"), "short"), "idle-timeout"],
    ["no final chunk", respondAndEnd(head(events), chunk("data: 1\n\n")), "connection-broken"],
    ["no final chunk after [DONE]", respondAndEnd(head(events), done), "connection-broken"],
    ["final chunk without [DONE]", respond(head(events), chunk("data: 1\n\n"), "0\r\n\r\n"), "truncated"],
    ["[DONE] within an incomplete event", respond(head(events), chunk("data: [DONE]\n"), "0\r\n\r\n"), "truncated"],
    ["stall within the stream", respond(head(events), chunk("data: 1\n\n")), "idle-timeout"],
    ["a chunk size that is not a number", respond(head(events), "zz\r\n"), "malformed"],
];

describe("callUpstream", () => {
    let server: Server;
    let port: number;
    let script: Script = () => undefined;
    let connectionCount = 0;

    before(async () => {
        server = createServer(socket => {
            connectionCount++;
            socket.on("error", () => undefined);
            socket.on("data", () => script(socket));
        }).listen(0, "127.0.0.1");
        await once(server, "listening");
        port = (server.address() as AddressInfo).port;
    });

    after(() => server.close());

    describe("reports as incomplete, with verdict may-have-run,", () => {
        faults.forEach(([fault, faultScript, kind]) =>
            it(fault, async () => {
                script = faultScript;
                const { failure, ended } = await exchange(port);
                assert.deepEqual(failure, { kind, written: true });
                assert.equal(verdictOf({ kind, written: true }), "may-have-run");
                assert.equal(ended, false);
            })
        );
    });

    it("reports a refused connection as not written", async () => {
        const closed = createServer().listen(0, "127.0.0.1");
        await once(closed, "listening");
        const { port: freePort } = closed.address() as AddressInfo;
        await new Promise(resolve => closed.close(resolve));
        const { failure } = await exchange(freePort);
        assert.deepEqual(failure, { kind: "connect-failed", written: false });
    });

    it("sends nothing after the deadline (guards against a request sent after a pause of the process)", async () => {
        const before = connectionCount;
        assert.deepEqual((await exchange(port, { deadlineMs: -1 })).failure, { kind: "deadline", written: false });
        assert.equal(connectionCount, before);
    });

    it("aborts a request at its deadline", async () => {
        script = () => undefined;
        assert.deepEqual((await exchange(port, { deadlineMs: 60 })).failure, { kind: "deadline", written: true });
    });

    it("closes the connection to the upstream when the caller disconnects", async () => {
        const controller = new AbortController();
        const closed = new Promise(resolve => {
            script = socket => {
                socket.once("close", resolve);
                controller.abort("caller-left");
            };
        });
        const { failure } = await exchange(port, { signal: controller.signal });
        assert.deepEqual(failure, { kind: "caller-left", written: true });
        await closed;
    });

    describe("with keep-alive connections", () => {
        const responseOf = (text: string) => head(`content-length: ${text.length}`) + text;

        it("reuses a connection for sequential requests", async () => {
            const connections = createUpstreamConnections();
            script = respond(responseOf("one"));
            await exchange(port, { connections });
            const before = connectionCount;
            assert.equal((await exchange(port, { connections })).body, "one");
            assert.equal(connectionCount, before);
            connections.dispose();
        });

        it("does not return a late second response as the response to the next request", async () => {
            const connections = createUpstreamConnections();
            let upstreamSocket: Socket | undefined;
            script = socket => {
                upstreamSocket = socket;
                socket.write(responseOf("mine"));
            };
            assert.equal((await exchange(port, { connections })).body, "mine");
            upstreamSocket?.write(responseOf("not yours"));
            await once(upstreamSocket!, "close", { signal: AbortSignal.timeout(2_000) });
            script = respond(responseOf("second"));
            assert.equal((await exchange(port, { connections })).body, "second");
            connections.dispose();
        });

        it("does not return the second of two responses in one packet to the next request", async () => {
            const connections = createUpstreamConnections();
            script = respond(responseOf("mine"), responseOf("not yours"));
            const first = await exchange(port, { connections });
            assert.ok(first.failure !== undefined || first.body === "mine");
            script = respond(responseOf("second"));
            assert.equal((await exchange(port, { connections })).body, "second");
            connections.dispose();
        });

        it("closes idle connections after a timeout, because they may be dead as well", async () => {
            const connections = createUpstreamConnections();
            script = respond(responseOf("one"));
            await Promise.all([exchange(port, { connections }), exchange(port, { connections })]);
            script = () => undefined;
            assert.equal((await exchange(port, { connections })).failure?.kind, "first-byte-timeout");
            const before = connectionCount;
            script = respond(responseOf("fresh"));
            assert.equal((await exchange(port, { connections })).body, "fresh");
            assert.equal(connectionCount, before + 1);
            connections.dispose();
        });
    });
});
