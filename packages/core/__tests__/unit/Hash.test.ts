import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { hash32, hash32Bytes } from "../../src/Hash.js";

describe("Hash", () => {
    it("is the same for bytes as for the text of their characters, on VMs of other builds too", () => {
        const bytes = Buffer.from(Array.from({ length: 1_000 }, (_, index) => index % 256));
        assert.equal(hash32Bytes("path ", bytes), hash32(`path ${bytes.toString("latin1")}`));
        assert.equal(hash32Bytes("path ", Buffer.alloc(0)), hash32("path "));
    });
});
