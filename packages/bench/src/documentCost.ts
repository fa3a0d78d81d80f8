// Measures the cost of adopting a document at one VM, by the numbers of upstreams, customers and VMs.
// Usage: node --expose-gc packages/bench/dist/src/documentCost.js
import * as core from "@peridotloft/core";
import * as documents from "@peridotloft/document";
import * as keys from "@peridotloft/keys";
import * as ownership from "@peridotloft/ownership";
import * as scheduling from "@peridotloft/scheduling";
import * as testing from "@peridotloft/testing";

const repeats = 5;
const slotsPerUpstream = 8;
const changesPerDay = 24_000;
const secondsPerDay = 86_400;

interface Shape {
    readonly vms: number;
    readonly customers: number;
    readonly upstreams: number;
}

const shapes: readonly Shape[] = [
    { vms: 9, customers: 16, upstreams: 13 },
    { vms: 72, customers: 100, upstreams: 1_320 },
    { vms: 180, customers: 250, upstreams: 3_300 },
    { vms: 360, customers: 500, upstreams: 6_600 },
];

function range(count: number): number[] {
    return Array.from({ length: count }, (_, index) => index);
}

function createText({ vms, customers, upstreams }: Shape, version: number): string {
    const pools = 7;
    return JSON.stringify({
        version,
        zones: range(12).map(index => ({ id: `z${index}`, region: `r${index % 4}` })),
        vms: range(vms).map(index => ({
            id: `vm-${index}`,
            zone: `z${index % 12}`,
            peerAddress: `10.0.${index >> 8}.${index & 255}:7100`,
        })),
        customers: range(customers).map(index => ({
            id: `c${index}`,
            rateCostPerS: 1_000 + version,
            burstCost: 4_000,
        })),
        keys: range(customers).map(index => ({
            id: `k${index}`,
            customer: `c${index}`,
            sha256: index.toString(16).padStart(64, "0"),
        })),
        pools: range(Math.min(pools, upstreams)).map(pool => ({
            id: `p${pool}`,
            kind: "engine",
            models: [`m${pool}`],
            upstreams: range(upstreams).filter(index => index % pools === pool).map(index => ({
                id: `e${index}`,
                zone: `z${index % 12}`,
                url: `http://10.1.${index >> 8}.${index & 255}:8000`,
                slots: slotsPerUpstream,
                coldSlots: 1,
            })),
        })),
    });
}

/** Median time of several runs in ms. */
function medianMs(run: (repeat: number) => void): number {
    const timesMs = range(repeats).map(repeat => {
        const startMs = performance.now();
        run(repeat);
        return performance.now() - startMs;
    });
    return timesMs.sort((left, right) => left - right)[Math.floor(repeats / 2)] ?? 0;
}

function parse(text: string): documents.FleetDocument {
    return testing.expectOk(documents.parseDocument(text));
}

function measure(shape: Shape): string {
    const texts = range(repeats + 2).map(index => createText(shape, index + 1));
    const parseMs = medianMs(repeat => parse(texts[repeat] ?? ""));
    const parsed = texts.map(parse);
    const documentAt = (index: number): documents.FleetDocument => {
        const found = parsed[index];
        core.invariant(found, "each repeat has a document");
        return found;
    };
    const diffMs = medianMs(repeat => {
        documents.digestOf(texts[repeat] ?? "");
        documents.diffDocuments(documentAt(repeat), documentAt(repeat + 1));
        keys.createKeyIndex(documentAt(repeat));
    });
    globalThis.gc?.();
    const heapBefore = process.memoryUsage().heapUsed;
    const cell = core.createSnapshotCell(documentAt(0));
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(1);
    const self = core.vmId("vm-0");
    const endpoint = testing.createVirtualNetwork({ clock, random }).attach(self);
    const startMs = performance.now();
    const scheduler = scheduling.createScheduler({
        self: { id: self, incarnation: 1 },
        clock,
        random,
        endpoint,
        gossip: { registerSection: () => () => undefined, requestExchange: () => undefined },
        peers: () => [],
        ownership: ownership.createOwnership({ self, clock, document: cell }),
        document: cell,
    });
    const firstAdoptionMs = performance.now() - startMs;
    const laterAdoptionMs = medianMs(repeat => cell.update(() => documentAt(repeat + 1)));
    globalThis.gc?.();
    const heapMb = (process.memoryUsage().heapUsed - heapBefore) / 1e6;
    scheduler.dispose();
    const cpuMsPerS = (parseMs + diffMs + laterAdoptionMs) * changesPerDay / secondsPerDay;
    const cells = [
        shape.vms,
        shape.customers,
        shape.upstreams,
        Math.round((texts[0]?.length ?? 0) / 1_000),
        parseMs.toFixed(1),
        diffMs.toFixed(1),
        firstAdoptionMs.toFixed(1),
        laterAdoptionMs.toFixed(1),
        cpuMsPerS.toFixed(1),
        heapMb.toFixed(1),
    ];
    return `| ${cells.join(" | ")} |`;
}

console.log(
    "| VMs | customers | upstreams | document KB | parse and validate ms | digest, diff, key index ms | first adoption ms"
        + " | later adoption ms | CPU ms/s at 24,000 changes a day | scheduler heap MB |",
);
console.log("|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|");
shapes.forEach(shape => console.log(measure(shape)));
