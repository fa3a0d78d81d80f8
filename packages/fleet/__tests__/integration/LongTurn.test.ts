import * as core from "@peridotloft/core";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import * as dgram from "node:dgram";
import { once } from "node:events";
import { describe, it } from "node:test";
import * as timers from "node:timers/promises";
import * as fleet from "../../src/index.js";

const addresses = ["127.0.0.1", "127.0.0.2"] as const;
const question = {
    sharedParts: [],
    ownTokens: 0,
    longestWaitMs: 300,
    maxSlotShare: 1,
    runMs: 400,
    isSpillover: false,
    statedLimit: undefined,
    learnedRate: undefined,
};
const answer: fleet.TrackerAnswer = {
    granted: true,
    ejected: false,
    limited: false,
    statedLimit: undefined,
    learnedRate: undefined,
    otherQueues: [],
    unreadTokens: 0,
    newTokens: 0,
    running: 0,
    slowness: 1,
    ticket: 1,
};

async function freePort(): Promise<number> {
    const socket = dgram.createSocket("udp4").bind(0, addresses[0]);
    await once(socket, "listening");
    const { port } = socket.address();
    socket.close();
    return port;
}

describe("Answers of trackers", { timeout: 10_000 }, () => {
    it("that arrive in a long turn of the event loop are used, and their senders are not skipped", async () => {
        const port = await freePort();
        const log = testing.createRecordingLog();
        const [asking, tracking] = await Promise.all(addresses.map(async address => {
            const socket = fleet.createDatagramSocket(address, port);
            (await socket.bind())._unsafeUnwrap();
            const node = fleet.createFleetNode({
                address,
                zone: core.zoneId("z1"),
                seeds: addresses,
                incarnation: 1n,
                socket,
                clock: core.createSteadyClock(),
                random: testing.createSeededRandom(1),
                log,
                metrics: testing.createNoopMetrics(),
            });
            node.start();
            return node;
        })) as [fleet.FleetNode, fleet.FleetNode];
        let answered = 0;
        tracking.registerTracker({
            answer() {
                if (answered++ === 0) {
                    setImmediate(() => {
                        const endMs = performance.now() + 100;
                        while (performance.now() < endMs) {}
                    });
                }
                return answer;
            },
            recordReport: () => undefined,
            recordLimit: () => undefined,
        });
        while (asking.peers().length === 0) {
            await timers.setTimeout(20);
        }
        await timers.setTimeout(600);
        const replies = await Promise.all(
            Array.from({ length: 8 }, (_, upstreamHash) => asking.askTracker({ ...question, upstreamHash })),
        );
        [asking, tracking].forEach(node => node.dispose());
        assert.ok(answered > 0);
        assert.equal(replies.filter(reply => reply !== undefined).length, answered);
        assert.equal(log.count("tracker-silent"), 0);
    });
});
