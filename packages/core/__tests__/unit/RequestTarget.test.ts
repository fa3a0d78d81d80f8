import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { isRequestTargetValid } from "../../src/RequestTarget.js";

describe("RequestTarget", () => {
    it("is invalid with a tab, a form feed or a space, which clients refuse to write", () => {
        assert.deepEqual(["/x\ty", "/x\fy", "/x y", "/x?y=\u0100"].map(isRequestTargetValid), [
            false,
            false,
            false,
            false,
        ]);
        assert.ok(isRequestTargetValid("/x?y=%09&z=\u00ff"));
    });
});
