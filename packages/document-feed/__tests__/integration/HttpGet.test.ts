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
let answer: (url: string, response: ServerResponse) => void = () => undefined;

const send = (response: ServerResponse, status: number, body: string | Buffer = "", encoding?: string): void => {
    response.writeHead(status, { "x-document-version": "7", ...(encoding && { "content-encoding": encoding }) });
    response.end(body);
};
const createClient = (urls = [baseUrl]) =>
    createPlatformClient({ clock: core.createSystemClock(), urls, httpGet: createHttpGet() });

before(async () => {
    server = createServer((request, response) => answer(request.url ?? "", response));
    server.on("connection", () => connections++);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    baseUrl = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
});
after(() => {
    server.closeAllConnections();
    server.close();
});

describe("PlatformClient over HTTP", () => {
    it("reads a document, plain or compressed, and a 304 as no news", async () => {
        const client = createClient();
        answer = (_url, response) => send(response, 200, text);
        assert.equal((await client.readDocument(0, 0))._unsafeUnwrap()?.text, text);
        answer = (_url, response) => send(response, 200, gzipSync(text), "gzip");
        assert.equal((await client.readDocument(6, 0))._unsafeUnwrap()?.text, text);
        answer = (url, response) => send(response, url === "/v1/document?after=7&waitMs=2000" ? 304 : 500);
        assert.equal((await client.readDocument(7, 2_000))._unsafeUnwrap(), undefined);
    });

    it("reads the list of VMs and refuses a malformed one", async () => {
        const client = createClient();
        answer = (_url, response) => send(response, 200, "{\"vms\":[{\"id\":\"vm-1\",\"state\":\"leaving\"}]}");
        assert.equal((await client.readVms())._unsafeUnwrap().get(core.vmId("vm-1")), "leaving");
        answer = (_url, response) => send(response, 200, "{}");
        assert.ok((await client.readVms()).isErr());
    });

    it("goes to the next URL after a refused connection and after a 429", async () => {
        const client = createClient(["http://127.0.0.1:1", baseUrl]);
        answer = (_url, response) => send(response, 200, text);
        assert.ok((await client.readDocument(0, 0)).isErr());
        assert.ok((await client.readDocument(0, 0)).isOk());
        answer = (_url, response) => send(response, 429);
        assert.match((await client.readDocument(0, 0))._unsafeUnwrapErr(), /status 429/);
    });

    it("refuses an answer above the size limit, also one that grows when it is expanded", async () => {
        const client = createClient();
        answer = (_url, response) => send(response, 200, Buffer.alloc(1_000_001));
        assert.match((await client.readDocument(0, 0))._unsafeUnwrapErr(), /larger than/);
        answer = (_url, response) => send(response, 200, gzipSync(Buffer.alloc(50_000_000)), "gzip");
        assert.ok((await client.readDocument(0, 0)).isErr());
    });

    it("gives up a silent watch and uses a new connection for the next call", async () => {
        const client = createClient();
        answer = () => undefined;
        const startMs = Date.now();
        assert.match((await client.readDocument(7, 100))._unsafeUnwrapErr(), /no answer within 1100 ms/);
        assert.ok(Date.now() - startMs < 2_000);
        const before = connections;
        answer = (_url, response) => send(response, 200, text);
        assert.ok((await client.readDocument(0, 0)).isOk());
        assert.equal(connections, before + 1);
    });
});
