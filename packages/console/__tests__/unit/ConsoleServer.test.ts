import * as assert from "node:assert/strict";
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, describe, it } from "node:test";
import * as consoles from "../../src/index.js";

const validDocument = JSON.stringify({
    version: 1,
    zones: [{ id: "a", region: "r" }],
    vms: [{ id: "vm-1", zone: "a", peerAddress: "127.0.0.1:7101" }],
    customers: [],
    pools: [{
        id: "p",
        kind: "service",
        upstreams: [{ id: "u", zone: "a", url: "http://127.0.0.1:8101", slots: 1, coldSlots: 1 }],
    }],
});

describe("ConsoleServer", () => {
    let server: consoles.ConsoleServer;

    before(async () => {
        server = await consoles.startConsole({ host: "127.0.0.1", port: 0, platformUrl: undefined });
    });

    after(() => server.close());

    const post = (path: string, body: string, headers: Record<string, string> = {}): Promise<Response> =>
        fetch(new URL(path, server.url), { method: "POST", body, headers });

    it("serves the page and its script", async () => {
        const page = await (await fetch(server.url)).text();
        assert.match(page, /ConsolePage\.js/);
        assert.equal((await fetch(new URL("ConsolePage.js", server.url))).status, 200);
    });

    it("shows an issued key once and puts only its hash into the draft", async () => {
        const response = await post("/api/issue-key", JSON.stringify({ draft: { keys: [] }, id: "k1", customer: "c" }));
        const { apiKey, draft } = await response.json() as { apiKey: string; draft: { keys: { sha256: string; }[]; }; };
        assert.match(draft.keys[0]!.sha256, /^[0-9a-f]{64}$/);
        assert.ok(!JSON.stringify(draft).includes(apiKey));
    });

    it("rejects requests that a page of another site sends through the operator's browser", async () => {
        const response = await post("/api/action", "{}", { origin: "http://example.test" });
        assert.equal(response.status, 403);
    });

    it("rejects a host name that was rebound to loopback", async () => {
        const { port } = new URL(server.url);
        const status = await new Promise(resolve => {
            http.get({ host: "127.0.0.1", port, path: "/", headers: { host: "example.test" } }, response => {
                response.resume();
                resolve(response.statusCode);
            });
        });
        assert.equal(status, 403);
    });

    it("responds to malformed bodies with status 400 and keeps running", async () => {
        assert.equal((await post("/api/review", "{")).status, 400);
        assert.equal((await post("/api/action", JSON.stringify({ action: { kind: "x" } }))).status, 400);
        assert.equal((await fetch(server.url)).status, 200);
    });

    it("loads from the platform, submits to it, and returns the platform's error to the page", async () => {
        let submitted = "";
        const platform = http.createServer((request, response) => {
            if (request.method === "GET") {
                return void response.end("{\"version\":1}");
            }
            request.on("data", chunk => submitted += chunk);
            request.on("end", () => response.writeHead(409).end("version is not higher"));
        });
        await new Promise<void>(resolve => platform.listen(0, "127.0.0.1", resolve));
        const { port } = platform.address() as AddressInfo;
        const platformUrl = `http://127.0.0.1:${port}`;
        const connectedConsole = await consoles.startConsole({ host: "127.0.0.1", port: 0, platformUrl });
        try {
            assert.equal(await (await fetch(new URL("/api/document", connectedConsole.url))).text(), "{\"version\":1}");
            const draft = { ...JSON.parse(validDocument), version: 2 };
            const body = JSON.stringify({ draft, loaded: undefined });
            const response = await fetch(new URL("/api/submit", connectedConsole.url), { method: "POST", body });
            assert.equal(response.status, 502);
            assert.match(await response.text(), /409: version is not higher/);
            assert.equal(JSON.parse(submitted).version, 2);
        }
        finally {
            await connectedConsole.close();
            platform.close();
        }
    });
});
