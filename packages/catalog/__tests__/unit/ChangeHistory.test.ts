import * as core from "@peridotloft/core";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createChangeHistory } from "../../src/ChangeHistory.js";
import type * as catalog from "../../src/index.js";
import { config } from "./CatalogFixture.js";

const at = (revision: number, era = 1): catalog.Position => ({ era, revision });
const change = (revision: number): catalog.PositionedChange => ({
    item: `up/${revision}`,
    position: at(revision),
    change: { kind: "upstream-removed", id: core.upstreamId(`u${revision}`) },
});
const revisionsOf = (changes: readonly catalog.PositionedChange[] | undefined) =>
    changes?.map(({ position }) => position.revision);

describe("ChangeHistory", () => {
    it("returns the changes after a position since the last listing", () => {
        const history = createChangeHistory(10);
        history.restart(at(5));
        history.append([change(6), change(7)]);
        assert.deepEqual(revisionsOf(history.changesAfter(at(6))), [7]);
        assert.equal(history.changesAfter(at(4)), undefined);
    });

    it("does not return a part of the changes to a VM that lacks some that are not retained any more", () => {
        const history = createChangeHistory(2);
        history.restart(at(5));
        history.append([change(6), change(7), change(8)]);
        assert.equal(history.changesAfter(at(5)), undefined);
        assert.deepEqual(revisionsOf(history.changesAfter(at(6))), [7, 8]);
    });

    it("retains only the newest configuration, since several hundred large ones exhaust the memory", () => {
        const history = createChangeHistory(10);
        const adopted = (revision: number, version: number): catalog.PositionedChange => ({
            item: "config",
            position: at(revision),
            change: config(version),
        });
        history.restart(at(5));
        history.append([adopted(6, 1), change(7)]);
        assert.deepEqual(revisionsOf(history.changesAfter(at(5))), [6, 7]);
        history.append([adopted(8, 2)]);
        history.append([adopted(9, 1)]);
        assert.deepEqual(revisionsOf(history.changesAfter(at(5))), [7, 8]);
    });

    it("returns nothing for a position of another era", () => {
        const history = createChangeHistory(2);
        history.restart(at(5));
        assert.equal(history.changesAfter(at(9, 2)), undefined);
    });
});
