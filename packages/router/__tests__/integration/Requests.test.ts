import * as demo from "@peridotloft/demo";
import * as keys from "@peridotloft/keys";
import * as assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import OpenAI from "openai";
import { chat, chatBody, control, eventually, open, openChat, type Received, send } from "./TestClient.js";

interface EngineStats {
    readonly requests: number;
    readonly cancelled: number;
    readonly running: number;
    readonly withKey: number;
}

interface Executions {
    readonly executions: Record<string, number>;
    readonly completed: Record<string, number>;
    readonly withKey: number;
}

const tinyKey = "demo-key-tiny";
const smallKey = "demo-key-small";
// SHA-256 of `smallKey`.
const smallKeyHash = "76ad3e4a00e92bcaf6bf2106df0c001799506b5869f183a4dbe517165d279d95";

const errorOf = (received: Received) =>
    (JSON.parse(received.text) as { error: { code: string; verdict: string; request_id: string; }; }).error;

describe("requests through router and engine processes", () => {
    let fleet: demo.Fleet;
    let router: string;
    let engine: string;
    let service: string;

    before(async () => {
        fleet = await demo.startFleet({
            zones: ["a"],
            routers: 1,
            engines: 1,
            services: 1,
            engineOptions: { startsCold: false, tokenPaceMs: 10 },
            routerSettings: { entry: { headersTimeoutMs: 500, requestTimeoutMs: 1_000 } },
            adjustDocument: document => ({
                ...document,
                customers: [...document.customers, { id: "small", rateCostPerS: 20, burstCost: 100 }, {
                    id: "tiny",
                    rateCostPerS: 0.5,
                    burstCost: 1,
                }],
                keys: [...document.keys ?? [], { id: "k3", customer: "small", sha256: smallKeyHash }, {
                    id: "k4",
                    customer: "tiny",
                    sha256: keys.hashKey(tinyKey),
                }],
                pools: document.pools.map(pool => ({ ...pool, firstByteTimeoutMs: 1_000, idleTimeoutMs: 500 })),
            }),
        });
        [router, engine, service] = [fleet.routers[0]!.listen, fleet.engines[0]!.listen, fleet.services[0]!.listen];
    });

    after(() => fleet?.stop());

    describe("with the npm openai client", () => {
        const client = () => new OpenAI({ baseURL: `http://${router}/v1`, apiKey: demo.demoKey, maxRetries: 0 });
        const messages = [{ role: "user" as const, content: "hello" }];

        it("receives a complete response", async () => {
            const response = await client().chat.completions.create({ model: demo.demoModel, messages, max_tokens: 5 });
            assert.equal(response.choices[0]!.message.content, "echo:hello w1 w2 w3 w4");
            assert.equal(response.usage!.completion_tokens, 5);
        });

        it("receives a stream with its usage block", async () => {
            const stream = await client().chat.completions.create({
                model: demo.demoModel,
                messages,
                max_tokens: 5,
                stream: true,
                stream_options: { include_usage: true },
            });
            const chunks = [];
            for await (const chunk of stream) {
                chunks.push(chunk);
            }
            const text = chunks.map(chunk => chunk.choices[0]?.delta.content ?? "").join("");
            assert.equal(text, "echo:hello w1 w2 w3 w4");
            assert.equal(chunks.at(-1)!.usage!.completion_tokens, 5);
        });

        it("lists the models", async () => {
            assert.deepEqual((await client().models.list()).data.map(model => model.id), [demo.demoModel]);
        });

        it("reports an error, not a short response, when a stream is truncated", async () => {
            await control(engine, "/admin/faults", "PUT", { truncateAfter: 2, truncateBy: "end" });
            const stream = await client().chat.completions.create({ model: demo.demoModel, messages, stream: true });
            await assert.rejects(async () => {
                for await (const _ of stream) {
                    // The error must come from reading to the end.
                }
            }, /incomplete/);
            await control(engine, "/admin/faults", "PUT", {});
        });
    });

    it("returns to each of many concurrent callers its own response", async () => {
        const names = Array.from({ length: 40 }, (_, index) => `caller-${index}`);
        const responses = await Promise.all(
            names.map((name, index) => chat(router, name, { stream: index % 2 === 0 })),
        );
        responses.forEach((response, index) => {
            assert.ok(response.complete);
            assert.ok(
                response.text.includes(`echo:${names[index]!} `) || response.text.includes(`echo:${names[index]!}"`),
            );
        });
    });

    it("cancels the request at the engine when the caller disconnects", async () => {
        const { cancelled } = await control<EngineStats>(engine, "/admin/stats");
        const stream = await openChat(router, "long", 2_000);
        await stream.contains("w1");
        stream.request.destroy();
        await eventually("the engine stops", async () => {
            const stats = await control<EngineStats>(engine, "/admin/stats");
            return stats.cancelled === cancelled + 1 && stats.running === 0;
        });
    });

    describe("does not present as complete:", () => {
        const faults = [
            ["a stream whose connection closes", { truncateAfter: 3, truncateBy: "close" }, true],
            ["a stream that ends without [DONE]", { truncateAfter: 3, truncateBy: "end" }, true],
            ["a stream that stalls", { silentAfter: 3 }, true],
        ] as const;
        faults.forEach(([fault, value, stream]) =>
            it(fault, async () => {
                await control(engine, "/admin/faults", "PUT", value);
                const response = await chat(router, "cut", { stream });
                await control(engine, "/admin/faults", "PUT", {});
                assert.equal(response.complete, false);
                assert.ok(!response.text.includes("[DONE]"));
                assert.match(response.text, /data: \{"error":.*"verdict":"may-have-run"/);
            })
        );

        it("a response shorter than its Content-Length", async () => {
            await control(engine, "/admin/faults", "PUT", { truncateAfter: 3 });
            const response = await chat(router, "cut");
            await control(engine, "/admin/faults", "PUT", {});
            assert.deepEqual([response.statusCode, errorOf(response).verdict], [502, "may-have-run"]);
        });

        it("a request to an engine that does not respond", async () => {
            await control(engine, "/admin/faults", "PUT", { silentAfter: 0 });
            const response = await chat(router, "silent");
            await control(engine, "/admin/faults", "PUT", {});
            assert.deepEqual([response.statusCode, errorOf(response).verdict], [504, "may-have-run"]);
        });
    });

    describe("refuses, with verdict not-run,", () => {
        const completions = "/v1/chat/completions";
        const refusals: readonly [string, number, string, () => Promise<Received>][] = [
            ["a missing key", 401, "missing-key", () => send(router, completions, { key: undefined, body: "{}" })],
            ["an unknown key", 401, "unknown-key", () => send(router, completions, { key: "x", body: "{}" })],
            ["an unknown path", 404, "unknown-route", () => send(router, "/nowhere")],
            ["a wrong method", 405, "method-not-allowed", () => send(router, "/holds", { method: "DELETE" })],
            ["an unknown model", 404, "unknown-model", () => chat(router, "x", { model: "y" })],
            ["a body that is not JSON", 400, "invalid-request", () => send(router, completions, { body: "{" })],
            ["a negative token limit", 400, "invalid-request", () => chat(router, "x", { max_tokens: -1 })],
            ["a body above 1 MB", 413, "body-too-large", () => chat(router, "x".repeat(1_000_001))],
            [
                "a cost above the burst",
                400,
                "cost-exceeds-burst",
                () => send(router, completions, { key: smallKey, body: chatBody("x", { max_tokens: 200 }) }),
            ],
            [
                "an idempotency key that is too long",
                400,
                "invalid-request",
                () => send(router, "/holds", { headers: { "idempotency-key": "x".repeat(257) } }),
            ],
            [
                "large headers",
                431,
                "headers-too-large",
                () => send(router, completions, { headers: { "x-large": "x".repeat(20_000) } }),
            ],
        ];
        refusals.forEach(([what, statusCode, code, act]) =>
            it(what, async () => {
                const received = await act();
                const error = errorOf(received);
                assert.deepEqual([received.statusCode, error.code, error.verdict], [statusCode, code, "not-run"]);
                assert.equal(received.headers["x-peridotloft-verdict"], "not-run");
                assert.equal(received.headers["x-request-id"], error.request_id);
            })
        );

        it("a customer above its rate limit, with a Retry-After header", async () => {
            const act = () => send(router, completions, { key: smallKey, body: chatBody("x", { max_tokens: 60 }) });
            // Buckets of a newly started fleet fill from empty.
            await eventually("the burst is available", async () => (await act()).statusCode === 200);
            const refused = await act();
            assert.deepEqual([refused.statusCode, errorOf(refused).verdict], [429, "not-run"]);
            assert.ok(Number(refused.headers["retry-after"]) >= 1);
        });

        it("a caller that sends its body too slowly", async () => {
            const socket = connect(Number(router.split(":")[1]), "127.0.0.1");
            socket.write(
                `POST ${completions} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${demo.demoKey}\r\n`
                    + "content-length: 100\r\n\r\n{",
            );
            const [data] = await once(socket, "data") as [Buffer];
            assert.match(data.toString(), /^HTTP\/1.1 408 .*"verdict":"not-run"/s);
            socket.destroy();
        });
    });

    // Closing a connection with unread bytes resets it, and the caller may lose a response that has arrived already.
    it("refuses a body above the limit before its end, and the caller can still read the refusal", async () => {
        const body = Buffer.alloc(8_000_000);
        const received = await Promise.all(Array.from({ length: 20 }, () => send(router, "/holds", { body })));
        assert.deepEqual(
            received.map(({ statusCode, complete }) => [statusCode, complete]),
            received.map(() => [413, true]),
        );
    });

    describe("runs a non-idempotent operation", () => {
        const executionsOf = async (body: string) =>
            (await control<Executions>(service, "/admin/executions")).executions[body] ?? 0;

        it("once per idempotency key, and returns the same response to resends", async () => {
            const headers = { "idempotency-key": "hold-1" };
            const body = "{\"seat\":1}";
            const responses = await Promise.all([1, 2, 3].map(() => send(router, "/holds", { headers, body })));
            responses.forEach(response => assert.equal(response.text, responses[0]!.text));
            assert.equal(responses[0]!.headers["x-peridotloft-verdict"], "ran");
            assert.equal(await executionsOf(body), 1);
        });

        it("once per ticket, and refuses the ticket with another body", async () => {
            const issued = await send(router, "/v1/operations");
            assert.equal(issued.statusCode, 201);
            const { ticket } = JSON.parse(issued.text) as { ticket: string; };
            const headers = { "operation-ticket": ticket };
            const [first, second] = [
                await send(router, "/holds", { headers, body: "{\"seat\":2}" }),
                await send(router, "/holds", { headers, body: "{\"seat\":2}" }),
            ];
            assert.equal(first.text, second.text);
            assert.equal(await executionsOf("{\"seat\":2}"), 1);
            const other = await send(router, "/holds", { headers, body: "{\"seat\":3}" });
            assert.deepEqual([other.statusCode, errorOf(other).verdict], [422, "not-run"]);
            assert.equal(await executionsOf("{\"seat\":3}"), 0);
        });

        it("and returns the stored response to a resend of a customer above its rate limit (guards against a false not-run)", async () => {
            const hold = (name: string) =>
                send(router, "/holds", { key: tinyKey, headers: { "idempotency-key": name }, body: "{\"seat\":6}" });
            await eventually("the burst is available", async () => (await hold("hold-6")).statusCode === 201);
            const [resent, other] = [await hold("hold-6"), await hold("hold-7")];
            assert.deepEqual([resent.statusCode, resent.headers["x-peridotloft-verdict"]], [201, "ran"]);
            assert.deepEqual([other.statusCode, errorOf(other).verdict], [429, "not-run"]);
            assert.equal(await executionsOf("{\"seat\":6}"), 1);
        });

        it("and does not report not-run for a resend that is refused before its token is read", async () => {
            const headers = { "idempotency-key": "hold-8" };
            const body = "{\"seat\":8}";
            assert.equal((await send(router, "/holds", { headers, body })).statusCode, 201);
            const wrongKey = await send(router, "/holds", { headers, body, key: "unknown" });
            const tooLarge = await send(router, "/holds", { headers, body: "x".repeat(1_000_001) });
            assert.deepEqual([wrongKey.statusCode, errorOf(wrongKey).verdict], [401, "may-have-run"]);
            assert.deepEqual([tooLarge.statusCode, errorOf(tooLarge).verdict], [413, "may-have-run"]);
        });

        it("to completion when the key is withdrawn, but does not send its response to the caller", async () => {
            await control(service, "/admin/delay", "PUT", { delayMs: 700 });
            const body = "{\"seat\":5}";
            const pending = send(router, "/holds", { body, key: demo.secondDemoKey });
            await eventually("the service runs it", async () => await executionsOf(body) === 1);
            await control(service, "/admin/delay", "PUT", { delayMs: 0 });
            const remaining = fleet.document().keys?.filter(({ id }) => id !== "k2") ?? [];
            await fleet.publish(document => ({ ...document, keys: remaining }));
            const received = await pending;
            assert.deepEqual([received.statusCode, errorOf(received).code], [401, "key-withdrawn"]);
            assert.equal(errorOf(received).verdict, "may-have-run");
            await eventually(
                "the service ends it",
                async () => (await control<Executions>(service, "/admin/executions")).completed[body] === 1,
            );
        });

        it("to completion although the caller disconnected", async () => {
            await control(service, "/admin/delay", "PUT", { delayMs: 200 });
            const body = "{\"seat\":4}";
            const pending = open(router, "/holds", { body, headers: { "idempotency-key": "hold-4" } });
            await eventually("the service runs it", async () => await executionsOf(body) === 1);
            await control(service, "/admin/delay", "PUT", { delayMs: 0 });
            const resent = await send(router, "/holds", { body, headers: { "idempotency-key": "hold-4" } });
            assert.equal(resent.statusCode, 201);
            (await pending).request.destroy();
            assert.equal(await executionsOf(body), 1);
        });
    });

    it("serves open routes without a key", async () => {
        assert.equal((await send(router, "/register", { method: "GET", key: undefined })).statusCode, 200);
    });

    it("forwards no key to an upstream", async () => {
        await send(router, "/register", { method: "GET" });
        assert.equal((await control<EngineStats>(engine, "/admin/stats")).withKey, 0);
        assert.equal((await control<Executions>(service, "/admin/executions")).withKey, 0);
    });

    it("leaks no slot and no request", async () => {
        interface Status {
            readonly requestsInFlight: number;
            readonly scheduler: { readonly upstreams: readonly { readonly inFlight: number; }[]; };
        }
        await eventually("everything is idle", async () => {
            const status = await control<Status>(fleet.routers[0]!.adminListen, "/status");
            return status.requestsInFlight === 0 && status.scheduler.upstreams.every(({ inFlight }) => inFlight === 0);
        });
    });
});
