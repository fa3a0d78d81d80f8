// A request crashes each runner that begins to run it, right after the runner's first event. It comes again with the same path,
// caller and body, at one gateway after the other.
import { fileURLToPath } from "node:url";
import {
    configOf,
    createRecord,
    delay,
    isTroubled,
    nowMs,
    runCase,
    send,
    startGateways,
    startServer,
    startStore,
} from "../standins/Platform.mjs";

const contactMs = 3_000;
const maxLateRetries = 3;
const runnerCount = 8;
const eventCount = 6;
const eventGapMs = 30;
const restartMs = 2_000;
const heartbeatMs = 1_200;
const attempts = 25;
const attemptGapMs = 1_000;

/** A runner that is back under a new id some seconds after a crash. Its old entry goes after three heartbeats of silence. */
async function startRunner(number, store, record, crashes, arrivals) {
    let id;
    let bornMs;
    let starts = 0;
    let isDown = false;
    const register = () => {
        id = `i-${number}-${++starts}`;
        bornMs = Date.now();
        store.put(`servers/${id}`, {
            service: "llm",
            address: server.address,
            zone: `z${number % 2}`,
            version: "v1",
            slots: 128,
            state: "ready",
            cold_left_ms: 0,
            seq_no: 1,
            born: bornMs,
        });
    };
    const crash = () => {
        if (isDown) {
            return;
        }
        isDown = true;
        const endedId = id;
        crashes.push({ runner: endedId, atMs: nowMs() });
        record(`runner ${endedId} crashes (crash ${crashes.length})`);
        server.crash();
        setTimeout(() => store.remove(`servers/${endedId}`), 3 * heartbeatMs);
        setTimeout(async () => {
            await server.open();
            isDown = false;
            register();
        }, restartMs);
    };
    const server = await startServer("127.0.0.1", async (request, response, body) => {
        if (request.url === "/api/report") {
            response.writeHead(200, { "Content-Type": "application/json" });
            response.end(JSON.stringify({ phase: "unified", born: bornMs }));
            return;
        }
        if (request.headers["expect-instance"] !== id) {
            response.writeHead(421, { "Instance-Id": id, "Content-Length": 0 }).end();
            return;
        }
        const isPoison = body.toString() === "poison";
        if (isPoison) {
            arrivals.push({ runner: id, atMs: nowMs() });
            record(`the request reaches runner ${id} as ${request.headers["attempt-id"]}`);
        }
        record(`runner ${id} runs ${request.headers["attempt-id"]}`);
        await delay(20);
        response.writeHead(200, {
            "Content-Type": "text/event-stream",
            "Attempt-Id": request.headers["attempt-id"],
            "Server-Stamp": `stamp-${id}`,
        });
        for (let event = 1; event <= eventCount && !response.destroyed; event++) {
            response.write(`id: ${event}\ndata: piece ${event}\n\n`);
            await delay(eventGapMs);
            if (isPoison && isTroubled) {
                crash();
                return;
            }
        }
        response.end();
    });
    register();
    return server;
}

await runCase(async () => {
    const record = createRecord(fileURLToPath(new URL(".", import.meta.url)));
    const store = await startStore();
    const crashes = [];
    const arrivals = [];
    const runners = [];
    for (let number = 0; number < runnerCount; number++) {
        runners.push(await startRunner(number, store, record, crashes, arrivals));
    }
    store.put(
        "op/config",
        configOf(3, {
            host: "assistant.example",
            keys: ["key-1"],
            routes: [{
                name: "digest",
                prefix: "/digest/",
                type: "streaming",
                timeout_ms: 5_000,
                service: "llm",
                sticky: true,
                resumable: false,
                itl_target_ms: 400,
            }],
            services: [{
                name: "llm",
                health_path: "/healthz",
                max_conns: 610,
                cold_start_s: 0,
                cold_rate_s: 0,
                engine: { slots: 128, kv_capacity: 314_470 },
            }],
        }),
    );
    const fleet = await startGateways(2, { store });
    await delay(1_500);
    const ask = (gateway, text, part) =>
        send(gateway, {
            host: "assistant.example",
            path: "/digest/log",
            headers: {
                "Authorization": "Token key-1",
                "Model": "m",
                "Token-Usage": "300,24",
                "Prefix-Hash": `${part.toString(16)}:200,${(part * 7_919 + 5).toString(16)}:100`,
            },
            body: Buffer.from(text),
            deadlineMs: 5_000,
        });
    const soundAnswers = {};
    let isOver = false;
    const sound = (async () => {
        for (let number = 100; !isOver; number++) {
            void ask(fleet.gateways[number % 2], `sound ${number}`, number).then(({ id, sentMs, status, outcome }) => {
                const key = `${status ?? ""} ${outcome}`;
                record(`other request ${id}, sent ${sentMs}: ${key}`);
                soundAnswers[key] = (soundAnswers[key] ?? 0) + 1;
            });
            await delay(50);
        }
    })();
    for (let attempt = 0; attempt < attempts; attempt++) {
        const gateway = fleet.gateways[attempt % 2];
        const { id, sentMs, endMs, status, outcome } = await ask(gateway, "poison", 9);
        record(`attempt ${id} sent to ${gateway.name} at ${sentMs}: ${status ?? ""} ${outcome} at ${endMs}`);
        await delay(attemptGapMs);
    }
    isOver = true;
    await sound;
    await delay(600);
    const third = crashes[2];
    const late = arrivals.filter(({ atMs }) => third && atMs > third.atMs + contactMs).length;
    record(`other requests: ${JSON.stringify(soundAnswers)}`);
    record(`crashes: ${crashes.length}; arrivals of the request: ${arrivals.length}`);
    record(`arrivals later than ${contactMs} ms after its third crash: ${late} (limit ${maxLateRetries})`);
    fleet.gateways.forEach(gateway =>
        record(`${gateway.name}: ${fleet.linesOf(gateway, "quarantined").length} quarantines, ends ${JSON.stringify(gateway.exits)}`)
    );
    await fleet.close();
    return late > maxLateRetries;
});
