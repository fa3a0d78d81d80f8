import type * as documents from "@peridotloft/document";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as consoles from "../../src/index.js";

const loadedDocument = (): documents.FleetDocumentInput => ({
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

const nextDraft = (): documents.FleetDocumentInput => ({ ...loadedDocument(), version: 4 });

describe("applyAction", () => {
    it("takes an availability zone out of service and returns it without changing another", () => {
        const out = consoles.applyAction(nextDraft(), { kind: "set-zone-state", zone: "a", state: "out" })
            ._unsafeUnwrap();
        assert.deepEqual(out.zones.map(zone => zone.state), ["out", undefined]);
        const back = consoles.applyAction(out, { kind: "set-zone-state", zone: "a", state: "in-service" });
        assert.deepEqual(consoles.reviewDraft(back._unsafeUnwrap(), loadedDocument()).changes, []);
    });

    it("rejects a change of an availability zone that does not exist", () => {
        const result = consoles.applyAction(nextDraft(), { kind: "set-zone-state", zone: "x", state: "out" });
        assert.equal(result._unsafeUnwrapErr().path, "zones");
    });

    it("does not modify the given draft, so that a failed action loses no changes", () => {
        const before = nextDraft();
        consoles.applyAction(before, { kind: "add-key", id: "k1", customer: "north", sha256: "0".repeat(64) });
        assert.deepEqual(before, nextDraft());
    });
});

describe("reviewDraft", () => {
    it("lists changes as text", () => {
        const out = consoles.applyAction(nextDraft(), { kind: "set-zone-state", zone: "a", state: "out" })
            ._unsafeUnwrap();
        assert.deepEqual(consoles.reviewDraft(out, loadedDocument()).changes, [
            "zones a: state \"in-service\" -> \"out\"",
        ]);
    });

    it("rejects a version that is not higher than the loaded one, because routers ignore it", () => {
        assert.deepEqual(consoles.reviewDraft(loadedDocument(), loadedDocument()).errors.map(error => error.path), [
            "version",
        ]);
    });

    it("reports each of ten validation errors with its path", () => {
        const invalidDraft = {
            version: 0,
            fleet: { loanLifetimeMs: 1 },
            zones: [{ id: "A!", region: "" }],
            vms: [{ id: "vm-1", zone: "a", peerAddress: "here", state: "gone" }],
            customers: [{ id: "north", weight: 0, rateCostPerS: -1 }],
            pools: [{ id: "assistant", kind: "engine", upstreams: [] }],
        };
        const paths = consoles.reviewDraft(invalidDraft, loadedDocument()).errors.map(error => error.path).sort();
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
