import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createUnansweredBytes } from "../../src/relay/UnansweredBytes.js";

describe("Unanswered requests", () => {
    it("are held in the memory of their bytes, in whatever parts they arrive", () => {
        const held = createUnansweredBytes();
        const bytes = Buffer.from(Array.from({ length: 100_000 }, (_, index) => index % 251));
        const heapBefore = process.memoryUsage().heapUsed;
        for (let offset = 0, size = 1; offset < bytes.length; offset += size, size = offset % 997 === 0 ? 5_000 : 1) {
            held.add(bytes.subarray(offset, offset + size));
        }
        const heldBytes = process.memoryUsage().heapUsed - heapBefore;
        assert.ok(held.read()?.equals(bytes));
        assert.ok(heldBytes < 5_000_000, `${heldBytes} bytes of objects`);
        held.dropFirst(99_990);
        assert.deepEqual([...held.read() ?? []], [...bytes.subarray(99_990)]);
        held.dropAll();
        held.add(bytes);
        assert.deepEqual([held.length(), held.read()], [0, undefined]);
        held.restart();
        held.add(bytes.subarray(0, 3));
        assert.deepEqual([...held.read() ?? []], [0, 1, 2]);
    });
});
