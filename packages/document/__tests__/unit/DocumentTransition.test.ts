import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as document from "../../src/index.js";

type VmInput = document.FleetDocumentInput["vms"][number];

const vmInput = (id: string, changes: Partial<VmInput> = {}): VmInput => ({
    id,
    zone: "a",
    peerAddress: `127.0.0.1:71${id.slice(-2)}`,
    ...changes,
});

const validDocument = (version: number, vms: VmInput[]): document.FleetDocument =>
    document.validateDocument({
        version,
        zones: [{ id: "a", region: "r" }],
        vms,
        customers: [],
        pools: [{
            id: "p",
            kind: "service",
            upstreams: [{ id: "u", zone: "a", url: "http://127.0.0.1:8101", slots: 1, coldSlots: 1 }],
        }],
    })._unsafeUnwrap();

const errorPaths = (before: document.FleetDocument, after: document.FleetDocument): string[] =>
    document.checkTransition(before, after).map(error => error.path);

describe("checkTransition", () => {
    const before = validDocument(5, [vmInput("vm-01"), vmInput("vm-02")]);

    it("accepts an added VM whose joinedVersion is the new version", () => {
        const after = validDocument(6, [vmInput("vm-01"), vmInput("vm-02"), vmInput("vm-03", { joinedVersion: 6 })]);
        assert.deepEqual(errorPaths(before, after), []);
    });

    it("rejects an added VM that could use resources before their previous owners have released them", () => {
        assert.deepEqual(errorPaths(before, validDocument(6, [vmInput("vm-01"), vmInput("vm-02"), vmInput("vm-03")])), [
            "vms[2].joinedVersion",
        ]);
    });

    it("rejects the removal of a VM that is not retired and may still be running", () => {
        assert.deepEqual(errorPaths(before, validDocument(6, [vmInput("vm-01")])), ["vms"]);
        const retired = validDocument(6, [vmInput("vm-01"), vmInput("vm-02", { state: "retired" })]);
        assert.deepEqual(errorPaths(before, retired), []);
        assert.deepEqual(errorPaths(retired, validDocument(7, [vmInput("vm-01")])), []);
    });

    it("rejects a retired VM that returns to service with its old joinedVersion", () => {
        const retired = validDocument(6, [vmInput("vm-01"), vmInput("vm-02", { state: "retired" })]);
        assert.deepEqual(errorPaths(retired, validDocument(7, [vmInput("vm-01"), vmInput("vm-02")])), [
            "vms[1].joinedVersion",
        ]);
    });

    it("rejects a version that is not higher than the published one", () => {
        assert.deepEqual(errorPaths(before, validDocument(5, [vmInput("vm-01"), vmInput("vm-02")])), ["version"]);
    });
});
