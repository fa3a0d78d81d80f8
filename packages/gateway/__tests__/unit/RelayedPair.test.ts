import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { once } from "node:events";
import * as net from "node:net";
import { after, afterEach, before, describe, it } from "node:test";
import * as timers from "node:timers/promises";
import { joinConnections, type RelayedPair, type ReturnedConnection } from "../../src/relay/RelayedPair.js";
import { type FramedConnection, frameWrites } from "../../src/relay/RelayFrames.js";
import { createRelayReturns } from "../../src/relay/RelayReturns.js";
import { connectPair } from "./SocketPair.js";

describe("A relayed connection whose serving VM", { timeout: 10_000 }, () => {
    const clock = testing.createVirtualClock();
    const server = net.createServer({ allowHalfOpen: true });
    const request = "GET / HTTP/1.1\r\n\r\n";
    let sockets: net.Socket[] = [];
    let returned: ReturnedConnection | undefined;
    let received = "";
    let isReset = false;
    let pair: RelayedPair;
    let caller: net.Socket;
    let serving: net.Socket;
    let frames: FramedConnection;

    async function open(): Promise<void> {
        let callerEnd: net.Socket;
        let peerEnd: net.Socket;
        [caller, callerEnd] = await connectPair(server);
        [serving, peerEnd] = await connectPair(server);
        sockets.push(caller, callerEnd, serving, peerEnd);
        returned = undefined;
        received = "";
        isReset = false;
        caller.on("data", (bytes: Buffer) => received += bytes.toString());
        caller.on("error", () => isReset = true);
        serving.on("error", () => undefined).resume();
        frames = frameWrites(serving);
        pair = joinConnections({
            caller: callerEnd,
            peer: peerEnd,
            clock,
            onHeld: () => undefined,
            onPeerBytes: () => undefined,
            onAnswered: () => undefined,
            onReturned: connection => returned = connection,
            onEnded: () => undefined,
        });
    }

    const send = async (text: string): Promise<void> => {
        caller.write(text);
        await timers.setTimeout(30);
    };
    /** Ends the connection between the VMs as the end of a process does. */
    const lose = async (): Promise<void> => {
        serving.resetAndDestroy();
        await timers.setTimeout(30);
    };
    const answer = async (): Promise<void> => {
        serving.write("response");
        frames.send("answered", serving.bytesRead);
        await timers.setTimeout(30);
    };

    before(async () => {
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
    });
    afterEach(() => {
        sockets.forEach(socket => socket.destroy());
        sockets = [];
    });
    after(() => server.close());

    it("is lost returns requests without a response, which may have run", async () => {
        await open();
        await send(request);
        await answer();
        await send(request.slice(0, 5));
        await send(request.slice(5));
        await lose();
        assert.equal(received, "response");
        assert.deepEqual([returned?.unansweredBytes.toString(), returned?.mayHaveRun], [request, true]);
        assert.deepEqual([isReset, pair.outcome()], [false, "returned"]);
    });

    it("releases it returns what crossed the release, which has not run", async () => {
        await open();
        await send(request);
        await answer();
        serving.pause();
        caller.write(request);
        frames.send("released", serving.bytesRead);
        await timers.setTimeout(30);
        assert.deepEqual([returned?.unansweredBytes.toString(), returned?.mayHaveRun], [request, false]);
    });

    [true, false].forEach(hasReset =>
        it(`is lost in the middle of a response resets it (${hasReset ? "reset" : "closed"})`, async () => {
            await open();
            await send(request);
            serving.write("resp");
            await timers.setTimeout(30);
            // The kernel closes the connections of a process that is killed in an orderly way if it has read all.
            (hasReset ? () => serving.resetAndDestroy() : () => serving.destroy())();
            await timers.setTimeout(30);
            assert.deepEqual([received, isReset, returned], ["resp", true, undefined]);
        })
    );

    it("is lost returns a request that was sent before its answer to an earlier one arrived", async () => {
        await open();
        caller.write(request);
        await send(request.slice(0, 5));
        serving.write("response");
        frames.send("answered", request.length);
        await timers.setTimeout(30);
        await send(request.slice(5));
        await lose();
        assert.deepEqual([returned?.unansweredBytes.toString(), returned?.mayHaveRun], [request, true]);
    });

    [0, 2].forEach(factor =>
        it(`states ${factor} times what it was sent as answered gets no request returned`, async () => {
            await open();
            await send(request);
            await answer();
            await send(request);
            frames.send("answered", factor * 2 * request.length);
            await timers.setTimeout(30);
            assert.equal(returned, undefined);
            assert.match(received, /^responseHTTP\/1\.1 502 /);
        })
    );

    it("is lost returns no rest of a body whose response was the last one", async () => {
        await open();
        await send(request);
        serving.write("response");
        serving.end();
        await send("rest of a body");
        await lose();
        assert.equal(returned, undefined);
        assert.equal(received, "response");
    });

    it("is lost has a bounded number of requests run again, and more after responses", async () => {
        const asked: boolean[] = [];
        const returns = createRelayReturns({ clock, serve: (_, { tryRunAgain }) => asked.push(tryRunAgain()) });
        const takeBack = (): void =>
            returns.takeBack({
                caller: new net.Socket(),
                unansweredBytes: Buffer.from(request),
                mayHaveRun: true,
                waitedMs: 0,
            });
        Array.from({ length: 10 }, takeBack);
        assert.equal(asked.filter(mayRun => mayRun).length, 8);
        Array.from({ length: 25 }, returns.recordAnswered);
        Array.from({ length: 10 }, takeBack);
        assert.equal(asked.filter(mayRun => mayRun).length, 10);
    });

    it("is lost answers requests with a 502 whose bytes are not held any more", async () => {
        await open();
        await send(request);
        pair.dropUnanswered();
        await lose();
        assert.equal(returned, undefined);
        assert.match(received, /^HTTP\/1\.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n$/);
    });
});
