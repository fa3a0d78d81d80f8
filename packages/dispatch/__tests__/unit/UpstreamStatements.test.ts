import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createUpstreamStatements, noStatements } from "../../src/UpstreamStatements.js";

const create = () => createUpstreamStatements(() => 1);

describe("UpstreamStatements", () => {
    it("excludes an upstream that leaves for good, and reports the change once", () => {
        const statements = create();
        assert.equal(statements.unavailability(0), undefined);
        assert.equal(statements.adopt({ ...noStatements, isLeaving: true }, 10).length, 1);
        assert.equal(statements.adopt({ ...noStatements, isLeaving: true }, 20).length, 0);
        statements.adopt(noStatements, 30);
        assert.equal(statements.unavailability(1e9)?.reason, "leaving");
    });

    it("excludes a paused upstream until the pause ends, whatever shorter pause arrives later", () => {
        const statements = create();
        statements.adopt({ ...noStatements, pauseMs: 2_000 }, 100);
        statements.adopt({ ...noStatements, pauseMs: 500 }, 200);
        statements.adopt(noStatements, 300);
        assert.deepEqual(statements.unavailability(2_099), { reason: "paused", untilMs: 2_100 });
        assert.equal(statements.unavailability(2_100), undefined);
    });

    it("takes the most recent cold time", () => {
        const statements = create();
        assert.equal(statements.coldUntilMs(), undefined);
        statements.adopt({ ...noStatements, coldMs: 3_000 }, 100);
        statements.adopt({ ...noStatements, coldMs: 1_000 }, 400);
        assert.equal(statements.coldUntilMs(), 1_400);
    });
});
