import * as assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { createEngineLoadView, type EngineLoadView } from "../../src/EngineLoadView.js";

const first = 1;
const second = 2;

describe("EngineLoadView", () => {
    let nowMs: number;
    let view: EngineLoadView;
    beforeEach(() => {
        nowMs = 10_000;
        view = createEngineLoadView(() => nowMs);
    });

    it("knows nothing of an engine without a recent statement", () => {
        assert.equal(view.waitMs(first), undefined);
        view.record({ upstreamHash: first, waitMs: 100, ageMs: 0 });
        nowMs += 1_500;
        assert.equal(view.waitMs(first), undefined);
        assert.deepEqual(view.latest(2), []);
    });

    it("believes a fresh statement, and an older one less", () => {
        view.record({ upstreamHash: first, waitMs: 200, ageMs: 0 });
        view.record({ upstreamHash: second, waitMs: 0, ageMs: 0 });
        assert.equal(view.waitMs(first), 200);
        nowMs += 600;
        const [longer, shorter] = [view.waitMs(first) ?? 0, view.waitMs(second) ?? 0];
        assert.ok(longer < 200 && longer > 100 && shorter > 0 && shorter < 100, `${longer}, ${shorter}`);
    });

    it("does not replace a statement by an older one that arrives later", () => {
        view.record({ upstreamHash: first, waitMs: 200, ageMs: 100 });
        view.record({ upstreamHash: first, waitMs: 10, ageMs: 300 });
        assert.ok((view.waitMs(first) ?? 0) > 150);
    });

    it("adds what this VM has sent since the statement, as far as it cannot be prefilled yet", () => {
        view.record({ upstreamHash: first, waitMs: 0, ageMs: 0 });
        view.recordSent(first, 120);
        assert.equal(view.waitMs(first), 120);
        nowMs += 50;
        assert.equal(view.waitMs(first), 70);
        view.record({ upstreamHash: first, waitMs: 5, ageMs: 0 });
        assert.equal(view.waitMs(first), 5);
    });

    it("hands on the latest statements with their ages", () => {
        view.record({ upstreamHash: first, waitMs: 40, ageMs: 300 });
        view.record({ upstreamHash: second, waitMs: 60, ageMs: 100 });
        nowMs += 50;
        assert.deepEqual(view.latest(1), [{ upstreamHash: second, waitMs: 60, ageMs: 150 }]);
    });
});
