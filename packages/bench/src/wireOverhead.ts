import * as core from "@peridotloft/core";
import * as peering from "@peridotloft/peering";
import { ok } from "neverthrow";
import { connect, createServer, type Socket } from "node:net";

export interface WireOverhead {
    readonly payloadBytes: number;
    /** TCP payload bytes that the caller sends for one call beyond the payload of the request, without TCP/IP headers. */
    readonly requestBytes: number;
    /** TCP payload bytes that the caller receives for one call beyond the payload of the reply, without TCP/IP headers. */
    readonly replyBytes: number;
}

interface CountingRelay {
    readonly address: string;
    readonly sentBytes: () => number;
    readonly receivedBytes: () => number;
    close(): void;
}

async function startCountingRelay(target: string): Promise<CountingRelay> {
    const sockets: Socket[] = [];
    let sentBytes = 0;
    let receivedBytes = 0;
    const [host, port] = target.split(":");
    const server = createServer(inbound => {
        const outbound = connect(Number(port), host);
        sockets.push(inbound, outbound);
        inbound.setNoDelay(true).on("data", chunk => {
            sentBytes += chunk.length;
        });
        outbound.setNoDelay(true).on("data", chunk => {
            receivedBytes += chunk.length;
        });
        inbound.pipe(outbound).on("error", () => inbound.destroy());
        outbound.pipe(inbound).on("error", () => outbound.destroy());
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as { port: number; }).port}`,
        sentBytes: () => sentBytes,
        receivedBytes: () => receivedBytes,
        close() {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
}

const receiver = core.vmId("vm-002");
const warmUpCalls = 50;
const measuredCalls = 500;
const timeoutMs = 2_000;

function createNode(self: core.VmId, addressOf: peering.PeerNodeOptions["addressOf"]): peering.PeerNode {
    return peering.createPeerNode({
        self,
        incarnation: 1,
        listen: "127.0.0.1:0",
        secret: "measurement",
        addressOf,
        clock: core.createSystemClock(),
    });
}

async function startPair() {
    let address = "";
    const create = (self: core.VmId): peering.PeerNode => createNode(self, () => address);
    const [sender, receiverNode] = [create(core.vmId("vm-001")), create(receiver)];
    receiverNode.registerSlice("membership", async () => ok(new Uint8Array(25)));
    const boundAddress = (await receiverNode.start())._unsafeUnwrap();
    const setAddress = (value: string): void => {
        address = value;
    };
    const dispose = async (): Promise<void> => {
        await Promise.all([sender.dispose(), receiverNode.dispose()]);
    };
    return { sender, boundAddress, setAddress, dispose };
}

const callRepeatedly = async (node: peering.PeerNode, count: number, payload: Uint8Array): Promise<void> => {
    for (let index = 0; index < count; index++) {
        (await node.call(receiver, "membership", payload, timeoutMs))._unsafeUnwrap();
    }
};

/** Measures the bytes that one call on an open connection adds to its payload and its reply of 25 bytes. */
export async function measureWireOverhead(payloadBytes: number): Promise<WireOverhead> {
    const { sender, boundAddress, setAddress, dispose } = await startPair();
    const relay = await startCountingRelay(boundAddress);
    setAddress(relay.address);
    const payload = new Uint8Array(payloadBytes);
    await callRepeatedly(sender, warmUpCalls, payload);
    const [sentBefore, receivedBefore] = [relay.sentBytes(), relay.receivedBytes()];
    await callRepeatedly(sender, measuredCalls, payload);
    const requestBytes = (relay.sentBytes() - sentBefore) / measuredCalls - payloadBytes;
    const replyBytes = (relay.receivedBytes() - receivedBefore) / measuredCalls - 25;
    await dispose();
    relay.close();
    return { payloadBytes, requestBytes, replyBytes };
}

export interface CallRate {
    readonly concurrency: number;
    readonly callsPerS: number;
    /** CPU time of one call in ms, of sender and receiver together. */
    readonly cpuMsPerCall: number;
}

/** Measures calls between two nodes in this process, which share one core. */
export async function measureCallRate(concurrency: number, durationMs: number): Promise<CallRate> {
    const { sender, boundAddress, setAddress, dispose } = await startPair();
    setAddress(boundAddress);
    const payload = new Uint8Array(100);
    await callRepeatedly(sender, warmUpCalls, payload);
    const cpuBefore = process.cpuUsage();
    const startMs = performance.now();
    let calls = 0;
    await Promise.all(Array.from({ length: concurrency }, async () => {
        while (performance.now() - startMs < durationMs) {
            await callRepeatedly(sender, 1, payload);
            calls++;
        }
    }));
    const elapsedMs = performance.now() - startMs;
    const { user, system } = process.cpuUsage(cpuBefore);
    await dispose();
    return { concurrency, callsPerS: calls * 1_000 / elapsedMs, cpuMsPerCall: (user + system) / 1_000 / calls };
}

/**
 * Measures the resident memory in KB per open connection, including both ends and an idle receiving node, with `count`
 * receiving nodes in this process.
 */
export async function measureConnectionMemory(count: number): Promise<number> {
    const addresses = new Map<core.VmId, string>();
    const create = (self: core.VmId): peering.PeerNode => createNode(self, vm => addresses.get(vm));
    const before = process.memoryUsage().rss;
    const sender = create(core.vmId("sender"));
    const receivers = Array.from({ length: count }, (_, index) => core.vmId(`receiver-${index}`)).map(self => {
        const node = create(self);
        node.registerSlice("membership", async () => ok(new Uint8Array(25)));
        return { self, node };
    });
    for (const { self, node } of receivers) {
        addresses.set(self, (await node.start())._unsafeUnwrap());
        (await sender.call(self, "membership", new Uint8Array(100), timeoutMs))._unsafeUnwrap();
    }
    const after = process.memoryUsage().rss;
    await Promise.all([sender.dispose(), ...receivers.map(({ node }) => node.dispose())]);
    return (after - before) / 1_024 / count;
}
