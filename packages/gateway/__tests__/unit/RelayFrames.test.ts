import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createFrameDecoder, encodeFrameHeader, type RelayFrame } from "../../src/relay/RelayFrames.js";

describe("Frames of the relay", () => {
    const frames = [
        encodeFrameHeader("bytes", 5),
        Buffer.from("first"),
        encodeFrameHeader("answered", 2 ** 40),
        encodeFrameHeader("bytes", 0),
        encodeFrameHeader("last"),
    ];

    it("are decoded alike however they are split", () => {
        const all = Buffer.concat(frames);
        Array.from({ length: all.length }, (_, index) => index + 1).forEach(partBytes => {
            const decoded: RelayFrame[] = [];
            const decode = createFrameDecoder(frame => decoded.push(frame));
            for (let offset = 0; offset < all.length; offset += partBytes) {
                assert.ok(decode(all.subarray(offset, offset + partBytes)));
            }
            const text = decoded.filter(({ kind }) => kind === "bytes").map(({ bytes }) => bytes.toString()).join("");
            assert.equal(text, "first", `parts of ${partBytes} bytes`);
            assert.deepEqual(decoded.filter(({ kind }) => kind !== "bytes").map(({ kind, value }) => [kind, value]), [
                ["answered", 2 ** 40],
                ["last", 0],
            ]);
        });
    });

    it("end with the first bytes that are none", () => {
        const decoded: RelayFrame[] = [];
        const decode = createFrameDecoder(frame => decoded.push(frame));
        assert.ok(!decode(Buffer.from("HTTP/1.1 200 OK\r\n\r\n")));
        assert.ok(!decode(encodeFrameHeader("last")));
        assert.equal(decoded.length, 0);
    });
});
