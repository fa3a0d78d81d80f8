// Measures gossip, document distribution and peer calls of a fleet, and prints markdown tables. Takes up to 3 minutes.
// Usage: node packages/bench/dist/src/gossipFleet.js [SEED]
import * as feeds from "@peridotloft/document-feed";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { type BenchFleet, createBenchFleet, createDocumentTexts, vmIds } from "./benchFleet.js";
import { measureCallRate, measureConnectionMemory, measureWireOverhead } from "./wireOverhead.js";

const seed = Number(process.argv[2] ?? 20_260_801);
const fleets = [
    { size: 9, zones: 3 },
    { size: 24, zones: 3 },
    { size: 72, zones: 6 },
    { size: 180, zones: 12 },
    { size: 360, zones: 12 },
];
const warmUpMs = 8_000;
const steadyMs = 10_000;
const versionPeriodMs = 3_600; // 24,000 changes a day
const measuredVersions = 5;
const memoryConnections = 300;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

interface FleetRow {
    readonly size: number;
    readonly gossipBytesPerS: number;
    readonly allBytesPerS: number;
    /** Largest time in ms from publication to adoption by 95% of the VMs. */
    readonly adoptedBy95Ms: number;
    /** Largest time in ms from publication to adoption by all VMs. */
    readonly adoptedByAllMs: number;
    /** Time in ms from publication to adoption by all VMs while only the last VM can reach the configuration service. */
    readonly adoptedByAllWithOneReaderMs: number;
    readonly platformCallsPerS: number;
    readonly messagesPerS: number;
    readonly cpuMsPerVmS: number;
    readonly heapKbPerVm: number;
    readonly notAlive: number;
}

const readHeapBytes = (): number => {
    collectGarbage();
    return process.memoryUsage().heapUsed;
};
const readCpuMs = (): number => {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1_000;
};

async function publishVersions(fleet: BenchFleet, first: number, count: number): Promise<void> {
    for (let version = first; version < first + count; version++) {
        fleet.publish(version);
        await fleet.clock.advance(versionPeriodMs);
    }
}

async function measureFleet({ size, zones }: { size: number; zones: number; }): Promise<FleetRow> {
    const heapBefore = readHeapBytes();
    const textOf = createDocumentTexts(size, zones, 0);
    const fleet = createBenchFleet({ size, zones, seed, textOf, createHistory: feeds.createPatchHistory });
    await fleet.clock.advance(warmUpMs);
    const heapKbPerVm = (readHeapBytes() - heapBefore) / size / 1_024;
    const before = { ...fleet.sent(), calls: fleet.calls(), service: fleet.service.calls(), cpu: readCpuMs() };
    await fleet.clock.advance(steadyMs);
    const perS = (value: number): number => value * 1_000 / steadyMs;
    const steady = {
        gossip: perS(fleet.sent().gossip - before.gossip) / size,
        service: perS(fleet.service.calls() - before.service),
        messages: perS(fleet.calls() - before.calls) / size,
        cpu: perS(readCpuMs() - before.cpu) / size,
    };
    const notAlive = fleet.notAliveRatio();
    const sentBefore = fleet.sent();
    await publishVersions(fleet, 2, measuredVersions);
    const sentAfter = fleet.sent();
    const changesS = measuredVersions * versionPeriodMs / 1_000;
    const bytes = sentAfter.gossip - sentBefore.gossip + sentAfter.documents - sentBefore.documents;
    const adoptions = Array.from({ length: measuredVersions }, (_, index) => fleet.adoptionsMs(index + 2));
    const adoptionMsAt = (share: number): number =>
        Math.max(...adoptions.map(times => times[Math.ceil(size * share) - 1] ?? Number.POSITIVE_INFINITY));
    const adoptedByAllWithOneReaderMs = await measureOneReader(fleet, size);
    return {
        size,
        gossipBytesPerS: steady.gossip,
        allBytesPerS: bytes / changesS / size,
        adoptedBy95Ms: adoptionMsAt(0.95),
        adoptedByAllMs: adoptionMsAt(1),
        adoptedByAllWithOneReaderMs,
        platformCallsPerS: steady.service,
        messagesPerS: steady.messages,
        cpuMsPerVmS: steady.cpu,
        heapKbPerVm,
        notAlive,
    };
}

async function measureOneReader(fleet: BenchFleet, size: number): Promise<number> {
    fleet.service.setResponseMode("unresponsive");
    fleet.service.setResponseMode("normal", vmIds(size)[size - 1]);
    await fleet.clock.advance(warmUpMs);
    const version = measuredVersions + 2;
    await publishVersions(fleet, version, 1);
    await fleet.clock.advance(warmUpMs);
    return fleet.adoptionsMs(version)[size - 1] ?? Number.POSITIVE_INFINITY;
}

interface DocumentRow {
    readonly bytes: number;
    readonly fullText: DocumentCost;
    readonly patches: DocumentCost;
}

interface DocumentCost {
    readonly exchangedBytesPerS: number;
    readonly allBytesPerS: number;
    readonly platformBytesPerS: number;
    readonly cpuMsPerAdoption: number;
}

const documentFleet = { size: 24, zones: 1 };
const createEmptyHistory = (): feeds.PatchHistory => ({ add: () => undefined, patchesFrom: () => undefined });

async function measureDocument(bytes: number, createHistory: () => feeds.PatchHistory): Promise<DocumentCost> {
    const { size, zones } = documentFleet;
    const textOf = createDocumentTexts(size, zones, bytes);
    const fleet = createBenchFleet({ size, zones, seed, textOf, createHistory });
    await fleet.clock.advance(warmUpMs);
    const before = { ...fleet.sent(), service: fleet.service.bytesSent(), cpu: readCpuMs() };
    const versions = bytes > 500_000 ? 4 : 8;
    await publishVersions(fleet, 2, versions);
    const after = fleet.sent();
    const perVmAndS = (value: number): number => value * 1_000 / (versions * versionPeriodMs) / size;
    return {
        exchangedBytesPerS: perVmAndS(after.documents - before.documents),
        allBytesPerS: perVmAndS(after.documents - before.documents + after.gossip - before.gossip),
        platformBytesPerS: perVmAndS(fleet.service.bytesSent() - before.service),
        cpuMsPerAdoption: (readCpuMs() - before.cpu) / versions / size,
    };
}

function printTable(title: string, head: readonly string[], rows: readonly (readonly (string | number)[])[]): void {
    const format = (cell: string | number): string => typeof cell === "string" ? cell : formatNumber(cell);
    console.log(`\n### ${title}\n`);
    console.log(`| ${head.join(" | ")} |`);
    console.log(`|${head.map(() => "---:").join("|")}|`);
    rows.forEach(row => console.log(`| ${row.map(format).join(" | ")} |`));
}

function formatNumber(value: number): string {
    return Number.isInteger(value) || Math.abs(value) >= 100
        ? String(Math.round(value))
        : value.toPrecision(3);
}

/** Slope of the least-squares line through the points. */
function slopeOf(points: readonly { readonly x: number; readonly y: number; }[]): number {
    const meanX = points.reduce((sum, { x }) => sum + x, 0) / points.length;
    const meanY = points.reduce((sum, { y }) => sum + y, 0) / points.length;
    const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
    return covariance / points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
}

async function measureSequentially<T, R>(items: readonly T[], measure: (item: T) => Promise<R>): Promise<R[]> {
    const results: R[] = [];
    for (const item of items) {
        results.push(await measure(item));
    }
    return results;
}

async function reportWire(): Promise<void> {
    const overheads = await measureSequentially([0, 100, 1_000], measureWireOverhead);
    printTable(
        "Bytes that one call adds on a loopback HTTP/2 connection (TCP payload; reply of 25 bytes)",
        ["payload bytes", "request", "reply"],
        overheads.map(row => [row.payloadBytes, row.requestBytes, row.replyBytes]),
    );
    const rates = await measureSequentially([1, 16], concurrency => measureCallRate(concurrency, 2_000));
    printTable(
        "Calls on one core, with sender and receiver in one process",
        ["concurrent calls", "calls/s", "CPU ms per call"],
        rates.map(row => [row.concurrency, row.callsPerS, row.cpuMsPerCall]),
    );
    printTable("Resident memory per connection, with both ends and the receiving node", [
        "connections",
        "KB per connection",
    ], [
        [memoryConnections, await measureConnectionMemory(memoryConnections)],
    ]);
}

async function reportFleets(): Promise<void> {
    const rows = await measureSequentially(fleets, measureFleet);
    printTable(
        `Fleet on virtual time, seed ${seed}`,
        [
            "VMs",
            "gossip bytes/s per VM",
            "all bytes/s per VM at 24,000 changes a day",
            "adopted by 95%, worst ms",
            "adopted by all, worst ms",
            "adopted by all with one reader, ms",
            "platform calls/s",
            "calls sent/s per VM",
            "CPU ms per VM-second",
            "heap KB per VM",
            "peers not alive",
        ],
        rows.map(row => [
            row.size,
            row.gossipBytesPerS,
            row.allBytesPerS,
            row.adoptedBy95Ms,
            row.adoptedByAllMs,
            row.adoptedByAllWithOneReaderMs,
            row.platformCallsPerS,
            row.messagesPerS,
            row.cpuMsPerVmS,
            row.heapKbPerVm,
            `${(row.notAlive * 100).toFixed(2)}%`,
        ]),
    );
    const large = rows.filter(row => row.size > 12);
    const slope = (pick: (row: FleetRow) => number): number =>
        slopeOf(large.map(row => ({ x: row.size, y: pick(row) })));
    printTable("Slopes per VM of the fleet, from 24 VMs on", ["quantity", "slope"], [
        ["all bytes/s per VM", slope(row => row.allBytesPerS)],
        ["CPU ms per VM-second", slope(row => row.cpuMsPerVmS)],
        ["heap KB per VM, that is, memory per peer", slope(row => row.heapKbPerVm)],
        ["platform calls/s", slope(row => row.platformCallsPerS)],
        ["ms until adopted by all", slope(row => row.adoptedByAllMs)],
    ]);
}

async function reportDocuments(): Promise<void> {
    const rows = await measureSequentially([20_000, 200_000, 990_000], async (bytes): Promise<DocumentRow> => ({
        bytes,
        fullText: await measureDocument(bytes, createEmptyHistory),
        patches: await measureDocument(bytes, feeds.createPatchHistory),
    }));
    printTable(
        `Documents at 24,000 changes a day, ${documentFleet.size} VMs in one zone, seed ${seed}`,
        [
            "document bytes",
            "sent as",
            "documents between VMs, bytes/s per VM",
            "all between VMs, bytes/s per VM",
            "from the platform, bytes/s per VM",
            "CPU ms per adoption and 3.6 s",
        ],
        rows.flatMap(({ bytes, fullText, patches }) =>
            ([["full text", fullText], ["patches", patches]] as const).map(([kind, cost]) => [
                bytes,
                kind,
                cost.exchangedBytesPerS,
                cost.allBytesPerS,
                cost.platformBytesPerS,
                cost.cpuMsPerAdoption,
            ])
        ),
    );
}

await reportFleets();
await reportDocuments();
await reportWire();
console.log(`\nMeasured in ${(performance.now() / 1_000).toFixed(0)} s.`);
