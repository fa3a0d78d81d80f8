import * as core from "@peridotloft/core";
import * as assert from "node:assert/strict";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, describe, it } from "node:test";
import { gzipSync } from "node:zlib";
import { createHttpGet } from "../../src/HttpGet.js";
import { createPlatformClient } from "../../src/PlatformClient.js";

const text = JSON.stringify({ version: 7 });
let server: Server;
let baseUrl = "";
let connections = 0;
let respond: (url: string, response: ServerResponse) => void = () => undefined;

const send = (response: ServerResponse, status: number, body: string | Buffer = "", encoding?: string): void => {
    response.writeHead(status, { "x-document-version": "7", ...(encoding && { "content-encoding": encoding }) });
    response.end(body);
};
const createClient = (urls = [baseUrl]) =>
    createPlatformClient({ clock: core.createSystemClock(), urls, httpGet: createHttpGet() });

before(async () => {
    server = createServer((request, response) => respond(request.url ?? "", response));
    server.on("connection", () => connections++);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    baseUrl = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
});
after(() => {
    server.closeAllConnections();
    server.close();
});

describe("PlatformClient over HTTP", () => {
    it("reads a plain and a compressed document, and treats a 304 as no new version", async () => {
        const client = createClient();
        respond = (_url, response) => send(response, 200, text);
        assert.equal((await client.readDocument(0, 0))._unsafeUnwrap()?.text, text);
        respond = (_url, response) => send(response, 200, gzipSync(text), "gzip");
        assert.equal((await client.readDocument(6, 0))._unsafeUnwrap()?.text, text);
        respond = (url, response) => send(response, url === "/v1/document?after=7&waitMs=2000" ? 304 : 500);
        assert.equal((await client.readDocument(7, 2_000))._unsafeUnwrap(), undefined);
    });

    it("reads the list of VMs and rejects a malformed one", async () => {
        const client = createClient();
        respond = (_url, response) => send(response, 200, "{\"vms\":[{\"id\":\"vm-1\",\"state\":\"leaving\"}]}");
        assert.equal((await client.readVms())._unsafeUnwrap().get(core.vmId("vm-1")), "leaving");
        respond = (_url, response) => send(response, 200, "{}");
        assert.ok((await client.readVms()).isErr());
    });

    it("switches to the next URL after a refused connection and fails on a 429", async () => {
        const client = createClient(["http://127.0.0.1:1", baseUrl]);
        respond = (_url, response) => send(response, 200, text);
        assert.ok((await client.readDocument(0, 0)).isErr());
        assert.ok((await client.readDocument(0, 0)).isOk());
        respond = (_url, response) => send(response, 429);
        assert.match((await client.readDocument(0, 0))._unsafeUnwrapErr(), /status 429/);
    });

    it("rejects a response above the size limit, also one that exceeds it only when decompressed", async () => {
        const client = createClient();
        respond = (_url, response) => send(response, 200, Buffer.alloc(1_000_001));
        assert.match((await client.readDocument(0, 0))._unsafeUnwrapErr(), /larger than/);
        respond = (_url, response) => send(response, 200, gzipSync(Buffer.alloc(50_000_000)), "gzip");
        assert.ok((await client.readDocument(0, 0)).isErr());
    });

    it("aborts a watch without a response in time and uses a new connection for the next call", async () => {
        const client = createClient();
        respond = () => undefined;
        const startMs = Date.now();
        assert.match((await client.readDocument(7, 100))._unsafeUnwrapErr(), /no response within 1100 ms/);
        assert.ok(Date.now() - startMs < 2_000);
        const before = connections;
        respond = (_url, response) => send(response, 200, text);
        assert.ok((await client.readDocument(0, 0)).isOk());
        assert.equal(connections, before + 1);
    });
});
