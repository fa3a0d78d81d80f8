import * as documents from "@peridotloft/document";
import * as fc from "fast-check";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ActiveDocument } from "../../src/DocumentFeed.js";
import { applyJson, diffJson } from "../../src/JsonPatch.js";
import { applyPatches, createPatchHistory } from "../../src/PatchHistory.js";

const propertyOptions = { seed: 20_260_801, numRuns: 500 };

const item = fc.record({ id: fc.constantFrom("a", "b", "c", "d", "__proto__"), value: fc.jsonValue({ maxDepth: 2 }) });
const items = fc.uniqueArray(item, { selector: ({ id }) => id, maxLength: 5 });
const value = fc.oneof(
    fc.record({ version: fc.nat(), vms: items, fleet: fc.dictionary(fc.string(), fc.jsonValue()) }, {
        requiredKeys: [],
    }),
    items,
    fc.jsonValue(),
);

const textOf = (version: number, rate: number, indent?: number): string =>
    JSON.stringify({ version, customers: [{ id: "x", rate }, { id: "y", rate: 1 }] }, undefined, indent);
const createActiveDocument = (text: string): ActiveDocument => ({
    document: JSON.parse(text) as documents.FleetDocument,
    text,
    digest: documents.digestOf(text),
});

describe("JsonPatch", () => {
    it("produces the other value, apart from the order of fields and items", () => {
        const sorted = (input: unknown): unknown =>
            JSON.parse(JSON.stringify(input), (_key, inner: unknown) => {
                if (Array.isArray(inner)) {
                    return inner.map(entry => JSON.stringify(entry)).sort();
                }
                return typeof inner === "object" && inner ? Object.entries(inner).sort() : inner;
            });
        fc.assert(
            fc.property(value, value, (before, after) => {
                const patch = diffJson(before, after);
                const result = patch ? applyJson(before, patch) : before;
                assert.deepEqual(sorted(result), sorted(after));
            }),
            propertyOptions,
        );
    });

    it("does not throw on a patch made for another value", () => {
        fc.assert(
            fc.property(value, value, value, (before, after, other) => {
                applyJson(other, diffJson(before, after) ?? {});
            }),
            propertyOptions,
        );
    });
});

describe("PatchHistory", () => {
    it("returns patches across several versions, also of indented text", () => {
        [undefined, 2, 4].forEach(indent => {
            const history = createPatchHistory();
            const [first, second, third] = [[1, 5], [2, 6], [3, 7]].map(([version, rate]) =>
                createActiveDocument(textOf(version!, rate!, indent))
            );
            history.add(first!, second!);
            history.add(second!, third!);
            const patches = history.patchesFrom(first!.digest);
            assert.equal(applyPatches(first!.text, patches!, third!.digest), third!.text);
        });
    });

    it("returns no patches if they would not reproduce the text exactly", () => {
        const history = createPatchHistory();
        const [before, after] = [
            createActiveDocument(textOf(1, 5)),
            createActiveDocument(textOf(2, 5).replace(":5", ": 5")),
        ];
        history.add(before, after);
        assert.equal(history.patchesFrom(before.digest), undefined);
    });

    it("rejects patches that produce a text with another digest", () => {
        const history = createPatchHistory();
        history.add(createActiveDocument(textOf(1, 5)), createActiveDocument(textOf(2, 6)));
        const patches = history.patchesFrom(documents.digestOf(textOf(1, 5)))!;
        assert.equal(
            applyPatches(textOf(1, 9).replace("\"y\"", "\"z\""), patches, documents.digestOf(textOf(2, 6))),
            undefined,
        );
    });

    it("drops the oldest patches", () => {
        const history = createPatchHistory();
        for (let version = 1; version < 300; version++) {
            history.add(
                createActiveDocument(textOf(version, version)),
                createActiveDocument(textOf(version + 1, version + 1)),
            );
        }
        assert.equal(history.patchesFrom(documents.digestOf(textOf(100, 100))), undefined);
        assert.notEqual(history.patchesFrom(documents.digestOf(textOf(290, 290))), undefined);
    });
});
