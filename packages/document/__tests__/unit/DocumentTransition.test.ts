import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as document from "../../src/index.js";

type VmInput = document.FleetDocumentInput["vms"][number];

const vm = (id: string, changes: Partial<VmInput> = {}): VmInput => ({
    id,
    zone: "a",
    peerAddress: `127.0.0.1:71${id.slice(-2)}`,
    ...changes,
});

const published = (version: number, vms: VmInput[]): document.FleetDocument =>
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

const pathsOf = (before: document.FleetDocument, after: document.FleetDocument): string[] =>
    document.checkTransition(before, after).map(error => error.path);

describe("checkTransition", () => {
    const before = published(5, [vm("vm-01"), vm("vm-02")]);

    it("accepts a VM that joins with the new version", () => {
        const after = published(6, [vm("vm-01"), vm("vm-02"), vm("vm-03", { joinedVersion: 6 })]);
        assert.deepEqual(pathsOf(before, after), []);
    });

    it("refuses an added VM that would act before the previous owners have stopped", () => {
        assert.deepEqual(pathsOf(before, published(6, [vm("vm-01"), vm("vm-02"), vm("vm-03")])), [
            "vms[2].joinedVersion",
        ]);
    });

    it("refuses to leave out a VM that may still be running", () => {
        assert.deepEqual(pathsOf(before, published(6, [vm("vm-01")])), ["vms"]);
        const retired = published(6, [vm("vm-01"), vm("vm-02", { state: "retired" })]);
        assert.deepEqual(pathsOf(before, retired), []);
        assert.deepEqual(pathsOf(retired, published(7, [vm("vm-01")])), []);
    });

    it("refuses a retired VM that returns with its old joinedVersion", () => {
        const retired = published(6, [vm("vm-01"), vm("vm-02", { state: "retired" })]);
        assert.deepEqual(pathsOf(retired, published(7, [vm("vm-01"), vm("vm-02")])), ["vms[1].joinedVersion"]);
    });

    it("refuses a version that does not grow", () => {
        assert.deepEqual(pathsOf(before, published(5, [vm("vm-01"), vm("vm-02")])), ["version"]);
    });
});
