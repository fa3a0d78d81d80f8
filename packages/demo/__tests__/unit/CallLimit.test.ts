import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createCallLimit } from "../../src/CallLimit.js";

describe("CallLimit", () => {
    it("limits calls in a sliding second, not per clock second", () => {
        let nowMs = 900;
        const limit = createCallLimit(2, () => nowMs);
        assert.deepEqual([limit.tryCall(), limit.tryCall(), limit.tryCall()], [true, true, false]);
        nowMs = 1_899;
        assert.equal(limit.tryCall(), false);
        nowMs = 1_900;
        assert.equal(limit.tryCall(), true);
    });

    it("counts a watch as a call while it waits", () => {
        const limit = createCallLimit(1, () => 0);
        const endWatch = limit.addWaitingWatch();
        assert.equal(limit.tryCall(), false);
        endWatch();
        assert.equal(limit.tryCall(), true);
    });
});
