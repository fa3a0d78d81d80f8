import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { once } from "node:events";
import * as net from "node:net";
import { after, describe, it } from "node:test";
import * as timers from "node:timers/promises";
import { createEntryRelay } from "../../src/relay/EntryRelay.js";
import { joinConnections } from "../../src/relay/RelayedPair.js";
import { frameWrites } from "../../src/relay/RelayFrames.js";
import { createRelayListener } from "../../src/relay/RelayListener.js";
import {
    decodeRelayAnswer,
    decodeRelayRequest,
    encodeRelayAnswer,
    encodeRelayRequest,
} from "../../src/relay/RelayMessages.js";
import { createRelayPeers } from "../../src/relay/RelayPeers.js";
import { createRelayRoom } from "../../src/relay/RelayRoom.js";
import { createRelayShare } from "../../src/relay/RelayShare.js";
import { connectPair } from "./SocketPair.js";

const clock = testing.createVirtualClock();
const random = testing.createSeededRandom(1);

describe("RelayShare", () => {
    const load = { utilization: 0, waitMs: 0 };
    let peersWithRoom = 1;
    const log = testing.createRecordingLog();
    const share = createRelayShare({
        clock,
        log,
        random,
        utilization: () => load.utilization,
        acceptQueue: { waitMs: () => load.waitMs, acceptedWhileBusy: () => 10 },
        peersWithRoom: () => peersWithRoom,
    });

    it("passes connections on before any is refused, and none on a VM that has processor time", async () => {
        load.utilization = 0.75;
        await clock.advance(1_000);
        assert.deepEqual([share.current(), share.passesOn()], [0, false]);
        load.utilization = 0.85;
        peersWithRoom = 0;
        await clock.advance(1_000);
        assert.equal(share.current(), 0);
        peersWithRoom = 1;
        await clock.advance(1_000);
        assert.deepEqual([share.current(), share.passesOn()], [1, true]);
        load.utilization = 0.5;
        await clock.advance(3_000);
        assert.equal(share.current(), 0);
        assert.deepEqual(log.lines.map(({ event }) => event), ["entry-relay-started", "entry-relay-ended"]);
    });

    it("closes some open connections only if passing on all new ones is not enough", async () => {
        const closedOf = (responses: number): number =>
            Array.from({ length: responses }, share.closesOpen).filter(isClosed => isClosed).length;
        load.utilization = 0.9;
        await clock.advance(200);
        assert.equal(closedOf(100), 0, `share ${share.current()}`);
        await clock.advance(800);
        const closed = closedOf(1_000);
        assert.ok(closed > 100 && closed < 300, `${closed} of 1,000`);
        load.utilization = 0.75;
        assert.equal(closedOf(100), 0);
        load.utilization = 0.5;
        await clock.advance(3_000);
    });

    it("passes on what waits in the accept queue, but not what its caller has given up", () => {
        load.waitMs = 50;
        assert.equal(share.passesOn(), true);
        load.waitMs = 1_000;
        assert.equal(share.passesOn(), false);
    });
});

describe("RelayPeers", () => {
    const peersOf = (
        ...loads: readonly { address: string; spareCores: number; ageMs?: number; isSameZone?: boolean; }[]
    ) => createRelayPeers({
        clock,
        random,
        peerLoads: () => loads.map(load => ({ isSameZone: true, ageMs: 100, ...load })),
    });

    it("prefers VMs with more room and leaves out those without, of other zones and not heard of", () => {
        const peers = peersOf(
            { address: "large", spareCores: 0.5 },
            { address: "small", spareCores: 0.1 },
            { address: "full", spareCores: 0 },
            { address: "away", spareCores: 1, isSameZone: false },
            { address: "old", spareCores: 1, ageMs: 6_000 },
        );
        const chosen = Array.from({ length: 1_000 }, () => peers.choose([]));
        assert.deepEqual(new Set(chosen), new Set(["large", "small"]));
        assert.ok(chosen.filter(address => address === "small").length < 100);
        assert.equal(peers.choose(["large"]), "small");
    });

    it("asks a VM that does not answer a few times, and then none for some time", async () => {
        const peers = peersOf({ address: "silent", spareCores: 1 });
        const asked = Array.from({ length: 20 }, () => {
            const address = peers.choose([]);
            if (address !== undefined) {
                peers.recordAsked(address);
            }
            return address;
        });
        assert.equal(asked.filter(address => address !== undefined).length, 8);
        asked.slice(0, 8).forEach(() => peers.recordAnswer("silent", undefined));
        await clock.advance(1_900);
        assert.equal(peers.withRoom(), 0);
        await clock.advance(200);
        assert.equal(peers.withRoom(), 1);
    });
});

describe("RelayRoom", () => {
    it("is not overrun by VMs that choose it at the same moment", () => {
        const room = createRelayRoom({ clock, cores: 0.243, utilization: () => 0.05, isOpen: () => true });
        const taken = Array.from({ length: 100 }, () => room.tryTake()).filter(isTaken => isTaken).length;
        // 0.146 of a core is spare, and each connection takes 4 ms of it within 300 ms.
        assert.equal(taken, 11);
        assert.equal(room.spareCores(), 0);
    });
});

describe("Messages of the relay", () => {
    it("are decoded as they were encoded, and other bytes are not", () => {
        const request = {
            kind: "connection",
            waitMs: 70,
            minWaitMs: 30,
            catalogAgeMs: 1_200,
            configVersion: 2 ** 40,
        } as const;
        assert.deepEqual(decodeRelayRequest(encodeRelayRequest(request)), request);
        assert.deepEqual(decodeRelayRequest(encodeRelayRequest({ kind: "drain" })), { kind: "drain" });
        assert.equal(decodeRelayRequest(Buffer.from("GET / HTTP/1.1")), undefined);
        const answer = { isAccepted: true, spareCores: 0.146 };
        assert.deepEqual(decodeRelayAnswer(encodeRelayAnswer(answer)), answer);
    });
});

describe("RelayListener", { timeout: 10_000 }, () => {
    const catalog = { configVersion: 7, catalogAgeMs: 1_000 };
    const listener = createRelayListener({
        clock,
        log: testing.createRecordingLog(),
        metrics: testing.createNoopMetrics(),
        room: { spareCores: () => 0.5, tryTake: () => true },
        readCatalog: () => catalog,
        serve: socket => socket.on("error", () => undefined),
        isIdle: () => false,
        isBetweenRequests: () => true,
    });
    after(listener.close);

    async function isTaken(known: Partial<typeof catalog>): Promise<boolean | undefined> {
        const { port } = listener.server.address() as net.AddressInfo;
        const socket = net.connect(port, "127.0.0.1");
        socket.write(encodeRelayRequest({ kind: "connection", waitMs: 0, minWaitMs: 0, ...catalog, ...known }));
        const [answer] = await once(socket, "data") as [Buffer];
        socket.destroy();
        return decodeRelayAnswer(answer)?.isAccepted;
    }

    it("takes no connection of a VM that knows a newer configuration or catalog", async () => {
        listener.server.listen(0, "127.0.0.1");
        await once(listener.server, "listening");
        assert.deepEqual([await isTaken({}), await isTaken({ configVersion: 8 })], [true, false]);
        catalog.catalogAgeMs = 5_000;
        assert.deepEqual([await isTaken({ catalogAgeMs: 1_000 }), await isTaken({ catalogAgeMs: 5_000 })], [
            false,
            true,
        ]);
    });
});

describe("EntryRelay", { timeout: 10_000 }, () => {
    /** Passes a connection on that has waited in the accept queue; returns what its caller and the serving VM notice. */
    async function passOn(acceptWaitMs: number) {
        let servedBytes = 0;
        let received = "";
        const serving = net.createServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => {
                socket.write(encodeRelayAnswer({ isAccepted: true, spareCores: 1 }));
                socket.on("data", bytes => servedBytes += bytes.length);
            });
        }).listen(0, "127.0.0.1");
        await once(serving, "listening");
        const relay = createEntryRelay({
            clock,
            log: testing.createRecordingLog(),
            metrics: testing.createNoopMetrics(),
            share: { passesOn: () => true, closesOpen: () => false, current: () => 1, dispose: () => undefined },
            peers: {
                choose: () => "127.0.0.1",
                recordAsked: () => undefined,
                recordAnswer: () => undefined,
                withRoom: () => 1,
            },
            host: "127.0.0.1",
            port: (serving.address() as net.AddressInfo).port,
            maxOpen: 10,
            maxHeldBytes: 100_000,
            acceptWaitMs: () => acceptWaitMs,
            minAcceptWaitMs: () => 0,
            readCatalog: () => ({ configVersion: 7, catalogAgeMs: 0 }),
            isAlive: () => true,
            serveReturned: () => undefined,
            recordRelayed: () => undefined,
        });
        const entry = net.createServer(socket =>
            void relay.tryPassOn(socket, isTooLate => void socket.end(isTooLate ? "too late" : "not taken"))
        ).listen(0, "127.0.0.1");
        await once(entry, "listening");
        const caller = net.connect((entry.address() as net.AddressInfo).port, "127.0.0.1");
        let isReset = false;
        caller.on("error", ({ code }: NodeJS.ErrnoException) => isReset = code === "ECONNRESET");
        caller.on("data", (bytes: Buffer) => received += bytes.toString());
        caller.write("request");
        await timers.setTimeout(200);
        caller.destroy();
        relay.close();
        [entry, serving].forEach(server => server.close());
        return { servedBytes, isReset, received };
    }

    it("leaves a connection unread to this VM, instead of resetting it, if no VM took it within the time that callers allow", async () => {
        assert.deepEqual(await passOn(999), { servedBytes: 7, isReset: false, received: "" });
        assert.deepEqual(await passOn(1_000), { servedBytes: 0, isReset: false, received: "too late" });
    });
});

describe("A relayed connection", { timeout: 10_000 }, () => {
    it("holds a bounded number of bytes for a caller that does not read, and its reset reaches both sides", async () => {
        const server = net.createServer({ allowHalfOpen: true }).listen(0, "127.0.0.1");
        await once(server, "listening");
        const [caller, callerEnd] = await connectPair(server);
        const [serving, peerEnd] = await connectPair(server);
        const errors: (string | undefined)[] = [];
        [caller, serving].forEach(socket => socket.on("error", ({ code }: NodeJS.ErrnoException) => errors.push(code)));
        let onEnded: (end: string) => void = () => undefined;
        const ended = new Promise<string>(resolve => onEnded = resolve);
        const pair = joinConnections({
            caller: callerEnd,
            peer: peerEnd,
            clock,
            onHeld: () => undefined,
            onPeerBytes: () => undefined,
            onAnswered: () => undefined,
            onReturned: () => undefined,
            onEnded,
        });
        caller.pause();
        frameWrites(serving);
        const isTaken = Array.from({ length: 400 }, () => serving.write(Buffer.alloc(64 * 1024)));
        assert.ok(isTaken.includes(false));
        await timers.setTimeout(300);
        const heldBytes = pair.heldBytes();
        const closed = [caller, serving].map(socket =>
            new Promise<void>(resolve => socket.once("close", () => resolve()))
        );
        pair.end("memory");
        caller.resume();
        await Promise.all(closed);
        server.close();
        assert.ok(heldBytes > 0 && heldBytes <= 128 * 1024, `${heldBytes} bytes held`);
        assert.equal(await ended, "memory");
        assert.ok(errors.includes("ECONNRESET"), errors.join());
    });
});
