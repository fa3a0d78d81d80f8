import * as core from "@peridotloft/core";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import * as net from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { refuseConnection } from "../../src/ConnectionRefusal.js";
import { planOverloadRetry } from "../../src/OverloadRetry.js";
import type { WireCodec } from "../../src/WireCodec.js";

const maxHeaderBytes = 200;

const codec = {
    readRequestId: head => core.requestId(/\r\nId: (\S+)\r\n/.exec(head)?.[1] ?? ""),
    refusalHeaders: (id, retryAfterMs) => ["Id", id ?? "", "Retry-After", String(retryAfterMs)],
} as Partial<WireCodec> as WireCodec;

describe("ConnectionRefusal", () => {
    let clock: ReturnType<typeof testing.createVirtualClock>;
    let log: ReturnType<typeof testing.createRecordingLog>;
    let server: net.Server;
    let caller: net.Socket;
    let refused: net.Socket;
    let received: string;
    let refusals: boolean[];

    beforeEach(async () => {
        clock = testing.createVirtualClock();
        log = testing.createRecordingLog();
        received = "";
        refusals = [];
        const accepted = new Promise<net.Socket>(resolve => {
            server = net.createServer({ allowHalfOpen: true }, socket => {
                refuseConnection(socket, {
                    clock,
                    codec,
                    maxHeaderBytes,
                    log,
                    chooseRetry: () => ({ ...planOverloadRetry([]), retryAfterMs: undefined }),
                    onRefused: connection => void refusals.push(connection.isAbandoned),
                });
                resolve(socket);
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        caller = net.connect({ port: (server.address() as net.AddressInfo).port, allowHalfOpen: true });
        caller.on("data", (bytes: Buffer) => received += bytes.toString("latin1"));
        refused = await accepted;
    });
    afterEach(() => {
        caller.destroy();
        server.close();
    });

    async function until(isMet: () => boolean): Promise<void> {
        while (!isMet()) {
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    async function send(text: string): Promise<void> {
        const expectedBytes = refused.bytesRead + text.length;
        caller.write(text);
        await until(() => refused.bytesRead === expectedBytes);
    }

    /** Advances the clock until the connection is closed, and returns what the log says about it. */
    async function closeAfter(ms: number) {
        await clock.advance(ms);
        await until(() => refused.closed);
        const [line] = log.lines;
        return line
            && { cause: line.fields["cause"], answered: line.fields["answered"], bytes: line.fields["bytesRead"] };
    }

    it("refuses a request whose head arrives in parts, and logs nothing once its caller has closed the connection", async () => {
        await send("GET / HTTP/1.1\r\nId: a1\r");
        await clock.advance(1_900);
        await send("\n\r\n");
        await until(() => received.endsWith("}"));
        assert.match(received, /^HTTP\/1\.1 503 .*\r\nId: a1\r\nRetry-After: 150\r\n/s);
        caller.end();
        assert.equal(await closeAfter(1_900), undefined);
    });

    it("reports whether the caller had closed the connection before it was refused", async () => {
        caller.end("GET / HTTP/1.1\r\nId: a1\r\n\r\n");
        await until(() => received.endsWith("}"));
        assert.deepEqual(refusals, [true]);
    });

    it("closes a connection that its caller leaves open 2 s after the refusal", async () => {
        await send("GET / HTTP/1.1\r\nId: a1\r\n\r\n");
        await until(() => received.endsWith("}"));
        assert.deepEqual(refusals, [false]);
        assert.deepEqual(await closeAfter(2_000), { cause: "linger-timeout", answered: true, bytes: 26 });
    });

    it("is not closed by a refusal while the body of the request arrives, for 30 s at most", async () => {
        const head = "POST / HTTP/1.1\r\nId: a1\r\n\r\n";
        await send(head);
        await until(() => received.endsWith("}"));
        for (let elapsedMs = 0; elapsedMs < 28_000; elapsedMs += 2_000) {
            await send("x");
            await clock.advance(2_000);
            assert.equal(refused.destroyed, false, `${elapsedMs} ms`);
        }
        await send("x");
        assert.deepEqual(await closeAfter(2_000), { cause: "linger-timeout", answered: true, bytes: head.length + 15 });
    });

    const unfinished = [
        {
            text: `GET / HTTP/1.1\r\nId: ${"x".repeat(maxHeaderBytes)}`,
            waitMs: 0,
            status: "431",
            cause: "head-too-large",
        },
        { text: "GET / HTTP/1.1\r\n", waitMs: 2_000, status: "408", cause: "head-timeout" },
    ];
    unfinished.forEach(({ text, waitMs, status, cause }) =>
        it(`answers a request whose head does not end, and logs its ${cause}`, async () => {
            await send(text);
            await clock.advance(waitMs);
            await until(() => received.includes(status));
            caller.end();
            assert.deepEqual(await closeAfter(0), { cause, answered: true, bytes: text.length });
        })
    );

    it("logs connections that end before the head", async () => {
        caller.end();
        assert.deepEqual(await closeAfter(0), { cause: "caller-disconnected", answered: false, bytes: 0 });
    });
});
