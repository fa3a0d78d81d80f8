import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as settings from "../../src/Settings.js";

const valid = {
    vmId: "vm-1",
    zone: "a",
    listen: "127.0.0.1:0",
    peerListen: "127.0.0.1:0",
    adminListen: "127.0.0.1:0",
    platformUrls: ["http://127.0.0.1:9"],
    peerSecret: "0123456789abcdef",
};

describe("Settings", () => {
    it("accepts a minimal settings file and applies the default limits", () => {
        assert.equal(settings.parseSettings(valid)._unsafeUnwrap().entry.maxBodyBytes, 1_000_000);
    });

    it("reports every invalid field with its path in one pass", () => {
        const faulty = { ...valid, listen: "here", platformUrls: [], entry: { maxBodyBytes: 0 }, peerSecret: "short" };
        const paths = settings.parseSettings(faulty)._unsafeUnwrapErr().map(({ path }) => path);
        assert.deepEqual(paths.sort(), ["entry.maxBodyBytes", "listen", "peerSecret", "platformUrls"]);
    });

    it("reports an unknown field instead of ignoring it", () => {
        assert.ok(settings.parseSettings({ ...valid, statds: "127.0.0.1:8125" }).isErr());
    });

    it("reports a file that does not exist", () => {
        assert.match(settings.readSettings("/nonexistent.json")._unsafeUnwrapErr()[0]!.message, /cannot read/);
    });
});
