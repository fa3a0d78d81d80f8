import * as core from "@peridotloft/core";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { lastPosition, positionOf, splitBroadcast } from "../../src/BroadcastTree.js";
import type { UsageAmount } from "../../src/UsageMessages.js";
import { createUsageReports, createUsageTables } from "../../src/UsageTables.js";

const amountOf = (begunTokens: number): UsageAmount => ({ customerHash: 1, begunTokens, refusedTokens: 0 });
const reportOf = (number: number, begunTokens: number, incarnation = 1n) => ({
    incarnation,
    number,
    amounts: [amountOf(begunTokens)],
});
const tableOf = (collectorHash: number, version: number, begunTokens: number, incarnation = 1n) => ({
    collectorHash,
    incarnation,
    version,
    atMs: 400 * version,
    reporters: 2,
    amounts: [amountOf(begunTokens)],
});

describe("UsageReports", () => {
    it("counts each VM once, although its reports arrive repeatedly, late, or from an earlier run", () => {
        const reports = createUsageReports();
        reports.record("a", reportOf(2, 100), 0);
        reports.record("a", reportOf(1, 900), 0);
        reports.record("a", reportOf(2, 100), 0);
        reports.record("b", reportOf(1, 10, 2n), 0);
        reports.record("b", reportOf(7, 700, 1n), 0);
        assert.deepEqual(reports.sum(5, 0), [amountOf(110)]);
    });

    it("lets the usage of a VM that reports no more decay, so that a lost VM does not hold its customers back", () => {
        const reports = createUsageReports();
        reports.record("a", reportOf(1, 1_000), 0);
        assert.equal(reports.sum(5, 1_200)[0]?.begunTokens, 1_000);
        assert.ok(reports.sum(5, 5_200)[0]!.begunTokens < 400);
        assert.deepEqual(reports.sum(5, 12_000), []);
    });
});

describe("UsageTables", () => {
    it("believes the largest of the tables of two collectors, each of which lacks reports", () => {
        const tables = createUsageTables();
        assert.ok(tables.record(tableOf(1, 1, 300)));
        assert.ok(tables.record(tableOf(2, 1, 500)));
        assert.equal(tables.largest(400).get(1)?.begunTokens, 500);
    });

    it("keeps the last table of a collector's earlier run, since the first ones of the next run lack reports", () => {
        const tables = createUsageTables();
        tables.record(tableOf(1, 9, 500));
        assert.ok(tables.record(tableOf(1, 10, 20, 2n)));
        assert.ok(!tables.record(tableOf(1, 11, 500)));
        assert.equal(tables.largest(4_000).get(1)?.begunTokens, 500);
    });

    it("projects usage that rises, so that a table that is late does not make a customer look light", () => {
        const tables = createUsageTables();
        const sumAt = (ms: number): number => 1_000 * (1 - Math.exp(-ms / 4_000));
        [4, 5].forEach(version => tables.record(tableOf(1, version, sumAt(400 * version))));
        const believed = tables.largest(3_000).get(1)!.begunTokens;
        assert.ok(Math.abs(believed / sumAt(3_000) - 1) < 0.01, `${believed} of ${sumAt(3_000)}`);
    });
});

describe("BroadcastTree", () => {
    it("reaches each VM once, also those that the origin does not know", () => {
        const addresses = Array.from({ length: 78 }, (_, index) => `10.0.0.${index}`);
        const received: string[] = [];
        const pass = (known: readonly string[], after: number, until: number, branches: number): void =>
            splitBroadcast(known, 5, after, until, branches).forEach(branch => {
                received.push(branch.address);
                pass(addresses, positionOf(core.hash32(branch.address), 5), branch.until, 4);
            });
        pass(addresses.slice(0, 40), -1, lastPosition, 2);
        assert.equal(new Set(received).size, received.length);
        assert.ok(received.length >= 76, `${received.length} VMs`);
    });
});
