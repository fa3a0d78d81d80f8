import type * as documents from "@peridotloft/document";
import * as idempotency from "@peridotloft/idempotency";
import { createHash } from "node:crypto";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { type AddressInfo, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { type StartedProcess, startProcess, stopProcesses } from "./ChildProcesses.js";
import type { EngineOptions } from "./EngineOptions.js";

/** First port of each kind of process; further processes use the following ports. */
export interface FleetPorts {
    readonly platform: number;
    readonly routers: number;
    readonly admin: number;
}

/** Composition of a fleet on loopback. */
export interface FleetOptions {
    readonly zones: readonly string[];
    readonly routers: number;
    readonly engines: number;
    readonly services: number;
    readonly engineOptions?: Partial<EngineOptions>;
    /** Idempotency window in ms. */
    readonly idempotencyWindowMs?: number;
    /** Whether to wait until the routers accept idempotency keys, one window after the start; true by default. */
    readonly awaitIdempotencyKeys?: boolean;
    /** TCP ports; free ports by default. */
    readonly ports?: FleetPorts;
    /** Changes the initial document before it is published. */
    adjustDocument?(document: documents.FleetDocumentInput): documents.FleetDocumentInput;
    /** Additional fields of the routers' settings. */
    readonly routerSettings?: Readonly<Record<string, unknown>>;
}

/** A fleet of processes on loopback: one platform, routers, engines and plain services. */
export interface Fleet {
    readonly platform: StartedProcess;
    readonly routers: readonly StartedProcess[];
    readonly engines: readonly StartedProcess[];
    readonly services: readonly StartedProcess[];
    /** Returns the document that was published last. */
    document(): documents.FleetDocumentInput;
    /** Publishes a changed document with the next version. Rejects if the platform rejects it. */
    publish(change: (document: documents.FleetDocumentInput) => documents.FleetDocumentInput): Promise<void>;
    /** Starts a router again with the same settings. */
    startRouter(index: number): Promise<StartedProcess>;
    stop(): Promise<void>;
}

/** API key of the customer `north-depot`. */
export const demoKey = "demo-key-north-depot";
export const secondDemoKey = "demo-key-harbour";
export const demoModel = "assistant-small";

const stopTimeoutMs = 5_000;
const readyTimeoutMs = 20_000;
const readyPollMs = 50;
const loanLifetimeMs = 500;
const defaultIdempotencyWindowMs = 1_000;
// A restarted router spends no tokens for the loan lifetime and a margin; then its buckets fill from empty.
const bucketRefillMs = 500;

const standInEntry = (name: string) => fileURLToPath(new URL(`./${name}Main.js`, import.meta.url));
const routerEntry = fileURLToPath(new URL("../../../router/dist/src/main.js", import.meta.url));

/** Starts a fleet and waits until it serves requests. If a process fails to start, stops the others. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
    const settingsFolder = await mkdtemp(join(tmpdir(), "peridotloft-"));
    const started: StartedProcess[] = [];
    const start = async (name: string, entry: string, args: readonly string[]): Promise<StartedProcess> => {
        const process = await startProcess(name, entry, args);
        started.push(process);
        return process;
    };
    const startStandIn = (name: string, kind: string, standInOptions: unknown) =>
        start(name, standInEntry(kind), ["--options", JSON.stringify(standInOptions)]);
    const stop = async (): Promise<void> => {
        await stopProcesses(started, stopTimeoutMs);
        await rm(settingsFolder, { recursive: true, force: true });
    };
    try {
        const engines = await Promise.all(
            range(options.engines).map(index => startStandIn(`e${index + 1}`, "Engine", options.engineOptions ?? {})),
        );
        const services = await Promise.all(
            range(options.services).map(index => startStandIn(`s${index + 1}`, "Service", {})),
        );
        const peerAddresses = await findFreeAddresses(options.routers);
        const defaultDocument = makeDocument(options, peerAddresses, engines, services);
        let document = options.adjustDocument?.(defaultDocument) ?? defaultDocument;
        const platform = await startStandIn("platform", "Platform", { document, port: options.ports?.platform ?? 0 });

        const startRouter = async (index: number): Promise<StartedProcess> => {
            const settings = makeSettings(options, peerAddresses, index, platform.listen);
            const file = join(settingsFolder, `${settings.vmId}.json`);
            await writeFile(file, JSON.stringify(settings));
            return start(settings.vmId, routerEntry, ["--settings", file]);
        };
        const routers = await Promise.all(range(options.routers).map(startRouter));
        await Promise.all(routers.map(waitUntilReady));
        await waitUntilServing(document, options.awaitIdempotencyKeys ?? true);
        return {
            platform,
            routers,
            engines,
            services,
            document: () => document,
            async publish(change) {
                const next = { ...change(document), version: document.version + 1 };
                const response = await fetch(`http://${platform.listen}/v1/document`, {
                    method: "PUT",
                    body: JSON.stringify(next),
                });
                if (!response.ok) {
                    throw new Error(`the platform rejected the document: ${await response.text()}`);
                }
                document = next;
            },
            startRouter,
            stop,
        };
    }
    catch (error) {
        await stop();
        throw error;
    }
}

/** Waits until a router's health check reports that it is ready. Rejects after 20 s. */
export async function waitUntilReady(router: StartedProcess): Promise<void> {
    const endMs = performance.now() + readyTimeoutMs;
    while (performance.now() < endMs) {
        const response = await fetch(`http://${router.adminListen}/healthz/ready`).catch(() => undefined);
        if (response?.ok === true) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, readyPollMs));
    }
    throw new Error(`${router.name} is not ready after ${readyTimeoutMs} ms`);
}

/** Waits until a fleet that started without state has tokens to spend and, optionally, accepts idempotency keys. */
function waitUntilServing(document: documents.FleetDocumentInput, awaitIdempotencyKeys: boolean): Promise<void> {
    const { fleet = {} } = document;
    const keyAcceptanceMs = awaitIdempotencyKeys ? (fleet.idempotencyWindowMs ?? 0) + idempotency.maxAttemptAgeMs : 0;
    const waitMs = Math.max((fleet.loanLifetimeMs ?? 0) + bucketRefillMs, keyAcceptanceMs);
    return new Promise(resolve => setTimeout(resolve, waitMs));
}

function makeDocument(
    options: FleetOptions,
    peerAddresses: readonly string[],
    engines: readonly StartedProcess[],
    services: readonly StartedProcess[],
): documents.FleetDocumentInput {
    const sha256Hex = (key: string) => createHash("sha256").update(key).digest("hex");
    const zoneOf = (index: number) => options.zones[index % options.zones.length] ?? "a";
    const upstreams = (processes: readonly StartedProcess[], slots: number, coldSlots: number) =>
        processes.map(({ name, listen }, index) => ({
            id: name,
            zone: zoneOf(index),
            url: `http://${listen}`,
            slots,
            coldSlots,
        }));
    return {
        version: 1,
        fleet: {
            loanLifetimeMs,
            idempotencyWindowMs: options.idempotencyWindowMs ?? defaultIdempotencyWindowMs,
        },
        zones: options.zones.map(id => ({ id, region: "demo" })),
        vms: peerAddresses.map((peerAddress, index) => ({ id: `vm-${index + 1}`, zone: zoneOf(index), peerAddress })),
        customers: [
            { id: "north-depot", rateCostPerS: 20_000, burstCost: 80_000 },
            { id: "harbour", rateCostPerS: 20_000, burstCost: 80_000 },
        ],
        keys: [
            { id: "k1", customer: "north-depot", sha256: sha256Hex(demoKey) },
            { id: "k2", customer: "harbour", sha256: sha256Hex(secondDemoKey) },
        ],
        pools: [
            { id: "assistant", kind: "engine", models: [demoModel], upstreams: upstreams(engines, 8, 1) },
            ...(services.length === 0
                ? []
                : [{ id: "register", kind: "service" as const, upstreams: upstreams(services, 32, 4) }]),
        ],
        routes: services.length === 0 ? [] : [
            { id: "holds", method: "POST", path: "/holds", pool: "register", idempotent: false },
            { id: "register", method: "POST", path: "/register", pool: "register", idempotent: false },
            { id: "list", method: "GET", path: "/register", pool: "register", idempotent: true, open: true },
        ],
    };
}

function makeSettings(
    options: FleetOptions,
    peerAddresses: readonly string[],
    index: number,
    platformListen: string,
) {
    return {
        vmId: `vm-${index + 1}`,
        zone: options.zones[index % options.zones.length] ?? "a",
        listen: addressOf(options.ports?.routers, index),
        peerListen: peerAddresses[index] ?? "",
        adminListen: addressOf(options.ports?.admin, index),
        platformUrls: [`http://${platformListen}`],
        seedPeers: peerAddresses
            .map((address, peer) => ({ vmId: `vm-${peer + 1}`, address }))
            .filter((_, peer) => peer !== index),
        peerSecret: "demonstration-secret",
        ...options.routerSettings,
    };
}

function addressOf(firstPort: number | undefined, index: number): string {
    return `127.0.0.1:${firstPort === undefined ? 0 : firstPort + index}`;
}

/** Finds free ports on loopback. If another process binds one of them before the fleet does, the start fails. */
async function findFreeAddresses(count: number): Promise<string[]> {
    const servers = await Promise.all(
        range(count).map(() =>
            new Promise<ReturnType<typeof createServer>>(resolve => {
                const server = createServer().listen(0, "127.0.0.1", () => resolve(server));
            })
        ),
    );
    return Promise.all(servers.map(server => {
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        return new Promise<string>(resolve => server.close(() => resolve(address)));
    }));
}

function range(count: number): number[] {
    return Array.from({ length: count }, (_, index) => index);
}
