import * as core from "@peridotloft/core";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { once } from "node:events";
import * as net from "node:net";
import { describe, it } from "node:test";
import { createAcceptQueueProbe } from "../../src/AcceptQueueProbe.js";

describe("Probes of the accept queue", { timeout: 10_000 }, () => {
    it("are recognized if they are accepted in the next turn, before their own end reports the connection", async () => {
        const server = net.createServer().listen(0, "127.0.0.1");
        await once(server, "listening");
        const { port } = server.address() as net.AddressInfo;
        const log = testing.createRecordingLog();
        const probe = createAcceptQueueProbe({
            endpoint: { host: "127.0.0.1", port },
            clock: core.createSteadyClock(),
            log,
        });
        const accepted: { readonly socket: net.Socket; readonly isProbe: boolean; }[] = [];
        const bothAccepted = new Promise<void>(resolve => {
            server.on("connection", socket => {
                // In the order of the gateway: the monitor may start a probe before the connection is looked at.
                probe.start();
                accepted.push({ socket, isProbe: probe.tryEnd(socket) });
                if (accepted.length === 2) {
                    resolve();
                }
            });
        });
        const caller = net.connect(port, "127.0.0.1");
        await bothAccepted;
        probe.dispose();
        [caller, ...accepted.map(({ socket }) => socket)].forEach(socket => socket.destroy());
        server.close();
        assert.deepEqual(accepted.map(({ isProbe }) => isProbe), [false, true]);
    });

    it("do not tell that a connection has waited that joined the queue after them", async () => {
        const clock = testing.createVirtualClock();
        const server = net.createServer().listen(0, "127.0.0.1");
        await once(server, "listening");
        const { port } = server.address() as net.AddressInfo;
        const socket = net.connect(port, "127.0.0.1");
        const [[accepted]] = await Promise.all([once(server, "connection"), once(socket, "connect")]) as [
            [net.Socket],
            unknown,
        ];
        const probe = createAcceptQueueProbe({
            endpoint: { host: "127.0.0.1", port },
            clock,
            log: testing.createRecordingLog(),
            connect: () => socket,
        });
        probe.start();
        await new Promise(resolve => setImmediate(resolve));
        const outsideMs = probe.minWaitMs();
        socket.emit("connect");
        await clock.advance(400);
        const queuedMs = probe.minWaitMs();
        const isProbe = probe.tryEnd(accepted);
        const afterMs = probe.minWaitMs();
        probe.dispose();
        server.close();
        assert.equal(isProbe, true);
        assert.deepEqual([outsideMs, queuedMs, afterMs].map(Math.round), [0, 400, 0]);
    });

    it("do not wait forever if their connection gets data and is closed", async () => {
        const server = net.createServer(socket => void socket.end("HTTP/1.1 408 Request Timeout\r\n\r\n"));
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const { port } = server.address() as net.AddressInfo;
        const probe = createAcceptQueueProbe({
            endpoint: { host: "127.0.0.1", port },
            clock: core.createSteadyClock(),
            log: testing.createRecordingLog(),
        });
        probe.start();
        const isPending = (): boolean => probe.waitMs() !== undefined;
        for (let polls = 0; polls < 50 && isPending(); polls++) {
            await new Promise(resolve => setTimeout(resolve, 20));
        }
        const isStillPending = isPending();
        probe.dispose();
        server.close();
        assert.equal(isStillPending, false);
    });
});
