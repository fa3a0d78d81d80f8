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
    node.registerSlice("error", async () => err("no luck"));
    node.registerSlice("hang", () => new Promise(() => undefined));
    addresses.set(self, (await node.start())._unsafeUnwrap());
    cleanUps.push(() => node.dispose());
    return node;
}

interface Relay {
    readonly address: string;
    /** Bytes that clients have sent so far. */
    recorded(): Buffer;
    silence(): void;
}

/** Relays TCP to `target` until told to stop forwarding; connections then stay open and silent. */
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
        silence() {
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

// A closed connection is noticed a moment later; until then a call on it truly may have been delivered.
const untilNoticed = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 50));

const kindOf = async (node: peering.PeerNode, slice: string, to = b, timeoutMs = 500): Promise<string> =>
    (await node.call(to, slice, payload, timeoutMs)).match(() => "ok", error => error.kind);

describe("PeerNode on loopback", () => {
    it("carries a call, a handler's error and a message of the largest size", async () => {
        const node = await startNode(a);
        await startNode(b);
        assert.deepEqual((await node.call(b, "echo", payload, 500))._unsafeUnwrap(), payload);
        const failure = (await node.call(b, "error", payload, 500))._unsafeUnwrapErr();
        assert.deepEqual([failure.kind, failure.message], ["failed", "b: no luck"]);
        const large = new Uint8Array(peering.maxPayloadBytes).fill(7);
        assert.equal((await node.call(b, "echo", large, 5_000))._unsafeUnwrap().length, large.length);
        assert.equal(await kindOf(node, "nothing"), "refused");
        const above = new Uint8Array(peering.maxPayloadBytes + 1);
        assert.equal((await node.call(b, "echo", above, 500))._unsafeUnwrapErr().kind, "refused");
    });

    it("says unreachable only when nothing was delivered, and timeout when it may have been", async () => {
        const node = await startNode(a);
        addresses.set(b, "127.0.0.1:1");
        assert.equal(await kindOf(node, "echo"), "unreachable");
        assert.equal(await kindOf(node, "echo", core.vmId("unknown")), "unreachable");
        const receiver = await startNode(b);
        assert.equal(await kindOf(node, "hang", b, 50), "timeout");
        const broken = node.call(b, "hang", payload, 5_000);
        await untilNoticed();
        const brokenMs = Date.now();
        await receiver.dispose();
        assert.equal((await broken)._unsafeUnwrapErr().kind, "timeout");
        assert.ok(Date.now() - brokenMs < 1_000, "the call waited for its own timeout");
    });

    it("refuses a sender with another secret before any message is sent", async () => {
        const stranger = await startNode(a, { secret: "other" });
        const receiver = await startNode(b);
        const error = (await stranger.call(b, "echo", payload, 500))._unsafeUnwrapErr();
        assert.equal(error.kind, "refused");
        assert.match(error.message, /not authentic.*wrong MAC/);
        assert.equal(receiver.counters().refusedMac, 1);
        assert.equal(receiver.counters().handled, 0);
    });

    it("refuses the previous run of a restarted sender", async () => {
        const old = await startNode(a, { incarnation: 1 });
        const receiver = await startNode(b);
        assert.equal(await kindOf(old, "echo"), "ok");
        const current = await startNode(a, { incarnation: 2 });
        assert.equal(await kindOf(current, "echo"), "ok");
        assert.match((await old.call(b, "echo", payload, 500))._unsafeUnwrapErr().message, /replaced by a newer/);
        assert.equal(receiver.counters().refusedOldIncarnation, 1);
    });

    it("reaches a receiver that restarted, on the same and on another address", async () => {
        const node = await startNode(a);
        const first = await startNode(b);
        assert.equal(await kindOf(node, "echo"), "ok");
        const address = addresses.get(b)!;
        await first.dispose();
        await untilNoticed();
        assert.equal(await kindOf(node, "echo"), "unreachable");
        const second = await startNode(b, { incarnation: 2, listen: address });
        assert.equal(await kindOf(node, "echo"), "ok");
        await startNode(b, { incarnation: 3 });
        assert.notEqual(addresses.get(b), address);
        assert.equal(await kindOf(node, "echo"), "ok");
        assert.equal(second.counters().handled, 1);
    });

    it("handles a call once when its bytes are sent again", async () => {
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
        await untilNoticed();
        const { handled, refusedReplay } = receiver.counters();
        assert.deepEqual({ handled, refusedReplay }, { handled: 1, refusedReplay: 2 });
    });

    it("does not handle a call again when its bytes are sent to the restarted receiver", async () => {
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
        await untilNoticed();
        const { received, handled, refusedOtherRun } = second.counters();
        assert.deepEqual({ received, handled, refusedOtherRun }, { received: 2, handled: 0, refusedOtherRun: 1 });
    });

    describe("with a connection that became silent", () => {
        it("replaces it within 3 s, and calls to other peers never wait for it", async () => {
            const node = await startNode(a);
            const c = core.vmId("c");
            await Promise.all([startNode(b), startNode(c)]);
            const target = addresses.get(b)!;
            const relay = await startRelay(() => target);
            addresses.set(b, relay.address);
            assert.equal(await kindOf(node, "echo"), "ok");
            relay.silence();
            const silentMs = Date.now();
            const slowest = { ms: 0 };
            while (await kindOf(node, "echo", b, 100) !== "ok") {
                const startMs = Date.now();
                assert.equal(await kindOf(node, "echo", c), "ok");
                slowest.ms = Math.max(slowest.ms, Date.now() - startMs);
                assert.ok(Date.now() - silentMs < 4_000, "the silent connection is still in use");
            }
            assert.ok(Date.now() - silentMs <= 3_200, `replaced after ${Date.now() - silentMs} ms`);
            assert.ok(slowest.ms < 200, `a call to another peer took ${slowest.ms} ms`);
            assert.equal(node.counters().connectionsDead, 1);
        });

        it("is caught by the same check when no ping is ever sent", async () => {
            const clock = core.createSystemClock();
            const setTimer: core.Clock["setTimer"] = (delayMs, callback) =>
                delayMs >= 1_000 ? () => undefined : clock.setTimer(delayMs, callback);
            const node = await startNode(a, { clock: { ...clock, setTimer } });
            await startNode(b);
            const target = addresses.get(b)!;
            const relay = await startRelay(() => target);
            addresses.set(b, relay.address);
            assert.equal(await kindOf(node, "echo"), "ok");
            relay.silence();
            const silentMs = Date.now();
            while (Date.now() - silentMs < 3_500) {
                assert.equal(await kindOf(node, "echo", b, 500), "timeout");
            }
        });

        it("ends a waiting call when the ping is not answered, long before its own timeout", async () => {
            const node = await startNode(a);
            await startNode(b);
            const target = addresses.get(b)!;
            const relay = await startRelay(() => target);
            addresses.set(b, relay.address);
            assert.equal(await kindOf(node, "echo"), "ok");
            relay.silence();
            const startMs = Date.now();
            assert.equal(await kindOf(node, "echo", b, 20_000), "timeout");
            assert.ok(Date.now() - startMs < 3_500);
        });
    });
});
