import * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import * as assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { relayAnswer } from "../../src/AnswerRelay.js";
import type { CallerResponse } from "../../src/CallerResponse.js";
import { type FailureKind, verdictOf } from "../../src/RequestFailure.js";
import { callUpstream } from "../../src/UpstreamCall.js";
import { createUpstreamConnections, type UpstreamConnections } from "../../src/UpstreamConnections.js";

const clock = core.createSystemClock();
const timeoutMs = 150;

/** Runs one request against an upstream that follows a script, and says what the caller got. */
async function exchange(
    port: number,
    options: { connections?: UpstreamConnections; signal?: AbortSignal; deadlineMs?: number; } = {},
) {
    const connections = options.connections ?? createUpstreamConnections();
    const received: Buffer[] = [];
    let begun = false;
    let ended = false;
    const caller = {
        hasBegun: () => begun,
        begin: () => void (begun = true),
        write: async (bytes: Uint8Array) => void received.push(Buffer.from(bytes)),
        end: () => void (ended = true),
        send(_status: number, _headers: unknown, body: Uint8Array) {
            begun = true;
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
    const answer = await callUpstream(connections, clock, call, options.signal ?? new AbortController().signal);
    const result = answer.isErr() ? answer : (await relayAnswer(answer.value, caller, true, () => undefined)).result;
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
const reply = (...parts: string[]): Script => socket => void socket.write(parts.join(""));
const replyAndEnd = (...parts: string[]): Script => socket => void socket.end(parts.join(""));
const replyAndReset = (...parts: string[]): Script => socket =>
    void socket.write(parts.join(""), () => socket.resetAndDestroy());

// Each way in which an upstream can fail after the request was written; every one may have run.
const faults: readonly (readonly [fault: string, script: Script, kind: FailureKind])[] = [
    ["reset before the answer", socket => void socket.resetAndDestroy(), "connection-broken"],
    ["end before the answer", socket => void socket.end(), "connection-broken"],
    ["silence before the answer", () => undefined, "first-byte-timeout"],
    ["end within the head", replyAndEnd("HTTP/1.1 200 OK\r\ncontent-"), "connection-broken"],
    ["bytes that are not HTTP", reply("garbage\r\n\r\n"), "malformed"],
    [
        "a switch of protocols",
        reply("HTTP/1.1 101 X\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n"),
        "malformed",
    ],
    ["body shorter than its length", replyAndEnd(head("content-length: 9"), "short"), "connection-broken"],
    ["reset within the body", replyAndReset(head("content-length: 9"), "short"), "connection-broken"],
    ["body with neither length nor chunks", replyAndEnd(head("x: y"), "who knows"), "truncated"],
    ["silence within the body", reply(head("content-length: 9"), "short"), "idle-timeout"],
    ["no final chunk", replyAndEnd(head(events), chunk("data: 1\n\n")), "connection-broken"],
    ["no final chunk after [DONE]", replyAndEnd(head(events), done), "connection-broken"],
    ["final chunk without [DONE]", reply(head(events), chunk("data: 1\n\n"), "0\r\n\r\n"), "truncated"],
    ["[DONE] within half an event", reply(head(events), chunk("data: [DONE]\n"), "0\r\n\r\n"), "truncated"],
    ["silence within the stream", reply(head(events), chunk("data: 1\n\n")), "idle-timeout"],
    ["a chunk size that is no number", reply(head(events), "zz\r\n"), "malformed"],
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

    describe("never passes off as complete, and calls may-have-run,", () => {
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

    it("calls a refused connection not-run", async () => {
        const closed = createServer().listen(0, "127.0.0.1");
        await once(closed, "listening");
        const { port: freePort } = closed.address() as AddressInfo;
        await new Promise(resolve => closed.close(resolve));
        const { failure } = await exchange(freePort);
        assert.deepEqual(failure, { kind: "connect-failed", written: false });
    });

    it("sends nothing after the deadline, as after a pause of the process", async () => {
        const before = connectionCount;
        assert.deepEqual((await exchange(port, { deadlineMs: -1 })).failure, { kind: "deadline", written: false });
        assert.equal(connectionCount, before);
    });

    it("ends a request that runs into its deadline", async () => {
        script = () => undefined;
        assert.deepEqual((await exchange(port, { deadlineMs: 60 })).failure, { kind: "deadline", written: true });
    });

    it("closes the upstream's connection when the caller leaves", async () => {
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

    describe("with kept connections", () => {
        const answer = (text: string) => head(`content-length: ${text.length}`) + text;

        it("uses one connection for one request after the other", async () => {
            const connections = createUpstreamConnections();
            script = reply(answer("one"));
            await exchange(port, { connections });
            const before = connectionCount;
            assert.equal((await exchange(port, { connections })).body, "one");
            assert.equal(connectionCount, before);
            connections.dispose();
        });

        it("does not take a late second answer for the answer to the next request", async () => {
            const connections = createUpstreamConnections();
            let upstreamSocket: Socket | undefined;
            script = socket => {
                upstreamSocket = socket;
                socket.write(answer("mine"));
            };
            assert.equal((await exchange(port, { connections })).body, "mine");
            upstreamSocket?.write(answer("not yours"));
            await once(upstreamSocket!, "close", { signal: AbortSignal.timeout(2_000) });
            script = reply(answer("second"));
            assert.equal((await exchange(port, { connections })).body, "second");
            connections.dispose();
        });

        it("does not take two answers in one packet for two requests", async () => {
            const connections = createUpstreamConnections();
            script = reply(answer("mine"), answer("not yours"));
            const first = await exchange(port, { connections });
            assert.ok(first.failure !== undefined || first.body === "mine");
            script = reply(answer("second"));
            assert.equal((await exchange(port, { connections })).body, "second");
            connections.dispose();
        });

        it("gives up idle connections after a timeout, since they may be silent too", async () => {
            const connections = createUpstreamConnections();
            script = reply(answer("one"));
            await Promise.all([exchange(port, { connections }), exchange(port, { connections })]);
            script = () => undefined;
            assert.equal((await exchange(port, { connections })).failure?.kind, "first-byte-timeout");
            const before = connectionCount;
            script = reply(answer("fresh"));
            assert.equal((await exchange(port, { connections })).body, "fresh");
            assert.equal(connectionCount, before + 1);
            connections.dispose();
        });
    });
});
