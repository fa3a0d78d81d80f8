import * as core from "@peridotloft/core";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as catalog from "../../src/index.js";

const route = (id: string, host: string, pathPrefix: string): catalog.Route => ({
    id: core.routeId(id),
    host,
    pathPrefix,
    kind: "idempotent",
    targets: [],
    timeoutMs: 1_000,
    objectiveMs: 100,
    priority: 0,
    maxAttempts: 1,
    open: false,
    resumable: false,
    maxEventGapMs: undefined,
});

describe("RouteTable", () => {
    const table = catalog.createRouteTable([
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/"),
    ]);

    it("selects the longest matching prefix of the host", () => {
        assert.equal(table.find("a.example", "/x/y/z")?.id, "long");
        assert.equal(table.find("a.example", "/x/z")?.id, "short");
        assert.equal(table.find("b.example", "/x/y/z")?.id, "other");
    });

    it("ignores the port and the case of the host", () => {
        assert.equal(table.find("A.Example:8080", "/x/")?.id, "short");
    });

    it("finds no route for another host, or for a path that matches only part of the prefix", () => {
        assert.equal(table.find("c.example", "/x/"), undefined);
        assert.equal(table.find("a.example", "/xy"), undefined);
    });
});
