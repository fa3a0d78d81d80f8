import * as documents from "@peridotloft/document";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as keys from "../../src/index.js";

function documentWith(sha256: string): documents.FleetDocument {
    return documents.validateDocument({
        version: 1,
        zones: [{ id: "a", region: "r" }],
        vms: [{ id: "vm-1", zone: "a", peerAddress: "127.0.0.1:7101" }],
        customers: [{ id: "north", rateCostPerS: 10, burstCost: 20 }],
        keys: [{ id: "k1", customer: "north", sha256 }],
        pools: [{
            id: "assistant",
            kind: "engine",
            upstreams: [{ id: "e1", zone: "a", url: "http://127.0.0.1:8101", slots: 1, coldSlots: 1 }],
        }],
    })._unsafeUnwrap();
}

describe("KeyIndex", () => {
    it("finds the entry of a key and nothing for an unknown key", () => {
        const apiKey = keys.generateKey();
        const index = keys.createKeyIndex(documentWith(keys.hashKey(apiKey)));
        assert.equal(index.find(apiKey)?.customer, "north");
        assert.equal(index.find(`${apiKey}x`), undefined);
        assert.equal(index.find(""), undefined);
    });

    it("does not accept a hash as a key (guards against use of the hashes that operators can read in the document)", () => {
        const hash = keys.hashKey("secret");
        assert.equal(keys.createKeyIndex(documentWith(hash)).find(hash), undefined);
    });

    it("generates a different key on each call", () => {
        assert.notEqual(keys.generateKey(), keys.generateKey());
    });
});
