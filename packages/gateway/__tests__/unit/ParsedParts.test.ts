import * as assert from "node:assert/strict";
import type * as net from "node:net";
import * as stream from "node:stream";
import { beforeEach, describe, it } from "node:test";
import { parseInParts } from "../../src/ParsedParts.js";

const bytes = Buffer.from(Array.from({ length: 10_000 }, (_, index) => index % 251));

describe("parseInParts", () => {
    let socket: stream.Duplex;
    let parsed: Buffer[];
    let onParsed: () => void;
    let discards: boolean;
    beforeEach(() => {
        parsed = [];
        discards = false;
        onParsed = () => undefined;
        socket = new stream.Duplex({ read: () => undefined });
        socket.on("data", (part: Buffer) => {
            parsed.push(part);
            onParsed();
        });
        parseInParts(socket as net.Socket, () => discards);
    });

    const nextTurn = (): Promise<unknown> => new Promise(resolve => setImmediate(resolve));

    it("passes on all bytes, small parts first", async () => {
        socket.push(bytes);
        await nextTurn();
        assert.deepEqual(parsed.map(({ length }) => length), [1_024, 2_048, 4_096, 2_832]);
        assert.deepEqual(Buffer.concat(parsed), bytes);
    });

    it("keeps the rest, in front of what arrives meanwhile, while the connection is paused", async () => {
        onParsed = () => socket.pause();
        socket.push(bytes);
        await nextTurn();
        socket.push(Buffer.from("later"));
        await nextTurn();
        assert.deepEqual(parsed.map(({ length }) => length), [1_024]);
        onParsed = () => undefined;
        socket.resume();
        await nextTurn();
        assert.deepEqual(Buffer.concat(parsed), Buffer.concat([bytes, Buffer.from("later")]));
    });

    it("does not parse what is to be discarded, in the same read, after a pause or later", async () => {
        onParsed = () => {
            discards = true;
            socket.pause();
        };
        socket.push(bytes);
        await nextTurn();
        socket.resume();
        socket.push(Buffer.from("later"));
        await nextTurn();
        assert.deepEqual(parsed.map(({ length }) => length), [1_024]);
        assert.equal(socket.readableLength, 0);
    });

    it("drops the rest once the connection is closed", async () => {
        onParsed = () => socket.destroy();
        socket.push(bytes);
        await nextTurn();
        assert.equal(parsed.length, 1);
    });

    it("drops the rest once the connection is read by another listener", async () => {
        onParsed = () => void socket.removeAllListeners("data").on("data", () => undefined);
        socket.push(bytes);
        await nextTurn();
        assert.equal(parsed.length, 1);
    });
});
