import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as core from "../../src/index.js";

describe("mayRetry", () => {
    it("does not retry a non-idempotent request that may have run", () => {
        assert.equal(core.mayRetry("may-have-run", false), false);
        assert.equal(core.mayRetry("ran", true), false);
    });

    it("retries a request that has provably not run", () => {
        assert.equal(core.mayRetry("not-run", false), true);
    });
});
