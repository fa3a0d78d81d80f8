import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as document from "../../src/index.js";

const valid = (): Record<string, unknown[]> & { version: number; } =>
    JSON.parse(JSON.stringify({
        version: 3,
        zones: [{ id: "a", region: "r" }, { id: "b", region: "r" }],
        vms: [{ id: "vm-1", zone: "a", peerAddress: "127.0.0.1:7101" }],
        customers: [{ id: "north", rateCostPerS: 10, burstCost: 20 }],
        keys: [{ id: "k1", customer: "north", sha256: "0".repeat(64) }],
        pools: [{
            id: "assistant",
            kind: "engine",
            models: ["m1"],
            upstreams: [{ id: "e1", zone: "a", url: "http://127.0.0.1:8101", slots: 8, coldSlots: 1 }],
        }],
        routes: [{ id: "holds", method: "POST", path: "/holds", pool: "assistant", idempotent: false }],
    }));

type Plant = [fault: string, path: string, change: (value: ReturnType<typeof valid>) => void];

const faults: Plant[] = [
    ["unknown customer of a key", "keys[0].customer", value => Object.assign(value["keys"]![0]!, { customer: "x" })],
    ["pool without an upstream", "pools[0].upstreams", value => Object.assign(value["pools"]![0]!, { upstreams: [] })],
    ["zone named twice", "zones[1].id", value => Object.assign(value["zones"]![1]!, { id: "a" })],
    ["rate without a burst", "customers[0].burstCost", value =>
        Object.assign(value["customers"]![0]!, {
            burstCost: undefined,
        })],
    ["unknown zone of a VM", "vms[0].zone", value => Object.assign(value["vms"]![0]!, { zone: "x" })],
    ["unknown pool of a route", "routes[0].pool", value => Object.assign(value["routes"]![0]!, { pool: "x" })],
    ["reserved path", "routes[0].path", value => Object.assign(value["routes"]![0]!, { path: "/v1/models" })],
    ["VM that joins in the future", "vms[0].joinedVersion", value =>
        Object.assign(value["vms"]![0]!, {
            joinedVersion: 9,
        })],
    ["misspelt field", "customers[0]", value => Object.assign(value["customers"]![0]!, { burts: 9 })],
    ["negative rate", "customers[0].rateCostPerS", value =>
        Object.assign(value["customers"]![0]!, {
            rateCostPerS: -1,
        })],
];

describe("DocumentValidator", () => {
    it("accepts a valid document and fills in defaults", () => {
        const parsed = document.parseDocument(JSON.stringify(valid()));
        assert.equal(parsed.isOk() && parsed.value.fleet.bucketsPerCustomer, 4);
    });

    describe("refuses, with the path of the field,", () => {
        faults.forEach(([fault, path, change]) =>
            it(fault, () => {
                const value = valid();
                change(value);
                const errors = document.validateDocument(value).match(() => [], found => [...found]);
                assert.deepEqual(errors.map(error => error.path), [path]);
            })
        );
    });

    it("refuses a document above the size limit without parsing it", () => {
        const errors = document.parseDocument("x".repeat(document.maxDocumentBytes + 1));
        assert.ok(errors.isErr());
    });
});

describe("DocumentDiff", () => {
    it("names changed fields and hides key hashes", () => {
        const before = document.validateDocument(valid())._unsafeUnwrap();
        const value = valid();
        Object.assign(value["keys"]![0]!, { sha256: "1".repeat(64) });
        Object.assign(value["customers"]![0]!, { burstCost: 30 });
        const after = document.validateDocument(value)._unsafeUnwrap();
        assert.deepEqual(document.diffDocuments(before, after).map(document.describeChange), [
            "customers north: burstCost 20 -> 30",
            "keys k1: sha256 \"(hidden)\" -> \"(hidden)\"",
        ]);
    });
});
