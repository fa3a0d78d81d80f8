import * as core from "@peridotloft/core";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { EventEmitter, once } from "node:events";
import * as net from "node:net";
import { describe, it } from "node:test";
import { acceptBacklog } from "../../src/AcceptQueueMonitor.js";
import { createAcceptQueueProbe } from "../../src/AcceptQueueProbe.js";

const endpoint = { host: "127.0.0.1", port: 1 };

/** Stands for both ends of a connection. */
function createFakeSocket(port: number) {
    return Object.assign(new EventEmitter(), {
        localAddress: endpoint.host,
        localPort: port,
        remoteAddress: endpoint.host,
        remotePort: port,
        isDestroyed: false,
        destroy(): void {
            this.isDestroyed = true;
        },
        resetAndDestroy(): void {
            this.isDestroyed = true;
        },
        resume: () => undefined,
    });
}

type FakeSocket = ReturnType<typeof createFakeSocket>;

const asSocket = (socket: FakeSocket): net.Socket => socket as unknown as net.Socket;

/** A probe whose connections the test holds. `reportsConnect` states whether they are in the queue at once. */
function createFakeProbe(reportsConnect = true) {
    const clock = testing.createVirtualClock();
    const log = testing.createRecordingLog();
    const sockets: FakeSocket[] = [];
    const probe = createAcceptQueueProbe({
        endpoint,
        clock,
        log,
        connect() {
            const socket = createFakeSocket(sockets.length + 1);
            sockets.push(socket);
            if (reportsConnect) {
                process.nextTick(() => socket.emit("connect"));
            }
            return asSocket(socket);
        },
    });
    return {
        probe,
        clock,
        log,
        sockets,
        /** Lets callers be accepted, one each `turnMs`. */
        async acceptCallers(durationMs: number, turnMs = 5): Promise<void> {
            for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += turnMs) {
                probe.start();
                await new Promise(resolve => setImmediate(resolve));
                await clock.advance(turnMs);
            }
        },
    };
}

/** What a connection has waited when it is accepted, and for how long it has waited at least as far as the probe knows. */
interface AcceptedWait {
    readonly atMs: number;
    readonly trueMs: number;
    readonly boundMs: number;
    readonly measuredMs: number | undefined;
}

/** Plays a first in, first out queue that a caller joins every 10 ms, in which each connection waits for `waitMs`. */
async function playQueue(waitMs: number, durationMs: number) {
    const stepMs = 10;
    const { probe, clock, sockets } = createFakeProbe();
    const startMs = clock.nowMs();
    const queue: { readonly joinedMs: number; readonly socket: FakeSocket; }[] = [];
    const waits: AcceptedWait[] = [];
    const endedPorts: number[] = [];
    let queuedProbes = 0;
    const joinQueue = (socket: FakeSocket): void => void queue.push({ joinedMs: clock.nowMs(), socket });
    const acceptFirst = (): void => {
        const { joinedMs, socket } = queue.shift()!;
        // In the order of the gateway: the monitor starts probes before the connection is looked at.
        probe.start();
        sockets.slice(queuedProbes).forEach(joinQueue);
        queuedProbes = sockets.length;
        if (probe.tryEnd(asSocket(socket))) {
            endedPorts.push(socket.remotePort);
            return;
        }
        const atMs = clock.nowMs();
        waits.push({
            atMs: atMs - startMs,
            trueMs: atMs - joinedMs,
            boundMs: probe.minWaitMs(),
            measuredMs: probe.waitMs(),
        });
    };
    while (clock.nowMs() < startMs + durationMs) {
        joinQueue(createFakeSocket(100_000));
        while (queue[0] && queue[0].joinedMs + waitMs <= clock.nowMs()) {
            acceptFirst();
        }
        await new Promise(resolve => setImmediate(resolve));
        await clock.advance(stepMs);
    }
    probe.dispose();
    return { waits, endedPorts, sockets };
}

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

    for (const waitMs of [500, 900]) {
        it(`tell all but 150 ms of the wait once the queue has been busy, and never more than it: ${waitMs} ms`, async () => {
            // Requests count as arrived by this bound: what it lacks is added to their deadlines, and an excess cuts them early.
            const { waits } = await playQueue(waitMs, 6 * waitMs);
            const excessMs = Math.max(...waits.map(({ trueMs, boundMs }) => boundMs - trueMs));
            // The first connection, and so the first probe, is accepted after one wait, and that probe after another one.
            const later = waits.filter(({ atMs }) => atMs >= 2 * waitMs + 1);
            const lacksMs = later.map(({ trueMs, boundMs }) => trueMs - boundMs);
            const errorsMs = later.map(({ trueMs, measuredMs }) => Math.abs(trueMs - (measuredMs ?? 0)));
            const meanMs = lacksMs.reduce((sum, lackMs) => sum + lackMs, 0) / lacksMs.length;
            assert.ok(later.length > 100, `${later.length} connections`);
            assert.ok(excessMs <= 0, `${excessMs} ms more than the wait`);
            assert.ok(
                Math.max(...lacksMs) <= 150,
                `up to ${Math.max(...lacksMs)} ms less than the wait, ${meanMs} on average`,
            );
            assert.ok(Math.max(...errorsMs) <= 10, `measured ${Math.max(...errorsMs)} ms beside the wait`);
        });
    }

    it("tell a wait that is longer than probes suffice for so well that deadlines are less than 500 ms late", async () => {
        // Callers must have an answer 500 ms after the timeout of a route. The first probes are used up within 2 s.
        const { waits } = await playQueue(3_000, 12_000);
        const later = waits.filter(({ atMs }) => atMs >= 3 * 3_000);
        const lackMs = Math.max(...later.map(({ trueMs, boundMs }) => trueMs - boundMs));
        assert.ok(later.length > 100, `${later.length} connections`);
        assert.ok(lackMs < 500, `up to ${lackMs} ms less than the wait`);
    });

    it("are accepted and ended in the order in which they joined the queue", async () => {
        const { endedPorts, sockets } = await playQueue(500, 3_000);
        assert.ok(endedPorts.length >= 15, `${endedPorts.length} probes ended`);
        assert.deepEqual(endedPorts, endedPorts.map((_, index) => index + 1));
        assert.ok(sockets.every(({ isDestroyed }) => isDestroyed), "a connection is left open");
    });

    it("are recognized in any order", async () => {
        const { probe, sockets, acceptCallers } = createFakeProbe();
        await acceptCallers(300);
        const isProbe = [1, 2, 0].map(index => probe.tryEnd(asSocket(sockets[index]!)));
        const isProbeAgain = probe.tryEnd(asSocket(sockets[0]!));
        assert.deepEqual([...isProbe, isProbeAgain], [true, true, true, false]);
        assert.equal(probe.minWaitMs(), 0);
    });

    it("do not count in the wait after they have failed, while the others still do", async () => {
        const { probe, log, sockets, acceptCallers } = createFakeProbe();
        await acceptCallers(300);
        const beforeMs = probe.minWaitMs();
        sockets[0]!.emit("error", new Error("ECONNRESET"));
        sockets[0]!.emit("close");
        const afterMs = [probe.minWaitMs(), probe.waitMs() ?? 0];
        sockets.slice(1).forEach(socket => socket.emit("close"));
        assert.deepEqual([beforeMs, ...afterMs].map(Math.round), [300, 200, 200]);
        assert.deepEqual([probe.minWaitMs(), probe.waitMs()], [0, undefined]);
        assert.equal(log.count("accept-queue-probe-failed"), sockets.length);
    });

    it("do not tell that a connection has waited before it is known that they are in the queue", async () => {
        // A full queue delays a SYN: connections that are accepted meanwhile may have joined the queue after the probe began.
        const { probe, sockets, acceptCallers } = createFakeProbe(false);
        await acceptCallers(300);
        const unknownMs = probe.minWaitMs();
        sockets[1]!.emit("connect");
        await acceptCallers(50);
        assert.deepEqual([unknownMs, probe.minWaitMs()].map(Math.round), [0, 50]);
    });

    it("do not tell that a connection has waited once all connections of a full queue have been accepted before them", async () => {
        // A full queue drops the end of a handshake, so that a connected probe joins it seconds later or never. Its age was up to
        // 2,200 ms more than the wait of a connection.
        const { probe, log, sockets, acceptCallers } = createFakeProbe();
        await acceptCallers(50, 50);
        const acceptQueue = (): void => {
            for (let accepted = 0; accepted < acceptBacklog; accepted++) {
                probe.tryEnd(asSocket(createFakeSocket(100_000)));
            }
        };
        const earlierMs = probe.minWaitMs();
        acceptQueue();
        const overtakenMs = [probe.minWaitMs(), probe.waitMs()];
        const isFailed = log.count("accept-queue-probe-failed") > 0;
        acceptQueue();
        acceptQueue();
        assert.equal(Math.round(earlierMs), 50);
        assert.deepEqual(overtakenMs, [0, undefined]);
        assert.deepEqual([isFailed, log.count("accept-queue-probe-failed")], [false, 1], "ended after two queues");
        assert.equal(sockets[0]!.isDestroyed, true);
    });

    it("do not tell that a connection has waited that joined the queue after a flush", async () => {
        // A connection whose handshake the kernel had not ended is not reset by the flush.
        const { probe, clock, log, sockets, acceptCallers } = createFakeProbe();
        await acceptCallers(300);
        probe.recordFlushed();
        await clock.advance(100);
        assert.equal(probe.minWaitMs(), 0);
        assert.ok(sockets.every(({ isDestroyed }) => isDestroyed), "a connection is left open");
        sockets.forEach(socket => socket.emit("close"));
        assert.equal(log.count("accept-queue-probe-failed"), 0);
    });

    it("are few: 20 at a time, and at most one of five accepted connections in long turns", async () => {
        // One connection is accepted per turn, so that each probe takes the place of a caller.
        const unlimited = createFakeProbe();
        await unlimited.acceptCallers(5_000);
        unlimited.probe.dispose();
        assert.equal(unlimited.sockets.length, 20);
        assert.ok(unlimited.sockets.every(({ isDestroyed }) => isDestroyed), "a connection is open after dispose");
        const long = createFakeProbe();
        await long.acceptCallers(2_000, 100);
        assert.equal(long.sockets.length, 4, "probes beside 20 callers");
    });

    it("are started for callers, not because a probe is accepted", async () => {
        // With turns of over 100 ms, probes that lead to further ones would make an empty queue look busy for ever. Without one
        // when the next callers come, the upper bound would count as their wait and they would be refused.
        const { probe, sockets, acceptCallers } = createFakeProbe();
        await acceptCallers(150, 150);
        probe.start();
        assert.equal(probe.tryEnd(asSocket(sockets[0]!)), true);
        assert.equal(sockets.length, 1, "probes after one was accepted");
        await acceptCallers(150, 150);
        assert.equal(sockets.length, 2, "probes after the next caller was accepted");
        probe.dispose();
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
