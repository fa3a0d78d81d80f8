import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEventScanner } from "../../src/EventScanner.js";
import * as constants from "../../src/RouterConstants.js";

const stream = Buffer.from(
    "data: {\"n\":1}\n\ndata: {\"n\":2,\"usage\":{\"total_tokens\":42}}\r\n\r\n: comment\n\ndata: [DONE]\n\n",
);

describe("EventScanner", () => {
    it("recognises events, usage and [DONE] regardless of chunk boundaries", () => {
        Array.from(stream).forEach((_, cut) => {
            const scanner = createEventScanner();
            const parts = [stream.subarray(0, cut), stream.subarray(cut)].map(part =>
                scanner.push(part)._unsafeUnwrap()
            );
            assert.equal(Buffer.concat(parts).toString(), stream.toString());
            assert.deepEqual([scanner.eventCount, scanner.totalTokens, scanner.isComplete()], [2, 42, true]);
        });
    });

    it("is not complete without [DONE], or with an incomplete event after it", () => {
        const scanner = createEventScanner();
        scanner.push(Buffer.from("data: {\"n\":1}\n\n"));
        assert.equal(scanner.isComplete(), false);
        scanner.push(Buffer.from("data: [DONE]\n\ndata: {"));
        assert.equal(scanner.isComplete(), false);
    });

    it("returns complete events only, so that an error event can follow", () => {
        const passed = createEventScanner().push(Buffer.from("data: 1\n\ndata: {\"cut"))._unsafeUnwrap();
        assert.equal(passed.toString(), "data: 1\n\n");
    });

    it("does not take [DONE] inside generated text for the end of the stream", () => {
        const scanner = createEventScanner();
        scanner.push(Buffer.from("data: {\"content\":\"data: [DONE]\"}\n\n"));
        assert.equal(scanner.isComplete(), false);
    });

    it("refuses an unterminated event that exceeds the size limit", () => {
        assert.ok(createEventScanner().push(Buffer.alloc(constants.maxEventBytes + 1, "x")).isErr());
    });
});
