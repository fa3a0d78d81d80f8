import * as assert from "node:assert/strict";
import * as net from "node:net";
import { beforeEach, describe, it } from "node:test";
import { CoalescedMessage } from "../../src/CoalescedMessage.js";

describe("CoalescedMessage", () => {
    let message: CoalescedMessage;
    beforeEach(() => message = new CoalescedMessage(new net.Socket()));

    const nextTurn = (): Promise<unknown> => new Promise(resolve => setImmediate(resolve));

    /** Begins to read; returns the parts as they arrive. */
    function readParts(): readonly Buffer[] {
        const parts: Buffer[] = [];
        message.on("data", (part: Buffer) => parts.push(part));
        return parts;
    }

    const textOf = (parts: readonly Buffer[]): string => Buffer.concat(parts).toString();

    it("joins parts of a byte that wait to be read, so that they hold little more than their size", async () => {
        const text = Array.from({ length: 20_000 }, (_, index) => String(index % 10)).join("");
        [...text].forEach(byte => message.push(Buffer.from(byte)));
        const parts = readParts();
        await nextTurn();
        assert.equal(textOf(parts), text);
        assert.ok(parts.length < 10, `${parts.length} parts`);
    });

    it("keeps the order of small and large parts", async () => {
        const parts = ["a", "b", "c".repeat(5_000), "d", "e".repeat(900), "f".repeat(900), "g"];
        parts.forEach(part => message.push(Buffer.from(part)));
        const read = readParts();
        await nextTurn();
        assert.equal(textOf(read), parts.join(""));
    });

    it("reports that it is full for joined parts as for others", () => {
        const isAccepted = Array.from({ length: message.readableHighWaterMark }, () => message.push(Buffer.from("a")));
        assert.deepEqual([isAccepted[0], isAccepted.at(-1)], [true, false]);
    });

    it("passes on what arrives while it is read", async () => {
        const read = readParts();
        for (const part of ["a", "b", "c"]) {
            message.push(Buffer.from(part));
            message.push(Buffer.from(part));
            await nextTurn();
        }
        assert.equal(textOf(read), "aabbcc");
    });
});
