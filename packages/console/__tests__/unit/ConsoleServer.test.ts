import * as assert from "node:assert/strict";
import * as http from "node:http";
import { after, before, describe, it } from "node:test";
import * as consoles from "../../src/index.js";

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
        const answer = await post("/api/issue-key", JSON.stringify({ draft: { keys: [] }, id: "k1", customer: "c" }));
        const { apiKey, draft } = await answer.json() as { apiKey: string; draft: { keys: { sha256: string; }[]; }; };
        assert.match(draft.keys[0]!.sha256, /^[0-9a-f]{64}$/);
        assert.ok(!JSON.stringify(draft).includes(apiKey));
    });

    it("refuses requests that a page of another site sends through the operator's browser", async () => {
        const answer = await post("/api/action", "{}", { origin: "http://example.test" });
        assert.equal(answer.status, 403);
    });

    it("refuses a host name that was rebound to loopback", async () => {
        const { port } = new URL(server.url);
        const status = await new Promise(resolve => {
            http.get({ host: "127.0.0.1", port, path: "/", headers: { host: "example.test" } }, response => {
                response.resume();
                resolve(response.statusCode);
            });
        });
        assert.equal(status, 403);
    });

    it("answers malformed bodies with an error and stays up", async () => {
        assert.equal((await post("/api/review", "{")).status, 400);
        assert.equal((await post("/api/action", JSON.stringify({ action: { kind: "x" } }))).status, 400);
        assert.equal((await fetch(server.url)).status, 200);
    });
});
