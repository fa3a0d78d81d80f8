import * as testing from "@peridotloft/testing";
import {
    capacityPerS,
    createTrace,
    deadlineMs,
    type Load,
    meanCost,
    meanRunMs,
    nominalLoads,
    type Site,
} from "./SchedulingSites.js";
import { createTracedFleet, type Design, type Served, type TracedFleet } from "./TracedFleet.js";

/** Results of one design on the traces of one site. */
export interface SiteResult {
    /** Largest service gap between two backlogged customers over intervals of up to 2, 5 and 20 s, in cost units. */
    readonly gaps: readonly number[];
    readonly gapBound: number;
    /** Share of all slots in use while work waits. */
    readonly utilisation: number;
    /** The same when all work enters by one VM. */
    readonly utilisationOneEntry: number;
    /** Share of the smallest share that a customer got served in time, under overload by two large customers. */
    readonly worstShare: number;
    /** Share served whole and in time while a zone leaves and returns. */
    readonly servedInZoneChange: number;
    readonly worstInZoneChange: number;
    readonly coldViolations: number;
    /** p99 of the latency of the other customers without and with a flood, in ms. */
    readonly calmP99Ms: number;
    readonly floodP99Ms: number;
    /** Control payload per VM in bytes/s at nominal load: calls and gossip. */
    readonly callBytesPerS: number;
    readonly callsPerS: number;
    readonly gossipBytesPerS: number;
}

const warmMs = 5_000;

const isInTime = ({ arrival, endedMs }: Served): boolean =>
    endedMs !== undefined && endedMs <= arrival.atMs + deadlineMs;

function share<T>(items: readonly T[], matches: (item: T) => boolean): number {
    return items.filter(matches).length / Math.max(1, items.length);
}

function worstShare(served: readonly Served[], customers: readonly number[]): number {
    return Math.min(
        ...customers.map(customer => share(served.filter(({ arrival }) => arrival.customer === customer), isInTime)),
    );
}

function percentile(values: readonly number[], part: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.floor(part * sorted.length)] ?? Infinity;
}

/** Largest difference in service between two customers over every interval of at most `lengthMs`. */
function gapOver(served: readonly Served[], left: number, right: number, lengthMs: number, untilMs: number): number {
    const stepMs = 50;
    const steps = Math.floor((untilMs - warmMs) / stepMs);
    const changes = Array.from({ length: steps }, () => 0);
    served.forEach(({ arrival, startedMs = -1 }) => {
        const step = Math.floor((startedMs - warmMs) / stepMs);
        const sign = Number(arrival.customer === left) - Number(arrival.customer === right);
        if (step >= 0 && step < steps) {
            changes[step] = (changes[step] ?? 0) + sign * arrival.cost;
        }
    });
    const sums = changes.reduce((all, change) => [...all, (all.at(-1) ?? 0) + change], [0]);
    const width = Math.ceil(lengthMs / stepMs);
    return Math.max(
        ...sums.map((sum, index) =>
            Math.max(...sums.slice(index, index + width + 1).map(later => Math.abs(later - sum)))
        ),
    );
}

async function utilisationOf(fleet: TracedFleet, site: Site, action: () => Promise<void>): Promise<number> {
    const beforeMs = fleet.busyMs();
    const startMs = fleet.clock.nowMs();
    await action();
    return (fleet.busyMs() - beforeMs) / (fleet.clock.nowMs() - startMs) / (site.engines * site.slots);
}

/** Two large customers each send the whole capacity, one by a single VM and one by all; the others send 30%. */
async function measureOverload(site: Site, design: Design, seed: number) {
    const untilMs = 25_000;
    const others = nominalLoads(site, 0.5).filter(({ customer }) => customer >= 2);
    const perS = capacityPerS(site);
    const loads: Load[] = [
        ...others,
        { customer: 0, perS, homeShare: 1 },
        { customer: 1, perS, homeShare: 0 },
    ];
    const fleet = createTracedFleet(site, design, seed);
    const trace = createTrace(site, loads, untilMs, testing.createSeededRandom(seed));
    await fleet.play(trace, warmMs);
    const utilisation = await utilisationOf(fleet, site, () => fleet.play(trace, untilMs));
    fleet.dispose();
    const late = fleet.served.filter(({ arrival }) => arrival.atMs > warmMs && arrival.atMs < untilMs - deadlineMs);
    const costPerMs = site.engines * site.slots * meanCost / meanRunMs;
    return {
        utilisation,
        gaps: [2_000, 5_000, 20_000].map(lengthMs => gapOver(fleet.served, 0, 1, lengthMs, untilMs)),
        gapBound: 2 * meanCost * 1.6 + 2 * costPerMs * 200,
        worstShare: worstShare(late, others.map(({ customer }) => customer)),
        violations: violationsOf(fleet),
    };
}

const violationsOf = (fleet: TracedFleet): number =>
    [...fleet.engines.values()].reduce((sum, engine) => sum + engine.coldViolations, 0);

/** Twice the capacity enters by one VM. */
async function measureOneEntry(site: Site, design: Design, seed: number): Promise<number> {
    const untilMs = 12_000;
    const perS = capacityPerS(site) / 2;
    const loads = [0, 1, 2, 3].map(index => ({ customer: index * site.vms % site.customers, perS, homeShare: 1 }));
    const fleet = createTracedFleet(site, design, seed);
    const trace = createTrace(site, loads, untilMs, testing.createSeededRandom(seed)).map(each => ({ ...each, vm: 0 }));
    await fleet.play(trace, warmMs);
    const utilisation = await utilisationOf(fleet, site, () => fleet.play(trace, untilMs));
    fleet.dispose();
    return utilisation;
}

/** Zone z1 leaves at 8 s and is out at 12 s. Its VMs and engines restart. It returns at 18 s. */
async function measureZoneChange(site: Site, design: Design, seed: number) {
    const untilMs = 26_000;
    const fleet = createTracedFleet(site, design, seed);
    const trace = createTrace(site, nominalLoads(site, 0.55), untilMs, testing.createSeededRandom(seed));
    const setZone = (state: "in-service" | "leaving" | "out"): void =>
        fleet.publish(document => ({
            zones: document.zones.map(zone => zone.id === "z1" ? { ...zone, state } : zone),
        }));
    await fleet.play(trace, 8_000);
    const startViolations = violationsOf(fleet);
    setZone("leaving");
    await fleet.play(trace, 12_000);
    setZone("out");
    await fleet.play(trace, 16_000);
    Array.from({ length: site.vms }, (_, vm) => vm).filter(vm => vm % site.zones === 1).forEach(fleet.restart);
    [...fleet.engines.values()].filter((_, index) => index % site.zones === 1).forEach(engine => engine.coldStart());
    await fleet.play(trace, 18_000);
    setZone("in-service");
    await fleet.play(trace, untilMs + deadlineMs);
    fleet.dispose();
    const during = fleet.served.filter(({ arrival }) => arrival.atMs >= 8_000 && arrival.atMs < untilMs);
    return {
        served: share(during, isInTime),
        worst: worstShare(during, Array.from({ length: site.customers }, (_, customer) => customer)),
        violations: violationsOf(fleet) - startViolations,
    };
}

/** All customers at half load; customer 3, of average size, sends `factor` times its rate. */
async function measureFlood(site: Site, design: Design, seed: number, factor: number) {
    const untilMs = 20_000;
    const flooder = 3;
    const loads = nominalLoads(site, 0.5)
        .map(load => load.customer === flooder ? { ...load, perS: load.perS * factor } : load);
    const fleet = createTracedFleet(site, design, seed);
    await fleet.play(createTrace(site, loads, untilMs, testing.createSeededRandom(seed)), untilMs);
    fleet.dispose();
    const others = fleet.served.filter(({ arrival }) =>
        arrival.customer !== flooder && arrival.atMs > warmMs && arrival.atMs < untilMs - deadlineMs
    );
    const perVmS = site.vms * untilMs / 1_000;
    return {
        p99Ms: percentile(others.map(({ arrival, endedMs = Infinity }) => endedMs - arrival.atMs), 0.99),
        callBytesPerS: fleet.traffic.callBytes / perVmS,
        callsPerS: fleet.traffic.calls / perVmS,
        gossipBytesPerS: fleet.traffic.gossipBytes / perVmS,
    };
}

export async function measureSite(site: Site, design: Design, seed: number): Promise<SiteResult> {
    const { violations, ...overload } = await measureOverload(site, design, seed);
    const zone = await measureZoneChange(site, design, seed);
    const { p99Ms: calmP99Ms, ...traffic } = await measureFlood(site, design, seed, 1);
    const flood = await measureFlood(site, design, seed, 10);
    return {
        ...overload,
        ...traffic,
        utilisationOneEntry: await measureOneEntry(site, design, seed),
        servedInZoneChange: zone.served,
        worstInZoneChange: zone.worst,
        coldViolations: violations + zone.violations,
        calmP99Ms,
        floodP99Ms: flood.p99Ms,
    };
}
