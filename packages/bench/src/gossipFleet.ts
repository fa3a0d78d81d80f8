// Measures gossip, configuration and peering of a fleet; prints markdown tables. Takes at most three minutes.
import * as feeds from "@peridotloft/document-feed";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { type BenchFleet, createBenchFleet, createTexts, vmIds } from "./benchFleet.js";
import { measureCallRate, measureConnectionMemory, measureWireOverhead } from "./wireOverhead.js";

const seed = Number(process.argv[2] ?? 20_260_801);
const fleets = [
    { size: 9, zones: 3 },
    { size: 24, zones: 3 },
    { size: 72, zones: 6 },
    { size: 180, zones: 12 },
    { size: 360, zones: 12 },
];
const settleMs = 8_000;
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
    readonly in95Ms: number;
    readonly inAllMs: number;
    /** The same while only the last VM can read the configuration service. */
    readonly oneReaderInAllMs: number;
    readonly platformCallsPerS: number;
    readonly messagesPerS: number;
    readonly cpuMsPerVmS: number;
    readonly heapKbPerVm: number;
    readonly notAlive: number;
}

const heapBytes = (): number => {
    collectGarbage();
    return process.memoryUsage().heapUsed;
};
const cpuMs = (): number => {
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
    const heapBefore = heapBytes();
    const textOf = createTexts(size, zones, 0);
    const fleet = createBenchFleet({ size, zones, seed, textOf, createHistory: feeds.createPatchHistory });
    await fleet.clock.advance(settleMs);
    const heapKbPerVm = (heapBytes() - heapBefore) / size / 1_024;
    const before = { ...fleet.sent(), calls: fleet.calls(), service: fleet.service.calls(), cpu: cpuMs() };
    await fleet.clock.advance(steadyMs);
    const perS = (value: number): number => value * 1_000 / steadyMs;
    const steady = {
        gossip: perS(fleet.sent().gossip - before.gossip) / size,
        service: perS(fleet.service.calls() - before.service),
        messages: perS(fleet.calls() - before.calls) / size,
        cpu: perS(cpuMs() - before.cpu) / size,
    };
    const notAlive = fleet.notAliveRatio();
    const sentBefore = fleet.sent();
    await publishVersions(fleet, 2, measuredVersions);
    const sentAfter = fleet.sent();
    const changesS = measuredVersions * versionPeriodMs / 1_000;
    const bytes = sentAfter.gossip - sentBefore.gossip + sentAfter.documents - sentBefore.documents;
    const adoptions = Array.from({ length: measuredVersions }, (_, index) => fleet.adoptionsMs(index + 2));
    const atShare = (share: number): number =>
        Math.max(...adoptions.map(times => times[Math.ceil(size * share) - 1] ?? Number.POSITIVE_INFINITY));
    const oneReaderInAllMs = await measureOneReader(fleet, size);
    return {
        size,
        gossipBytesPerS: steady.gossip,
        allBytesPerS: bytes / changesS / size,
        in95Ms: atShare(0.95),
        inAllMs: atShare(1),
        oneReaderInAllMs,
        platformCallsPerS: steady.service,
        messagesPerS: steady.messages,
        cpuMsPerVmS: steady.cpu,
        heapKbPerVm,
        notAlive,
    };
}

async function measureOneReader(fleet: BenchFleet, size: number): Promise<number> {
    fleet.service.setResponseMode("silent");
    fleet.service.setResponseMode("answer", vmIds(size)[size - 1]);
    await fleet.clock.advance(settleMs);
    const version = measuredVersions + 2;
    await publishVersions(fleet, version, 1);
    await fleet.clock.advance(settleMs);
    return fleet.adoptionsMs(version)[size - 1] ?? Number.POSITIVE_INFINITY;
}

interface DocumentRow {
    readonly bytes: number;
    readonly whole: DocumentCost;
    readonly steps: DocumentCost;
}

interface DocumentCost {
    readonly exchangedBytesPerS: number;
    readonly allBytesPerS: number;
    readonly platformBytesPerS: number;
    readonly cpuMsPerAdoption: number;
}

const documentFleet = { size: 24, zones: 1 };
const withoutSteps = (): feeds.PatchHistory => ({ add: () => undefined, stepsFrom: () => undefined });

async function measureDocument(bytes: number, createHistory: () => feeds.PatchHistory): Promise<DocumentCost> {
    const { size, zones } = documentFleet;
    const textOf = createTexts(size, zones, bytes);
    const fleet = createBenchFleet({ size, zones, seed, textOf, createHistory });
    await fleet.clock.advance(settleMs);
    const before = { ...fleet.sent(), service: fleet.service.bytesSent(), cpu: cpuMs() };
    const versions = bytes > 500_000 ? 4 : 8;
    await publishVersions(fleet, 2, versions);
    const after = fleet.sent();
    const perVmAndS = (value: number): number => value * 1_000 / (versions * versionPeriodMs) / size;
    return {
        exchangedBytesPerS: perVmAndS(after.documents - before.documents),
        allBytesPerS: perVmAndS(after.documents - before.documents + after.gossip - before.gossip),
        platformBytesPerS: perVmAndS(fleet.service.bytesSent() - before.service),
        cpuMsPerAdoption: (cpuMs() - before.cpu) / versions / size,
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

async function inOrder<T, R>(items: readonly T[], measure: (item: T) => Promise<R>): Promise<R[]> {
    const results: R[] = [];
    for (const item of items) {
        results.push(await measure(item));
    }
    return results;
}

async function reportWire(): Promise<void> {
    const overheads = await inOrder([0, 100, 1_000], measureWireOverhead);
    printTable(
        "Bytes that one call adds on a loopback HTTP/2 connection (TCP payload; answer of 25 bytes)",
        ["payload bytes", "request", "reply"],
        overheads.map(row => [row.payloadBytes, row.requestBytes, row.replyBytes]),
    );
    const rates = await inOrder([1, 16], concurrency => measureCallRate(concurrency, 2_000));
    printTable(
        "Calls on one core, sender and receiver in one process",
        ["concurrent calls", "calls/s", "CPU ms per call"],
        rates.map(row => [row.concurrency, row.callsPerS, row.cpuMsPerCall]),
    );
    printTable("Resident memory of connections, both ends and the receiving node", ["connections", "KB each"], [
        [memoryConnections, await measureConnectionMemory(memoryConnections)],
    ]);
}

async function reportFleets(): Promise<void> {
    const rows = await inOrder(fleets, measureFleet);
    printTable(
        `Fleet on virtual time, seed ${seed}`,
        [
            "VMs",
            "gossip bytes/s per VM",
            "all bytes/s per VM at 24,000 changes a day",
            "in force at 95%, worst ms",
            "at all, worst ms",
            "at all with one reader, ms",
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
            row.in95Ms,
            row.inAllMs,
            row.oneReaderInAllMs,
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
        ["heap KB per VM, which is the memory per peer", slope(row => row.heapKbPerVm)],
        ["platform calls/s", slope(row => row.platformCallsPerS)],
        ["ms until in force at all", slope(row => row.inAllMs)],
    ]);
}

async function reportDocuments(): Promise<void> {
    const rows = await inOrder([20_000, 200_000, 990_000], async (bytes): Promise<DocumentRow> => ({
        bytes,
        whole: await measureDocument(bytes, withoutSteps),
        steps: await measureDocument(bytes, feeds.createPatchHistory),
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
        rows.flatMap(({ bytes, whole, steps }) =>
            ([["whole", whole], ["steps", steps]] as const).map(([kind, cost]) => [
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
