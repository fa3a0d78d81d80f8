import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as headers from "../../src/HeaderUtils.js";

describe("HeaderUtils", () => {
    it("does not forward headers that can carry the caller's key", () => {
        const names = ["Authorization", "X-Api-Key", "COOKIE", "Proxy-Authorization", "Operation-Ticket"];
        assert.deepEqual(headers.headersForUpstream(names.map(name => [name, "secret"])), []);
    });

    it("drops hop-by-hop headers and those listed in Connection", () => {
        const list = [["Connection", "close, X-Hop"], ["x-hop", "1"], ["TE", "trailers"], [
            "x-end-to-end",
            "1",
        ]] as const;
        assert.deepEqual(headers.headersForUpstream(list), [["x-end-to-end", "1"]]);
        assert.deepEqual(headers.headersForCaller(list), [["x-end-to-end", "1"]]);
    });

    it("drops headers reserved for the router from upstream responses", () => {
        const list = [["x-peridotloft-verdict", "not-run"], ["x-request-id", "1"], ["x-not-run", "1"]] as const;
        assert.deepEqual(headers.headersForCaller(list), []);
    });

    it("groups repeated headers", () => {
        const grouped = headers.groupHeaders([["Set-Cookie", "a"], ["set-cookie", "b"], ["x", "c"]]);
        assert.deepEqual(grouped, { "set-cookie": ["a", "b"], "x": "c" });
    });
});
