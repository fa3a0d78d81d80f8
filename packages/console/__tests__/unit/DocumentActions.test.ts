import type * as documents from "@peridotloft/document";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as consoles from "../../src/index.js";

const draft = (): documents.FleetDocumentInput => ({
    version: 3,
    zones: [{ id: "a", region: "r" }, { id: "b", region: "r" }],
    vms: [{ id: "vm-1", zone: "a", peerAddress: "127.0.0.1:7101" }],
    customers: [{ id: "north", rateCostPerS: 10, burstCost: 20 }],
    pools: [{
        id: "assistant",
        kind: "engine",
        models: ["m1"],
        upstreams: [{ id: "e1", zone: "a", url: "http://127.0.0.1:8101", slots: 8, coldSlots: 1 }],
    }],
});

const next = (): documents.FleetDocumentInput => ({ ...draft(), version: 4 });

describe("applyAction", () => {
    it("takes an availability zone out and returns it without touching another", () => {
        const out = consoles.applyAction(next(), { kind: "set-zone-state", zone: "a", state: "out" })._unsafeUnwrap();
        assert.deepEqual(out.zones.map(zone => zone.state), ["out", undefined]);
        const back = consoles.applyAction(out, { kind: "set-zone-state", zone: "a", state: "in-service" });
        assert.deepEqual(consoles.reviewDraft(back._unsafeUnwrap(), draft()).changes, []);
    });

    it("refuses to change an availability zone that does not exist", () => {
        const result = consoles.applyAction(next(), { kind: "set-zone-state", zone: "x", state: "out" });
        assert.equal(result._unsafeUnwrapErr().path, "zones");
    });

    it("leaves the draft unchanged, so that an action that fails loses nothing", () => {
        const before = next();
        consoles.applyAction(before, { kind: "add-key", id: "k1", customer: "north", sha256: "0".repeat(64) });
        assert.deepEqual(before, next());
    });
});

describe("reviewDraft", () => {
    it("says the change in words", () => {
        const out = consoles.applyAction(next(), { kind: "set-zone-state", zone: "a", state: "out" })._unsafeUnwrap();
        assert.deepEqual(consoles.reviewDraft(out, draft()).changes, [
            "zones a: state \"in-service\" -> \"out\"",
        ]);
    });

    it("refuses a version that does not grow, which every router would ignore", () => {
        assert.deepEqual(consoles.reviewDraft(draft(), draft()).errors.map(error => error.path), ["version"]);
    });

    it("shows each of ten planted faults at its path", () => {
        const faulty = {
            version: 0,
            fleet: { loanLifetimeMs: 1 },
            zones: [{ id: "A!", region: "" }],
            vms: [{ id: "vm-1", zone: "a", peerAddress: "here", state: "gone" }],
            customers: [{ id: "north", weight: 0, rateCostPerS: -1 }],
            pools: [{ id: "assistant", kind: "engine", upstreams: [] }],
        };
        const paths = consoles.reviewDraft(faulty, draft()).errors.map(error => error.path).sort();
        assert.deepEqual(paths, [
            "customers[0].burstCost",
            "customers[0].rateCostPerS",
            "customers[0].weight",
            "fleet.loanLifetimeMs",
            "pools[0].upstreams",
            "version",
            "vms[0].peerAddress",
            "vms[0].state",
            "zones[0].id",
            "zones[0].region",
        ]);
    });
});
