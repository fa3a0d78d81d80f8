import * as core from "@peridotloft/core";
import { err, ok } from "neverthrow";
import * as assert from "node:assert/strict";
import { connect, createServer, type Server, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import * as peering from "../../src/index.js";

const a = core.vmId("a");
const b = core.vmId("b");
const payload = new Uint8Array([1, 2, 3]);
const cleanUps: (() => unknown)[] = [];
const addresses = new Map<core.VmId, string>();

afterEach(async () => {
    await Promise.all(cleanUps.splice(0).map(cleanUp => cleanUp()));
    addresses.clear();
});

async function startNode(self: core.VmId, change: Partial<peering.PeerNodeOptions> = {}): Promise<peering.PeerNode> {
    const node = peering.createPeerNode({
        self,
        incarnation: 1,
        listen: "127.0.0.1:0",
        secret: "shared",
        addressOf: vm => addresses.get(vm),
        clock: core.createSystemClock(),
        ...change,
    });
    node.registerSlice("echo", async (_from, bytes) => ok(bytes));
    node.registerSlice("error", async () => err("rejected by the handler"));
    node.registerSlice("hang", () => new Promise(() => undefined));
    addresses.set(self, (await node.start())._unsafeUnwrap());
    cleanUps.push(() => node.dispose());
    return node;
}

interface Relay {
    readonly address: string;
    /** Bytes sent by clients so far. */
    recorded(): Buffer;
    stopForwarding(): void;
}

/** TCP proxy to `target`. After `stopForwarding`, its connections stay open but carry no data. */
async function startRelay(target: () => string): Promise<Relay> {
    const sockets = new Set<Socket>();
    let forwarding: { left: Socket; right: Socket; }[] = [];
    const recorded: Buffer[] = [];
    const server: Server = createServer(left => {
        const [host, port] = target().split(":");
        const right = connect(Number(port), host);
        [left, right].forEach(socket => {
            sockets.add(socket);
            socket.on("error", () => socket.destroy());
        });
        left.on("data", (chunk: Buffer) => recorded.push(chunk));
        left.pipe(right);
        right.pipe(left);
        forwarding.push({ left, right });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    cleanUps.push(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    return {
        address: `127.0.0.1:${(server.address() as { port: number; }).port}`,
        recorded: () => Buffer.concat(recorded),
        stopForwarding() {
            forwarding.forEach(({ left, right }) => {
                left.unpipe(right);
                right.unpipe(left);
                left.pause();
                right.pause();
            });
            forwarding = [];
        },
    };
}

// A closed connection is detected with a delay; until then a call on it may have been delivered.
const waitForDetection = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 50));

const kindOf = async (node: peering.PeerNode, slice: string, to = b, timeoutMs = 500): Promise<string> =>
    (await node.call(to, slice, payload, timeoutMs)).match(() => "ok", error => error.kind);

describe("PeerNode on loopback", () => {
    it("transports calls, handler errors and messages of the maximum size", async () => {
        const node = await startNode(a);
        await startNode(b);
        assert.deepEqual((await node.call(b, "echo", payload, 500))._unsafeUnwrap(), payload);
        const failure = (await node.call(b, "error", payload, 500))._unsafeUnwrapErr();
        assert.deepEqual([failure.kind, failure.message], ["failed", "b: rejected by the handler"]);
        const large = new Uint8Array(peering.maxPayloadBytes).fill(7);
        assert.equal((await node.call(b, "echo", large, 5_000))._unsafeUnwrap().length, large.length);
        assert.equal(await kindOf(node, "nothing"), "refused");
        const above = new Uint8Array(peering.maxPayloadBytes + 1);
        assert.equal((await node.call(b, "echo", above, 500))._unsafeUnwrapErr().kind, "refused");
    });

    it("returns unreachable only if nothing was delivered, and timeout if it may have been", async () => {
        const node = await startNode(a);
        addresses.set(b, "127.0.0.1:1");
        assert.equal(await kindOf(node, "echo"), "unreachable");
        assert.equal(await kindOf(node, "echo", core.vmId("unknown")), "unreachable");
        const receiver = await startNode(b);
        assert.equal(await kindOf(node, "hang", b, 50), "timeout");
        const broken = node.call(b, "hang", payload, 5_000);
        await waitForDetection();
        const brokenMs = Date.now();
        await receiver.dispose();
        assert.equal((await broken)._unsafeUnwrapErr().kind, "timeout");
        assert.ok(Date.now() - brokenMs < 1_000, "the call waited for its own timeout");
    });

    it("refuses a sender with another secret before any message is sent", async () => {
        const unauthorized = await startNode(a, { secret: "other" });
        const receiver = await startNode(b);
        const error = (await unauthorized.call(b, "echo", payload, 500))._unsafeUnwrapErr();
        assert.equal(error.kind, "refused");
        assert.match(error.message, /not authentic.*wrong MAC/);
        assert.equal(receiver.counters().refusedMac, 1);
        assert.equal(receiver.counters().handled, 0);
    });

    it("refuses envelopes of an earlier run of a restarted sender", async () => {
        const old = await startNode(a, { incarnation: 1 });
        const receiver = await startNode(b);
        assert.equal(await kindOf(old, "echo"), "ok");
        const current = await startNode(a, { incarnation: 2 });
        assert.equal(await kindOf(current, "echo"), "ok");
        assert.match((await old.call(b, "echo", payload, 500))._unsafeUnwrapErr().message, /replaced by a newer/);
        assert.equal(receiver.counters().refusedOldIncarnation, 1);
    });

    it("reconnects to a restarted receiver at the same and at another address", async () => {
        const node = await startNode(a);
        const first = await startNode(b);
        assert.equal(await kindOf(node, "echo"), "ok");
        const address = addresses.get(b)!;
        await first.dispose();
        await waitForDetection();
        assert.equal(await kindOf(node, "echo"), "unreachable");
        const second = await startNode(b, { incarnation: 2, listen: address });
        assert.equal(await kindOf(node, "echo"), "ok");
        await startNode(b, { incarnation: 3 });
        assert.notEqual(addresses.get(b), address);
        assert.equal(await kindOf(node, "echo"), "ok");
        assert.equal(second.counters().handled, 1);
    });

    it("handles a call once when its bytes are replayed", async () => {
        const node = await startNode(a);
        const receiver = await startNode(b);
        const target = addresses.get(b)!;
        const relay = await startRelay(() => target);
        addresses.set(b, relay.address);
        assert.equal(await kindOf(node, "echo"), "ok");
        const [host, port] = target.split(":");
        const replay = connect(Number(port), host);
        cleanUps.push(() => replay.destroy());
        replay.write(relay.recorded());
        await waitForDetection();
        const { handled, refusedReplay } = receiver.counters();
        assert.deepEqual({ handled, refusedReplay }, { handled: 1, refusedReplay: 2 });
    });

    it("does not handle a call again when its bytes are replayed to the restarted receiver", async () => {
        const node = await startNode(a);
        const first = await startNode(b);
        const target = addresses.get(b)!;
        const relay = await startRelay(() => target);
        addresses.set(b, relay.address);
        assert.equal(await kindOf(node, "echo"), "ok");
        await first.dispose();
        const second = await startNode(b, { incarnation: 2 });
        const [host, port] = addresses.get(b)!.split(":");
        const replay = connect(Number(port), host);
        cleanUps.push(() => replay.destroy());
        replay.write(relay.recorded());
        await waitForDetection();
        const { received, handled, refusedOtherRun } = second.counters();
        assert.deepEqual({ received, handled, refusedOtherRun }, { received: 2, handled: 0, refusedOtherRun: 1 });
    });

    describe("with an unresponsive connection", () => {
        it("replaces it within 3 s, without delaying calls to other peers", async () => {
            const node = await startNode(a);
            const c = core.vmId("c");
            await Promise.all([startNode(b), startNode(c)]);
            const target = addresses.get(b)!;
            const relay = await startRelay(() => target);
            addresses.set(b, relay.address);
            assert.equal(await kindOf(node, "echo"), "ok");
            relay.stopForwarding();
            const unresponsiveMs = Date.now();
            const slowest = { ms: 0 };
            while (await kindOf(node, "echo", b, 100) !== "ok") {
                const startMs = Date.now();
                assert.equal(await kindOf(node, "echo", c), "ok");
                slowest.ms = Math.max(slowest.ms, Date.now() - startMs);
                assert.ok(Date.now() - unresponsiveMs < 4_000, "the unresponsive connection is still in use");
            }
            assert.ok(Date.now() - unresponsiveMs <= 3_200, `replaced after ${Date.now() - unresponsiveMs} ms`);
            assert.ok(slowest.ms < 200, `a call to another peer took ${slowest.ms} ms`);
            assert.equal(node.counters().connectionsDead, 1);
        });

        it("keeps using it when no ping is sent (shows that the check above can fail)", async () => {
            const clock = core.createSystemClock();
            const setTimer: core.Clock["setTimer"] = (delayMs, callback) =>
                delayMs >= 1_000 ? () => undefined : clock.setTimer(delayMs, callback);
            const node = await startNode(a, { clock: { ...clock, setTimer } });
            await startNode(b);
            const target = addresses.get(b)!;
            const relay = await startRelay(() => target);
            addresses.set(b, relay.address);
            assert.equal(await kindOf(node, "echo"), "ok");
            relay.stopForwarding();
            const unresponsiveMs = Date.now();
            while (Date.now() - unresponsiveMs < 3_500) {
                assert.equal(await kindOf(node, "echo", b, 500), "timeout");
            }
        });

        it("ends a pending call when the ping is not acknowledged, well before its own timeout", async () => {
            const node = await startNode(a);
            await startNode(b);
            const target = addresses.get(b)!;
            const relay = await startRelay(() => target);
            addresses.set(b, relay.address);
            assert.equal(await kindOf(node, "echo"), "ok");
            relay.stopForwarding();
            const startMs = Date.now();
            assert.equal(await kindOf(node, "echo", b, 20_000), "timeout");
            assert.ok(Date.now() - startMs < 3_500);
        });
    });
});
