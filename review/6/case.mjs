// A request crashes each runner that begins to run it, before the first event. The runners are back after 2 s under the ids that they
// had; their entries in the store follow 1 s later, within a heartbeat. The request comes again every 4 s.
import * as http from "node:http";
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import * as lib from "../standins-2/lib.mjs";

const folder = path.dirname(fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== "0";
const contactMs = 3_000;
const maxLate = 3;
const runnerCount = 8;
const restartMs = 2_000;
const entryDelayMs = 1_000;
const attemptCount = 16;
const attemptGapMs = 4_000;
const soundGapMs = 20;
const record = lib.openRecord(folder);
const temporary = lib.temporaryFolder();
const crashes = [];
const arrivals = [];

/** An engine that streams three events. It is down for a time after a crash, and back under its id and address. */
async function startEngine(number, store) {
    const id = `i-${number}`;
    const sockets = new Set();
    let born = Date.now();
    let sequence = 0;
    let port = 0;
    let isDown = false;
    const register = () =>
        store.put(`servers/${id}`, {
            service: "llm",
            address: `127.0.0.1:${port}`,
            zone: `z${number % 2 + 1}`,
            version: "v1",
            slots: 128,
            state: "ready",
            cold_left_ms: 0,
            seq_no: ++sequence,
            born,
        });
    function crash() {
        if (isDown) {
            return;
        }
        isDown = true;
        crashes.push({ id, atMs: lib.elapsedMs() });
        record.write("runner crashes", { id, crash: crashes.length });
        server.close();
        sockets.forEach(socket => socket.resetAndDestroy());
        setTimeout(() => {
            server.listen(port, "127.0.0.1", () => {
                isDown = false;
                born = Date.now();
                sequence = 0;
                record.write("runner is back", { id });
                setTimeout(register, entryDelayMs);
            });
        }, restartMs);
    }
    const server = http.createServer((request, response) => {
        const { headers } = request;
        if (request.url === "/api/report") {
            const body = JSON.stringify({ phase: "unified", models: [], busy: false, seq_no: sequence, born });
            return response.writeHead(200, { "Content-Type": "application/json" }).end(body);
        }
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk)).on("error", () => undefined).on("end", async () => {
            if (headers["expect-instance"] !== undefined && headers["expect-instance"] !== id) {
                return response.writeHead(421, {
                    "Attempt-Id": headers["attempt-id"],
                    "Not-Executed": "1",
                    "Content-Length": "0",
                }).end();
            }
            if (Buffer.concat(chunks).toString() === "deadly") {
                arrivals.push({ id, atMs: lib.elapsedMs() });
                record.write("the request reaches a runner", { id, attempt: headers["attempt-id"] });
                if (hasTrouble) {
                    return setTimeout(crash, 20);
                }
            }
            await lib.delay(20);
            response.on("error", () => undefined).writeHead(200, {
                "Content-Type": "text/event-stream",
                "Attempt-Id": headers["attempt-id"],
                "Server-Stamp": `stamp.${id}`,
            });
            for (let event = 1; event <= 3 && !response.destroyed; event++) {
                response.write(`id: ${event}\ndata: piece ${event}\n\n`);
                await lib.delay(20);
            }
            response.end();
        });
    });
    server.keepAliveTimeout = 15_000;
    server.on("connection", socket => {
        sockets.add(socket.on("error", () => undefined));
        socket.once("close", () => sockets.delete(socket));
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    ({ port } = server.address());
    register();
}

let exitCode = 2;
let gateways = [];
const store = await lib.startStore();
try {
    const config = lib.configOf(10, {
        routes: [{
            name: "r-digest",
            prefix: "/digest/",
            type: "streaming",
            service: "llm",
            timeout_ms: 5_000,
            slo_ms: 600,
            priority: 1,
            sticky: true,
            itl_target_ms: 400,
        }],
        tenants: [{ name: "tenant-a", api_keys: ["key-1"] }],
        services: [],
    });
    config.services.push({
        name: "llm",
        health_path: "/healthz",
        max_conns: 610,
        cold_start_s: 0,
        cold_rate_s: 0,
        engine: { slots: 128, kv_capacity: 314_470 },
    });
    store.put("op/config", config);
    await Promise.all(Array.from({ length: runnerCount }, (_, number) => startEngine(number + 1, store)));
    gateways = await lib.startGateways({
        addresses: ["127.0.6.1", "127.0.6.2"],
        zones: ["z1", "z2"],
        store,
        record,
        folder: temporary,
    });
    await lib.delay(1_500);
    const ask = (gateway, body, part) =>
        lib.send(gateway, {
            path: "/digest/log",
            method: "POST",
            key: "key-1",
            deadlineMs: 5_000,
            body,
            headers: {
                "Model": "m",
                "Token-Usage": "300,12",
                "Prefix-Hash": `${part.toString(16)}:200,${(part * 7_919 + 5).toString(16)}:100`,
            },
        });
    const soundStatuses = {};
    let isOver = false;
    const sound = (async () => {
        const calls = [];
        for (let number = 100; !isOver; number++) {
            calls.push(ask(gateways[number % 2], `sound ${number}`, 100 + number % 40).then(({ status }) => {
                soundStatuses[status] = (soundStatuses[status] ?? 0) + 1;
            }));
            await lib.delay(soundGapMs);
        }
        await Promise.all(calls);
    })();
    await lib.delay(1_000);
    for (let attempt = 0; attempt < attemptCount; attempt++) {
        const startMs = lib.elapsedMs();
        const answer = await ask(gateways[attempt % 2], "deadly", 9);
        record.write("client of the request gets", { id: answer.id, sentMs: answer.sentMs, status: answer.status });
        await lib.delay(Math.max(0, startMs + attemptGapMs - lib.elapsedMs()));
    }
    isOver = true;
    await sound;
    const third = crashes[2];
    const late = arrivals.filter(({ atMs }) => third !== undefined && atMs > third.atMs + contactMs).length;
    record.write("verdict", {
        attempts: attemptCount,
        arrivals: arrivals.length,
        crashes: crashes.length,
        lateArrivals: late,
        allowed: maxLate,
        soundStatuses,
        quarantines: gateways.map(({ log }) => log.split("\n").filter(line => line.includes("\"quarantined\"")).length),
        exits: gateways.map(({ exit }) => exit),
    });
    exitCode = late > maxLate ? 1 : (soundStatuses[200] ?? 0) > 0 ? 0 : 2;
    console.log(`${late} arrivals later than ${contactMs} ms after the third crash; ${maxLate} are allowed`);
}
catch (error) {
    record.write("case could not run", { error: String(error) });
    console.error(error);
}
finally {
    await lib.stopGateways(gateways);
    store.close();
    record.save();
}
process.exit(exitCode);
