import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { callerPatienceMs, isReadTooLate } from "../../src/CallerPatience.js";

describe("The patience of callers", () => {
    it("ends for a stream without an event after 2 s, four objectives or eight gaps, whichever is longest", () => {
        const stream = { kind: "stream", objectiveMs: 300, maxEventGapMs: 200 } as const;
        assert.equal(callerPatienceMs(stream), 2_000);
        assert.equal(callerPatienceMs({ ...stream, objectiveMs: 600 }), 2_400);
        assert.equal(callerPatienceMs({ ...stream, maxEventGapMs: 400 }), 3_200);
    });

    it("has no end but the deadline for other requests", () => {
        const read = { kind: "idempotent", objectiveMs: 100, maxEventGapMs: undefined } as const;
        assert.equal(callerPatienceMs(read), Number.POSITIVE_INFINITY);
    });

    it("ends for a request that may be repeated and is not read in 1 s or a third of its time", () => {
        const read = { kind: "idempotent", resumable: false } as const;
        assert.deepEqual([999, 1_000].map(waitedMs => isReadTooLate(read, waitedMs, 5_000)), [false, true]);
        assert.deepEqual([299, 300].map(waitedMs => isReadTooLate(read, waitedMs, 900)), [false, true]);
        assert.deepEqual([999, 1_000].map(waitedMs => isReadTooLate(read, waitedMs, undefined)), [false, true]);
    });

    it("does not end for a request that runs at most once, since its caller cannot send it elsewhere", () => {
        assert.ok(!isReadTooLate({ kind: "non-idempotent", resumable: false }, 5_000, 6_000));
        assert.ok(!isReadTooLate({ kind: "stream", resumable: false }, 5_000, 6_000));
    });
});
