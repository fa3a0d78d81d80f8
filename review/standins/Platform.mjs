// A small deployment on loopback for the scripts of the review: the platform's store, runners, clients, and gateway processes
// started with the command of the deploy file. The stand-ins do what the users' pages state and nothing else.
import * as child from "node:child_process";
import { once } from "node:events";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import { fileURLToPath } from "node:url";

export const repository = fileURLToPath(new URL("../..", import.meta.url));
export const delay = ms => new Promise(resolve => setTimeout(resolve, ms));
export const isTroubled = process.env.TROUBLE !== "0";
const startedMs = performance.now();
/** Time in ms since the script began. */
export const nowMs = () => Math.round(performance.now() - startedMs);

/** Writes what happened to record.txt in the folder of the case. */
export function createRecord(folder) {
    const file = path.join(folder, "record.txt");
    fs.writeFileSync(file, `${isTroubled ? "with" : "without"} the disruption\n`);
    return text => fs.appendFileSync(file, `${String(nowMs()).padStart(7)} ms  ${text}\n`);
}

export async function freePort(host = "127.0.0.1") {
    const server = net.createServer().listen(0, host);
    await once(server, "listening");
    const { port } = server.address();
    server.close();
    await once(server, "close");
    return port;
}

/** The platform's store: reads and watches only, as PROTOCOL.md describes them. */
export async function startStore() {
    const items = new Map();
    const history = [];
    const watches = new Set();
    let revision = 100;
    let isDown = false;
    const sockets = new Set();
    const server = http.createServer((request, response) => {
        if (isDown) {
            return;
        }
        const url = new URL(request.url, "http://store");
        const prefix = url.searchParams.get("prefix") ?? "";
        const send = (status, value) => {
            if (!isDown) {
                response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(value));
            }
        };
        if (url.pathname === "/api/kv-key") {
            const item = items.get(url.searchParams.get("key"));
            return item ? send(200, { ...item, current_rev: revision }) : send(404, { current_rev: revision });
        }
        if (url.pathname === "/api/kv-range") {
            const entries = [...items.values()].filter(({ key }) => key.startsWith(prefix))
                .sort((left, right) => left.key < right.key ? -1 : 1);
            return send(200, { entries, has_more: false, current_rev: revision });
        }
        if (url.pathname !== "/api/kv-watch") {
            return send(404, {});
        }
        const after = Number(url.searchParams.get("after"));
        const pending = () => history.filter(item => item.revision > after && item.key.startsWith(prefix));
        const answer = () => {
            clearTimeout(timer);
            watches.delete(watch);
            send(200, { events: pending(), current_rev: revision });
        };
        const watch = () => pending().length > 0 && answer();
        const timer = setTimeout(answer, Math.min(30_000, Number(url.searchParams.get("wait_ms"))));
        watches.add(watch);
        response.once("close", () => {
            clearTimeout(timer);
            watches.delete(watch);
        });
        watch();
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("error", () => undefined).once("close", () => sockets.delete(socket));
        if (isDown) {
            socket.resetAndDestroy();
        }
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const publish = item => {
        history.push(item);
        [...watches].forEach(watch => watch());
    };
    return {
        address: `127.0.0.1:${server.address().port}`,
        put(key, value) {
            const item = {
                key,
                value: Buffer.from(JSON.stringify(value)).toString("base64"),
                revision: ++revision,
                created: items.get(key)?.created ?? revision,
                lease: 0,
            };
            items.set(key, item);
            publish(item);
        },
        remove(key) {
            if (items.delete(key)) {
                publish({ key, revision: ++revision, removed: true });
            }
        },
        /** While it is down, it resets the connections to it. */
        setDown(value) {
            isDown = value;
            if (isDown) {
                sockets.forEach(socket => socket.resetAndDestroy());
            }
        },
        close() {
            server.close();
            server.closeAllConnections();
        },
    };
}

/** An HTTP server at a fixed address. `handle` gets each request with its whole body. */
export async function startServer(host, handle) {
    const sockets = new Set();
    let port = 0;
    let server;
    async function open() {
        server = http.createServer((request, response) => {
            const chunks = [];
            request.on("data", chunk => chunks.push(chunk)).on("error", () => undefined);
            request.on("end", () => handle(request, response, Buffer.concat(chunks)));
        });
        server.keepAliveTimeout = 5_000;
        server.on("connection", socket => {
            sockets.add(socket);
            socket.on("error", () => undefined).once("close", () => sockets.delete(socket));
        });
        server.listen(port, host);
        await once(server, "listening");
        port = server.address().port;
    }
    await open();
    return {
        address: `${host}:${port}`,
        open,
        /** Ends it as a crash does: resets all connections and refuses new ones. */
        crash() {
            server.close();
            sockets.forEach(socket => socket.resetAndDestroy());
        },
        close() {
            server.close();
            server.closeAllConnections();
        },
    };
}

/** The command of the gateway in deploy/system.toml. */
function gatewayCommand() {
    const text = fs.readFileSync(path.join(repository, "deploy/system.toml"), "utf8");
    return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/**
 * Starts gateways as processes, with settings as in DEPLOY.md, and waits until they are ready. A process that ends is started
 * again after a short delay, as the platform does.
 */
export async function startGateways(count, { store, bounds = {}, limits = {}, hostPrefix = "127.0.71." }) {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
    const hosts = Array.from({ length: count }, (_, index) => `${hostPrefix}${index + 1}`);
    const [frontend, readiness, control, first] = await portsFreeOn(hosts);
    let isStopped = false;
    const gateways = hosts.map((host, index) => {
        const name = `edge-${index + 1}`;
        const file = path.join(folder, `${name}.json`);
        const zone = `z${index % 2}`;
        fs.writeFileSync(file, JSON.stringify({
            node_name: name,
            role: "gateway",
            machine_class: "edge",
            serves: ["edge", "control_plane"],
            ip: host,
            zone,
            region: "r",
            zones: { z0: "r", z1: "r" },
            listen: { frontend: `${host}:${frontend}`, readiness: `${host}:${readiness}`, control: `${host}:${control}` },
            internal_ports: [first, first + 15],
            seeds: hosts.slice(0, 3).map(seed => `${seed}:${control}`),
            bootstrap: false,
            limits: { cpu_share: 0.675, cores: 1, memory_mb: 200, max_fds: 4_100, link_mbps: 1_000, disk_mb: 0, ...limits },
            data_dir: null,
            discovery: "platform",
            heartbeat_ms: 1_200,
            bounds: {
                contact_ms: 3_000,
                drain_ms: 2_000,
                grace_s: 8,
                config_apply_ms: 2_000,
                strict_revoke: true,
                revoke_ms: 5_000,
                ...bounds,
            },
            platform: { address: store.address, form: "read", reads_per_s: 2_000, history_s: 20, value_bytes: 1_048_576 },
        }));
        const gateway = { name, host, port: frontend, readiness, process: undefined, exits: [], log: path.join(folder, `${name}.log`) };
        const start = () => {
            const [program, ...args] = gatewayCommand();
            const output = fs.openSync(gateway.log, "a");
            gateway.process = child.spawn(program, args, {
                cwd: repository,
                env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, PERIDOTLOFT_SETTINGS: file },
                stdio: ["ignore", output, output],
            });
            fs.closeSync(output);
            gateway.process.once("exit", (code, signal) => {
                gateway.exits.push({ atMs: nowMs(), code, signal });
                gateway.process = undefined;
                if (!isStopped) {
                    setTimeout(() => isStopped || start(), 300);
                }
            });
        };
        start();
        return gateway;
    });
    const isReady = ({ host, readiness: port }) =>
        new Promise(resolve => {
            const request = http.get({ host, port, path: "/api/readyz", agent: false, timeout: 1_000 }, response => {
                response.resume();
                resolve(response.statusCode === 200);
            });
            request.on("error", () => resolve(false)).on("timeout", () => request.destroy());
        });
    const waitUntilReady = async () => {
        for (const gateway of gateways) {
            for (let waitedMs = 0; !await isReady(gateway); waitedMs += 100) {
                if (waitedMs > 20_000) {
                    throw new Error(`${gateway.name} is not ready`);
                }
                await delay(100);
            }
        }
    };
    await waitUntilReady();
    return {
        gateways,
        isReady,
        waitUntilReady,
        linesOf: ({ log }, event) =>
            fs.readFileSync(log, "utf8").split("\n").filter(line => line.includes(`"event":"${event}"`)),
        async close() {
            isStopped = true;
            await Promise.all(gateways.map(async ({ process: running }) => {
                if (running) {
                    const exited = once(running, "exit");
                    running.kill("SIGCONT");
                    running.kill("SIGKILL");
                    await exited;
                }
            }));
            fs.rmSync(folder, { recursive: true, force: true });
        },
    };
}

/** Ports for the entry, readiness and control, and the first of sixteen internal ones, that are free on all hosts. */
async function portsFreeOn(hosts) {
    for (;;) {
        const first = 20_000 + Math.floor(Math.random() * 10_000);
        const ports = Array.from({ length: 19 }, (_, index) => first + index);
        const isFree = (host, port) =>
            new Promise(resolve => {
                const server = net.createServer().once("error", () => resolve(false));
                server.listen(port, host, () => server.close(() => resolve(true)));
            });
        const results = await Promise.all(hosts.flatMap(host => ports.map(port => isFree(host, port))));
        if (results.every(Boolean)) {
            return [ports[0], ports[1], ports[2], ports[3]];
        }
    }
}

let requests = 0;
export const nextId = () => `${(++requests).toString(16).padStart(8, "0")}${Math.random().toString(16).slice(2, 10)}`;

/** Sends a request as a client does. Resolves with what the client saw; never rejects. */
export function send(gateway, { method = "POST", host, path: target, headers = {}, body, deadlineMs, id = nextId(), agent = false, onEvent }) {
    return new Promise(resolve => {
        const sentMs = nowMs();
        let status;
        let text = "";
        const finish = (outcome, response) => {
            clearTimeout(timer);
            resolve({ id, sentMs, endMs: nowMs(), status, outcome, text, headers: response?.headers ?? {} });
        };
        const request = http.request({
            host: gateway.host,
            port: gateway.port,
            method,
            path: target,
            agent,
            headers: {
                "Host": host,
                "Attempt-Id": id,
                "Deadline-Ms": String(deadlineMs),
                ...(body === undefined ? {} : { "Content-Length": String(body.length) }),
                ...headers,
            },
        });
        const timer = setTimeout(() => {
            request.destroy();
            finish("deadline");
        }, deadlineMs + 100);
        request.on("error", error => finish(`error ${error.code ?? error.message}`));
        request.on("response", response => {
            status = response.statusCode;
            response.on("data", chunk => {
                text += chunk.toString("latin1");
                onEvent?.(text, request);
            });
            response.on("error", () => undefined);
            response.on("close", () => finish(response.complete ? "complete" : "cut", response));
        });
        request.end(body);
    });
}

/** A configuration with one host, one service and one key. */
export function configOf(version, { host, routes, services, keys }) {
    return {
        version,
        routes: routes.map(route => ({
            priority: 1,
            max_attempts: 1,
            slo_ms: 600,
            public: false,
            host,
            ...route,
        })),
        services,
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: [{ name: "tenant-1", api_keys: keys }],
    };
}

/** Runs a case; exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
export async function runCase(run) {
    // The platform ends what a case leaves behind.
    const watchdog = setTimeout(() => {
        process.stderr.write("the case takes too long\n");
        process.exit(2);
    }, 118_000);
    watchdog.unref();
    try {
        const isBroken = await run();
        process.exit(isBroken ? 1 : 0);
    }
    catch (error) {
        process.stderr.write(`${error.stack ?? error}\n`);
        process.exit(2);
    }
}
