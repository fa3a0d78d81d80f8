import * as assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, describe, it } from "node:test";
import { fileURLToPath } from "node:url";

const entry = fileURLToPath(new URL("../../src/main.js", import.meta.url));

describe("the router process", () => {
    const folder = mkdtempSync(join(tmpdir(), "peridotloft-"));

    after(() => rmSync(folder, { recursive: true }));

    it("does not start with invalid settings: reports the path of every invalid field and exits with 2", () => {
        const file = join(folder, "settings.json");
        writeFileSync(file, JSON.stringify({ vmId: "vm-1", zone: "", listen: "x", platformUrls: ["x"] }));
        const result = spawnSync(process.execPath, [entry, "--settings", file], { encoding: "utf8", timeout: 10_000 });
        assert.equal(result.status, 2);
        const paths = result.stderr.trim().split("\n").map(line => /^settings ([^:]+):/.exec(line)?.[1]);
        const wanted = ["adminListen", "listen", "peerListen", "peerSecret", "platformUrls[0]", "zone"];
        assert.deepEqual(paths.sort(), wanted);
        assert.equal(result.stdout, "");
    });

    it("prints its usage when the option is missing", () => {
        const result = spawnSync(process.execPath, [entry], { encoding: "utf8", timeout: 10_000 });
        assert.deepEqual([result.status, result.stderr], [2, "usage: router --settings FILE\n"]);
    });
});
