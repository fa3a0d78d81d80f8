import * as assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { type StartedProcess, startProcess, stopProcesses } from "../../src/ChildProcesses.js";

const stopTimeoutMs = 2_000;
const started: StartedProcess[] = [];

async function start(kind: string, options: unknown = {}): Promise<StartedProcess> {
    const entry = fileURLToPath(new URL(`../../src/${kind}Main.js`, import.meta.url));
    const process = await startProcess(kind, entry, ["--options", JSON.stringify(options)]);
    started.push(process);
    return process;
}

async function call({ listen }: StartedProcess, path: string, method = "GET", value?: unknown) {
    const body = value === undefined ? {} : { body: JSON.stringify(value) };
    const response = await fetch(`http://${listen}${path}`, { method, ...body });
    const text = await response.text();
    return { status: response.status, headers: response.headers, text };
}

const documentOf = (version: number) => ({
    version,
    zones: [{ id: "a", region: "r" }],
    vms: [{ id: "vm-1", zone: "a", peerAddress: "127.0.0.1:7101" }],
    customers: [],
    pools: [{
        id: "assistant",
        kind: "engine",
        upstreams: [{ id: "e1", zone: "a", url: "http://127.0.0.1:1", slots: 1, coldSlots: 1 }],
    }],
});

describe("stand-in processes", () => {
    afterEach(() => stopProcesses(started.splice(0), stopTimeoutMs));

    describe("platform", () => {
        const versionOf = ({ headers }: Awaited<ReturnType<typeof call>>) => headers.get("x-document-version");

        it("completes a watch when a document is submitted, and responds with 304 if none is", async () => {
            const platform = await start("Platform", { document: documentOf(1) });
            assert.equal((await call(platform, "/v1/document?after=1&waitMs=50")).status, 304);
            const watch = call(platform, "/v1/document?after=1&waitMs=10000");
            assert.equal((await call(platform, "/v1/document", "PUT", documentOf(2))).status, 200);
            const watched = await watch;
            assert.deepEqual([watched.status, versionOf(watched), watched.text], [
                200,
                "2",
                JSON.stringify(documentOf(2)),
            ]);
        });

        it("rejects an invalid document and a version that is not higher than the published one", async () => {
            const platform = await start("Platform", { document: documentOf(2) });
            const same = await call(platform, "/v1/document", "PUT", documentOf(2));
            const invalid = await call(platform, "/v1/document", "PUT", { ...documentOf(3), zones: [] });
            assert.deepEqual([same.status, invalid.status], [422, 422]);
            assert.match(same.text, /"path":"version"/);
            assert.match(invalid.text, /"path":"zones"/);
            assert.equal(versionOf(await call(platform, "/v1/document")), "2");
        });

        it("responds with 429 above its limit of calls per second, which includes waiting watches", async () => {
            const platform = await start("Platform", { document: documentOf(1), callsPerS: 4 });
            const watches = [1, 2].map(() => call(platform, "/v1/document?after=1&waitMs=300"));
            const statuses = await Promise.all([1, 2, 3].map(async () => (await call(platform, "/v1/vms")).status));
            assert.ok(statuses.includes(429), String(statuses));
            await Promise.all(watches);
        });

        it("serves an older version in mode `stale` and closes connections in mode `down`", async () => {
            const platform = await start("Platform", { document: documentOf(1) });
            await call(platform, "/admin/mode", "PUT", { mode: "stale" });
            await call(platform, "/v1/document", "PUT", documentOf(2));
            assert.equal(versionOf(await call(platform, "/v1/document")), "1");
            const watch = call(platform, "/v1/document?after=1&waitMs=10000").catch(() => "broken");
            await call(platform, "/admin/mode", "PUT", { mode: "down" });
            assert.equal(await watch, "broken");
            await assert.rejects(call(platform, "/v1/document"));
            await call(platform, "/admin/mode", "PUT", { mode: "up" });
            assert.equal(versionOf(await call(platform, "/v1/document")), "2");
        });

        it("lists VMs with the configured lag", async () => {
            const platform = await start("Platform", { document: documentOf(1), listLagMs: 60_000 });
            const next = { ...documentOf(2), vms: [{ ...documentOf(2).vms[0], state: "leaving" }] };
            await call(platform, "/v1/document", "PUT", next);
            assert.match((await call(platform, "/v1/vms")).text, /"state":"in-service"/);
        });
    });

    describe("engine", () => {
        const chat = (engine: StartedProcess, content = "x") =>
            call(engine, "/v1/chat/completions", "POST", { model: "m", messages: [{ role: "user", content }] });

        it("refuses requests above its cold slots until it is warm", async () => {
            const engine = await start("Engine", { coldSlots: 1, coldRequests: 1, tokenPaceMs: 5 });
            const cold = await Promise.all([chat(engine), chat(engine)]);
            assert.deepEqual(cold.map(({ status }) => status).sort(), [200, 503]);
            assert.equal(cold.find(({ status }) => status === 503)?.headers.get("x-not-run"), "1");
            const warm = await Promise.all([chat(engine), chat(engine)]);
            assert.deepEqual(warm.map(({ status }) => status), [200, 200]);
            await call(engine, "/admin/cold", "POST");
            assert.match((await call(engine, "/admin/stats")).text, /"phase":"cold"/);
        });

        it("crashes above its cold slots during cold start if configured to", async () => {
            const engine = await start("Engine", { coldOverload: "crash", tokenPaceMs: 20 });
            await Promise.allSettled([chat(engine), chat(engine)]);
            assert.equal(await engine.exited, 1);
        });

        it("crashes on a request that contains the crash marker", async () => {
            const engine = await start("Engine");
            await call(engine, "/admin/faults", "PUT", { crashMarker: "poison" });
            await assert.rejects(chat(engine, "poison"));
            assert.equal(await engine.exited, 1);
        });

        it("reports its load with the configured lag", async () => {
            const engine = await start("Engine", { startsCold: false, loadLagMs: 60_000 });
            await call(engine, "/admin/cold", "POST");
            assert.match((await call(engine, "/load")).text, /"phase":"warm"/);
        });
    });

    it("service counts executions by body, so that duplicate executions can be detected", async () => {
        const service = await start("Service");
        await call(service, "/holds", "POST", { seat: 1 });
        await call(service, "/holds", "POST", { seat: 1 });
        const { text } = await call(service, "/admin/executions");
        assert.deepEqual((JSON.parse(text) as { executions: unknown; }).executions, { "{\"seat\":1}": 2 });
    });
});
