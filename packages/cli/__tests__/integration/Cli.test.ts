import * as assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { createHash } from "node:crypto";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";
import { fileURLToPath } from "node:url";

const entry = fileURLToPath(new URL("../../src/main.js", import.meta.url));
const folder = mkdtempSync(join(tmpdir(), "peridotloft-cli-"));

interface Exit {
    readonly code: number | null;
    readonly out: string;
    readonly err: string;
}

function run(args: readonly string[], input = ""): Promise<Exit> {
    return new Promise(resolve => {
        const child = spawn(process.execPath, [entry, ...args]);
        const text = { out: "", err: "" };
        child.stdout.on("data", chunk => text.out += chunk);
        child.stderr.on("data", chunk => text.err += chunk);
        child.on("close", code => resolve({ code, ...text }));
        child.stdin.end(input);
    });
}

const fleet = (version: number) => ({
    version,
    zones: [{ id: "a", region: "r", state: "in-service" }, { id: "b", region: "r" }],
    vms: [{ id: "vm-1", zone: "a", peerAddress: "127.0.0.1:7101" }, {
        id: "vm-2",
        zone: "b",
        peerAddress: "127.0.0.1:7102",
    }],
    customers: [{ id: "north", rateCostPerS: 10, burstCost: 20 }],
    keys: [{ id: "k1", customer: "north", sha256: "0".repeat(64) }],
    pools: [{
        id: "assistant",
        kind: "engine",
        models: ["m1"],
        upstreams: [
            { id: "e1", zone: "a", url: "http://127.0.0.1:8101", slots: 8, coldSlots: 1 },
            { id: "e2", zone: "b", url: "http://127.0.0.1:8102", slots: 8, coldSlots: 1 },
        ],
    }],
});

function write(name: string, value: unknown): string {
    const file = join(folder, name);
    writeFileSync(file, typeof value === "string" ? value : JSON.stringify(value));
    return file;
}

describe("peridotloft", () => {
    const pages = new Map([["/status", `{"ready":true}`], ["/audit", `[{"section":"zones","id":"a"}]`]]);
    const server = createServer((request, response) => {
        const page = pages.get(request.url ?? "");
        response.writeHead(page ? 200 : 404).end(page ?? "<html>");
    });
    let url = "";

    before(async () => {
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
        pages.set("/prefix/status", "<html>");
    });

    after(() => {
        server.close();
        rmSync(folder, { recursive: true });
    });

    it("prints help with examples and exit codes", async () => {
        const { code, out } = await run(["--help"]);
        assert.equal(code, 0);
        assert.match(out, /validate fleet\.json/);
        assert.match(out, /Exit codes: 0 success/);
    });

    it("exits with 2 on invalid arguments", async () => {
        const exits = await Promise.all([[], ["frob"], ["diff", "one"], ["router"]].map(args => run(args)));
        assert.deepEqual(exits.map(({ code }) => code), [2, 2, 2, 2]);
        assert.match(exits[3]!.err, /settings/);
    });

    describe("validate", () => {
        it("accepts a valid document", async () => {
            const { code, out } = await run(["validate", write("valid.json", fleet(3))]);
            assert.deepEqual([code, out.includes("version 3 is valid")], [0, true]);
        });

        it("prints every error with its path", async () => {
            const file = write("invalid.json", { ...fleet(3), customers: [{ id: "north", rateCostPerS: -1 }] });
            const { code, err } = await run(["validate", file]);
            assert.equal(code, 2);
            assert.match(err, /customers\[0\]\.rateCostPerS: /);
            assert.match(err, /customers\[0\]\.burstCost: /);
        });

        it("reports a missing file and invalid JSON", async () => {
            const [missing, bad] = await Promise.all([
                run(["validate", join(folder, "none.json")]),
                run(["validate", write("bad.json", "{")]),
            ]);
            assert.deepEqual([missing.code, bad.code], [2, 2]);
            assert.match(missing.err, /none\.json: cannot be read: ENOENT/);
            assert.match(bad.err, /bad\.json: is not JSON/);
        });
    });

    describe("validate, for a document that is valid but suspect,", () => {
        const suspect = (version: number) => ({
            ...fleet(version),
            customers: [...fleet(version).customers, { id: "south", rateCostPerS: 10, burstCost: 20 }],
        });
        const warning = "customers[1]: warning: customer 'south' has no key, so that no request is its own";

        it("prints warnings with their paths and exits with 0, or with 2 if it is strict", async () => {
            const file = write("suspect.json", suspect(3));
            const [lenient, strict, sound] = await Promise.all([
                run(["validate", file]),
                run(["validate", file, "--strict"]),
                run(["validate", write("sound.json", fleet(3)), "--strict"]),
            ]);
            assert.deepEqual(lenient, {
                code: 0,
                out: `${file}: version 3 is valid, with 1 warning(s)\n`,
                err: `${file}: ${warning}\n`,
            });
            assert.deepEqual([strict.code, strict.err], [2, lenient.err]);
            assert.deepEqual([sound.code, sound.err], [0, ""]);
        });

        it("lists what differs from the published document, in a file or on the configuration service", async () => {
            pages.set("/v1/document", JSON.stringify(fleet(3)));
            const file = write("draft.json", suspect(4));
            const published = write("published.json", fleet(3));
            const exits = await Promise.all(
                [published, url].map(against => run(["validate", file, "--against", against])),
            );
            exits.forEach(({ code, out, err }) => {
                assert.deepEqual([code, err], [0, `${file}: ${warning}\n`]);
                assert.deepEqual(out.trim().split("\n"), [
                    `${file}: version 4 is valid, with 1 warning(s)`,
                    "version 3 -> 4: 1 change(s)",
                    "- Customer south is added (rate 10 cost/s, burst 20 cost, no key).",
                ]);
            });
        });

        it("prints findings and changes as JSON", async () => {
            const args = ["validate", write("draft.json", suspect(3)), "--json", "--against"];
            const { code, out } = await run([...args, write("published.json", fleet(3))]);
            const report = JSON.parse(out);
            assert.deepEqual([code, report.version, report.publishedVersion, report.isValid], [2, 3, 3, false]);
            assert.deepEqual(report.findings.map(({ level, path }: Record<string, string>) => [level, path]), [
                ["error", "version"],
                ["warning", "customers[1]"],
            ]);
            assert.deepEqual(
                report.changes.map(({ section, id, kind }: Record<string, string>) => [section, id, kind]),
                [
                    ["customers", "south", "added"],
                ],
            );
        });

        it("prints the errors of an invalid document as JSON", async () => {
            const { code, out } = await run(["validate", write("bad.json", "{"), "--json"]);
            const { findings, isValid } = JSON.parse(out);
            assert.deepEqual([code, isValid, findings.length, findings[0].level], [2, false, 1, "error"]);
        });

        it("exits with 2 if the published file is invalid, and with 3 if the URL does not respond with a document", async () => {
            const file = write("draft.json", fleet(4));
            const exits = await Promise.all(
                [write("bad.json", "{"), join(folder, "none.json"), "http://127.0.0.1:9", `${url}/x`]
                    .map(against => run(["validate", file, "--against", against])),
            );
            pages.set("/v1/document", "<html>");
            exits.push(await run(["validate", file, "--against", url]));
            assert.deepEqual(exits.map(({ code }) => code), [2, 2, 3, 0, 3]);
        });

        it("states its exit codes in its help", async () => {
            assert.match((await run(["validate", "--help"])).out, /Exit codes: 0 no errors/);
        });
    });

    describe("diff", () => {
        it("describes changes of a zone, a rate and a key, and who is affected", async () => {
            const next = fleet(4);
            Object.assign(next.zones[0]!, { state: "leaving" });
            Object.assign(next.customers[0]!, { rateCostPerS: 30 });
            const { code, out } = await run([
                "diff",
                write("old.json", fleet(3)),
                write("new.json", { ...next, keys: [] }),
            ]);
            assert.equal(code, 0);
            assert.deepEqual(out.trim().split("\n"), [
                "version 3 -> 4: 3 change(s)",
                "- Availability zone a: state in-service -> leaving. Its upstreams get no new work. "
                + "Affects upstream e1 and VM vm-1.",
                "- Customer north: rateCostPerS 10 -> 30.",
                "- Key k1 of customer north is withdrawn: its callers are refused with 401, and their open streams end.",
            ]);
        });

        it("exits with 2 if the new document is not a valid successor of the old one", async () => {
            const next = { ...fleet(4), vms: fleet(4).vms.slice(1) };
            const { code, err } = await run(["diff", write("a.json", fleet(3)), write("b.json", next)]);
            assert.equal(code, 2);
            assert.match(err, /b\.json: vms: VM 'vm-1' must be published as retired/);
        });
    });

    describe("status and audit", () => {
        it("print JSON if standard output is not a terminal", async () => {
            const exits = await Promise.all([run(["status", url]), run(["audit", url])]);
            assert.deepEqual(exits.map(({ out }) => JSON.parse(out)), [{ ready: true }, [{
                section: "zones",
                id: "a",
            }]]);
        });

        it("print formatted text with --no-json", async () => {
            const { out } = await run(["audit", url, "--no-json"]);
            assert.equal(out, "{ section: 'zones', id: 'a' }\n");
        });

        it("exit with 3 if the URL does not respond with JSON, and with 2 if it is invalid", async () => {
            const exits = await Promise.all([
                run(["status", "http://127.0.0.1:9"]),
                run(["status", `${url}/prefix`]),
                run(["audit", `${url}/prefix`]),
                run(["status", "vm-1"]),
            ]);
            assert.deepEqual(exits.map(({ code }) => code), [3, 3, 3, 2]);
            assert.match(exits[1]!.err, /did not respond with JSON/);
            assert.match(exits[2]!.err, /responded with status 404/);
        });
    });

    describe("hash-key", () => {
        const sha256 = (text: string) => createHash("sha256").update(text).digest("hex");

        it("hashes the key from standard input", async () => {
            assert.equal((await run(["hash-key"], "secret-key\n")).out.trim(), sha256("secret-key"));
        });

        it("generates a key whose hash it prints", async () => {
            const { out, err } = await run(["hash-key", "--generate"]);
            assert.equal(out.trim(), sha256(/: (\S+)/.exec(err)?.[1] ?? ""));
        });

        it("refuses empty input", async () => {
            assert.equal((await run(["hash-key"])).code, 2);
        });
    });

    it("router reports every error of its settings and exits with 2", async () => {
        const { code, err } = await run(["router", "--settings", write("settings.json", { vmId: "vm-1" })]);
        assert.equal(code, 2);
        assert.match(err, /peerSecret/);
        assert.match(err, /platformUrls/);
    });

    describe("validate with ten errors", () => {
        it("prints all ten errors with their paths (the console tests use the same document)", async () => {
            const file = write("ten-faults.json", {
                version: 0,
                fleet: { loanLifetimeMs: 1 },
                zones: [{ id: "A!", region: "" }],
                vms: [{ id: "vm-1", zone: "a", peerAddress: "here", state: "gone" }],
                customers: [{ id: "north", weight: 0, rateCostPerS: -1 }],
                pools: [{ id: "assistant", kind: "engine", upstreams: [] }],
            });
            const { code, err } = await run(["validate", file]);
            assert.equal(code, 2);
            const paths = [
                "version",
                "fleet.loanLifetimeMs",
                "zones[0].id",
                "zones[0].region",
                "vms[0].peerAddress",
                "vms[0].state",
                "customers[0].weight",
                "customers[0].rateCostPerS",
                "customers[0].burstCost",
                "pools[0].upstreams",
            ];
            paths.forEach(path => assert.ok(err.includes(path), `${path} is missing in ${err}`));
            assert.equal(err.trim().split("\n").length, paths.length);
        });
    });

    describe("console", () => {
        it("serves the page until it is stopped", async () => {
            const child = spawn(process.execPath, [entry, "console", "--port", "0"]);
            try {
                const [line] = await once(child.stdout, "data") as [Buffer];
                const url = /http:\S+/.exec(line.toString())?.[0] ?? "";
                assert.match(await (await fetch(url)).text(), /peridotloft console/);
            }
            finally {
                child.kill("SIGTERM");
            }
        });
    });
});
