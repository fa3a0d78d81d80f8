import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import * as events from "node:events";
import type * as net from "node:net";
import { describe, it } from "node:test";
import { createAcceptQueueMonitor } from "../../src/AcceptQueueMonitor.js";
import { createAcceptQueueProbe } from "../../src/AcceptQueueProbe.js";
import { createEntryRelief } from "../../src/EntryRelief.js";
import { createOverloadGuard } from "../../src/OverloadGuard.js";

const serveMs = 8;
const refuseMs = 1;
const probeMs = 0.5;
const endpoint = { host: "127.0.0.1", port: 1 };

interface Waiting {
    readonly joinedMs: number;
    readonly socket: net.Socket;
}

/** Stands for both ends of a connection. */
function createFakeSocket(address: string, port: number): net.Socket {
    return Object.assign(new events.EventEmitter(), {
        localAddress: address,
        localPort: port,
        remoteAddress: address,
        remotePort: port,
        destroy: () => undefined,
        resetAndDestroy: () => undefined,
        resume: () => undefined,
    }) as unknown as net.Socket;
}

/** Plays a loop that accepts one connection per turn, at a rate of callers per s; returns what they got. */
async function playLoad(callersPerS: number, durationMs: number, seed: number) {
    const clock = testing.createVirtualClock();
    const log = testing.createRecordingLog();
    const random = testing.createSeededRandom(seed);
    const queue: Waiting[] = [];
    let lastPort = 0;
    const join = (): net.Socket => {
        const socket = createFakeSocket(endpoint.host, ++lastPort);
        queue.push({ joinedMs: clock.nowMs(), socket });
        return socket;
    };
    let turnEnds: (() => void)[] = [];
    const probe = createAcceptQueueProbe({ endpoint, clock, log, connect: join });
    const acceptQueue = createAcceptQueueMonitor({ clock, log, probe, onTurnEnd: callback => turnEnds.push(callback) });
    const relief = createEntryRelief({ clock, log, peerLoads: () => [] });
    const guard = createOverloadGuard({ clock, log, random, utilization: () => 0.5, acceptQueue, relief });
    const servedWaitsMs: number[] = [];
    let refused = 0;
    const startMs = clock.nowMs();
    let nextCallerMs = startMs;
    const acceptOne = (): number => {
        const next = queue.shift();
        if (!next) {
            return 1;
        }
        acceptQueue.recordAccepted();
        if (probe.tryEnd(next.socket)) {
            return probeMs;
        }
        if (guard.judgeConnection() === "serve") {
            servedWaitsMs.push(clock.nowMs() - next.joinedMs);
            return serveMs;
        }
        refused++;
        return refuseMs;
    };
    while (clock.nowMs() < startMs + durationMs) {
        await clock.advance(acceptOne());
        for (; nextCallerMs <= clock.nowMs(); nextCallerMs += -Math.log(1 - random()) * 1_000 / callersPerS) {
            queue.push({ joinedMs: nextCallerMs, socket: createFakeSocket("127.0.0.2", lastPort) });
        }
        const due = turnEnds;
        turnEnds = [];
        due.forEach(callback => callback());
    }
    guard.dispose();
    acceptQueue.dispose();
    return { served: servedWaitsMs.length, refused, longestWaitMs: Math.max(...servedWaitsMs) };
}

describe("Connections that wait to be accepted", () => {
    it("are not refused while they wait shortly in a queue that is rarely empty", async () => {
        for (const seed of [1, 2, 3]) {
            const { served, refused, longestWaitMs } = await playLoad(0.65 * 1_000 / serveMs, 30_000, seed);
            assert.ok(longestWaitMs < 100, `seed ${seed}: waited for ${longestWaitMs} ms`);
            assert.equal(refused, 0, `seed ${seed}: refused beside ${served} served`);
        }
    });

    it("are refused when more arrive than can be served, so that no other one waits past the bound for long", async () => {
        for (const seed of [1, 2, 3]) {
            const { served, refused, longestWaitMs } = await playLoad(2 * 1_000 / serveMs, 30_000, seed);
            assert.ok(longestWaitMs < 300, `seed ${seed}: waited for ${longestWaitMs} ms`);
            assert.ok(served >= 0.4 * (served + refused), `seed ${seed}: ${served} served, ${refused} refused`);
        }
    });
});
