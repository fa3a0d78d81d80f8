import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as document from "../../src/index.js";

const createValidInput = (): Record<string, unknown[]> & { version: number; } =>
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

type InvalidCase = [title: string, path: string, change: (value: ReturnType<typeof createValidInput>) => void];

const invalidCases: InvalidCase[] = [
    ["unknown customer of a key", "keys[0].customer", value => Object.assign(value["keys"]![0]!, { customer: "x" })],
    ["pool without an upstream", "pools[0].upstreams", value => Object.assign(value["pools"]![0]!, { upstreams: [] })],
    ["duplicate id of a zone", "zones[1].id", value => Object.assign(value["zones"]![1]!, { id: "a" })],
    ["missing burst of a customer", "customers[0].burstCost", value =>
        Object.assign(value["customers"]![0]!, {
            burstCost: undefined,
        })],
    ["unknown zone of a VM", "vms[0].zone", value => Object.assign(value["vms"]![0]!, { zone: "x" })],
    ["unknown pool of a route", "routes[0].pool", value => Object.assign(value["routes"]![0]!, { pool: "x" })],
    ["reserved path", "routes[0].path", value => Object.assign(value["routes"]![0]!, { path: "/v1/models" })],
    [
        "joinedVersion higher than the document's version",
        "vms[0].joinedVersion",
        value =>
            Object.assign(value["vms"]![0]!, {
                joinedVersion: 9,
            }),
    ],
    ["misspelt field", "customers[0]", value => Object.assign(value["customers"]![0]!, { burts: 9 })],
    ["negative rate", "customers[0].rateCostPerS", value =>
        Object.assign(value["customers"]![0]!, {
            rateCostPerS: -1,
        })],
];

describe("DocumentValidator", () => {
    it("accepts a valid document and fills in defaults", () => {
        const parsed = document.parseDocument(JSON.stringify(createValidInput()));
        assert.equal(parsed.isOk() && parsed.value.fleet.bucketsPerCustomer, 4);
    });

    describe("rejects, with the path of the field,", () => {
        invalidCases.forEach(([title, path, change]) =>
            it(title, () => {
                const value = createValidInput();
                change(value);
                const errors = document.validateDocument(value).match(() => [], found => [...found]);
                assert.deepEqual(errors.map(error => error.path), [path]);
            })
        );
    });

    it("rejects a document above the size limit", () => {
        const errors = document.parseDocument("x".repeat(document.maxDocumentBytes + 1));
        assert.ok(errors.isErr());
    });
});

describe("DocumentDiff", () => {
    it("lists changed fields and redacts key hashes", () => {
        const before = document.validateDocument(createValidInput())._unsafeUnwrap();
        const value = createValidInput();
        Object.assign(value["keys"]![0]!, { sha256: "1".repeat(64) });
        Object.assign(value["customers"]![0]!, { burstCost: 30 });
        const after = document.validateDocument(value)._unsafeUnwrap();
        assert.deepEqual(document.diffDocuments(before, after).map(document.describeChange), [
            "customers north: burstCost 20 -> 30",
            "keys k1: sha256 \"(hidden)\" -> \"(hidden)\"",
        ]);
    });
});
