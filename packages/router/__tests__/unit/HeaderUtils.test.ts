import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as headers from "../../src/HeaderUtils.js";

describe("HeaderUtils", () => {
    it("lets nothing that can carry the caller's key reach an upstream", () => {
        const names = ["Authorization", "X-Api-Key", "COOKIE", "Proxy-Authorization", "Operation-Ticket"];
        assert.deepEqual(headers.headersForUpstream(names.map(name => [name, "secret"])), []);
    });

    it("drops hop-by-hop headers and those that Connection names", () => {
        const list = [["Connection", "close, X-Hop"], ["x-hop", "1"], ["TE", "trailers"], ["x-kept", "1"]] as const;
        assert.deepEqual(headers.headersForUpstream(list), [["x-kept", "1"]]);
        assert.deepEqual(headers.headersForCaller(list), [["x-kept", "1"]]);
    });

    it("does not let an upstream speak for the router", () => {
        const list = [["x-peridotloft-verdict", "not-run"], ["x-request-id", "1"], ["x-not-run", "1"]] as const;
        assert.deepEqual(headers.headersForCaller(list), []);
    });

    it("keeps repeated headers", () => {
        const grouped = headers.groupHeaders([["Set-Cookie", "a"], ["set-cookie", "b"], ["x", "c"]]);
        assert.deepEqual(grouped, { "set-cookie": ["a", "b"], "x": "c" });
    });
});
