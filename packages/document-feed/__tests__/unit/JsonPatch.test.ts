import * as documents from "@peridotloft/document";
import * as fc from "fast-check";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { DocumentInForce } from "../../src/DocumentFeed.js";
import { applyJson, diffJson } from "../../src/JsonPatch.js";
import { applySteps, createPatchHistory } from "../../src/PatchHistory.js";

const fuzz = { seed: 20_260_801, numRuns: 500 };

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
const inForce = (text: string): DocumentInForce => ({
    document: JSON.parse(text) as documents.FleetDocument,
    text,
    digest: documents.digestOf(text),
});

describe("JsonPatch", () => {
    it("leads to the other value, up to the order of fields and items", () => {
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
            fuzz,
        );
    });

    it("does not throw on a patch for another value", () => {
        fc.assert(
            fc.property(value, value, value, (before, after, other) => {
                applyJson(other, diffJson(before, after) ?? {});
            }),
            fuzz,
        );
    });
});

describe("PatchHistory", () => {
    it("gives steps over several versions, also in indented text", () => {
        [undefined, 2, 4].forEach(indent => {
            const history = createPatchHistory();
            const [first, second, third] = [[1, 5], [2, 6], [3, 7]].map(([version, rate]) =>
                inForce(textOf(version!, rate!, indent))
            );
            history.add(first!, second!);
            history.add(second!, third!);
            const steps = history.stepsFrom(first!.digest);
            assert.equal(applySteps(first!.text, steps!, third!.digest), third!.text);
        });
    });

    it("offers no steps to a text that they would not give exactly", () => {
        const history = createPatchHistory();
        const [before, after] = [inForce(textOf(1, 5)), inForce(textOf(2, 5).replace(":5", ": 5"))];
        history.add(before, after);
        assert.equal(history.stepsFrom(before.digest), undefined);
    });

    it("refuses steps that give a text with another digest", () => {
        const history = createPatchHistory();
        history.add(inForce(textOf(1, 5)), inForce(textOf(2, 6)));
        const steps = history.stepsFrom(documents.digestOf(textOf(1, 5)))!;
        assert.equal(
            applySteps(textOf(1, 9).replace("\"y\"", "\"z\""), steps, documents.digestOf(textOf(2, 6))),
            undefined,
        );
    });

    it("does not grow without bound", () => {
        const history = createPatchHistory();
        for (let version = 1; version < 300; version++) {
            history.add(inForce(textOf(version, version)), inForce(textOf(version + 1, version + 1)));
        }
        assert.equal(history.stepsFrom(documents.digestOf(textOf(100, 100))), undefined);
        assert.notEqual(history.stepsFrom(documents.digestOf(textOf(290, 290))), undefined);
    });
});
