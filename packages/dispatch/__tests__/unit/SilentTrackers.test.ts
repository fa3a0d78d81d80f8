import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createFixture } from "./DispatcherFixture.js";

describe("A tracker that sometimes does not answer in time", () => {
    it("does not take an engine for slow since prompts were late that it did not admit", async () => {
        const { acquire, clock, setTrackersUnresponsive } = await createFixture();
        const usual = (await acquire("a"))!;
        usual.end("ok");
        setTrackersUnresponsive(true);
        const late = await Promise.all(Array.from({ length: 10 }, () => acquire("a")));
        await clock.advance(500);
        late.forEach(lease => {
            lease?.recordFirstByte();
            lease?.end("ok");
        });
        setTrackersUnresponsive(false);
        const lease = await acquire("a");
        assert.equal(lease?.upstream.id, usual.upstream.id);
        assert.ok(lease.expectedMs <= usual.expectedMs, `${lease.expectedMs} ms, ${usual.expectedMs} ms before`);
    });
});
