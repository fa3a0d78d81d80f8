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
import { createTracedFleet, type Design, type ServedArrival, type TracedFleet } from "./TracedFleet.js";

/** Results of one scheduler design on the traces of one site. */
export interface SiteResult {
    /** Largest service gap between two backlogged customers over intervals of up to 2, 5 and 20 s, in cost units. */
    readonly gaps: readonly number[];
    readonly gapBound: number;
    /** Share of all slots that are in use during a backlog. */
    readonly utilisation: number;
    /** Utilisation if all requests enter through one VM. */
    readonly utilisationSingleEntry: number;
    /** Smallest share of its requests that a customer gets served in time, under overload by two large customers. */
    readonly worstShare: number;
    /** Share of requests completed in time while a zone leaves and returns. */
    readonly servedInZoneChange: number;
    /** Smallest such share of any customer. */
    readonly worstInZoneChange: number;
    readonly coldViolations: number;
    /** p99 latency in ms of the other customers without a flood. */
    readonly nominalP99Ms: number;
    /** p99 latency in ms of the other customers while one customer floods. */
    readonly floodP99Ms: number;
    /** Payload per VM in bytes/s of calls at nominal load. */
    readonly callBytesPerS: number;
    readonly callsPerS: number;
    /** Payload per VM in bytes/s of gossip at nominal load. */
    readonly gossipBytesPerS: number;
}

const warmUpMs = 5_000;

const isInTime = ({ arrival, endedMs }: ServedArrival): boolean =>
    endedMs !== undefined && endedMs <= arrival.atMs + deadlineMs;

function shareOf<T>(items: readonly T[], matches: (item: T) => boolean): number {
    return items.filter(matches).length / Math.max(1, items.length);
}

function worstShare(served: readonly ServedArrival[], customers: readonly number[]): number {
    return Math.min(
        ...customers.map(customer => shareOf(served.filter(({ arrival }) => arrival.customer === customer), isInTime)),
    );
}

function percentile(values: readonly number[], fraction: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.floor(fraction * sorted.length)] ?? Infinity;
}

/** Largest difference in service between two customers over every interval of at most `lengthMs`. */
function largestGap(
    served: readonly ServedArrival[],
    left: number,
    right: number,
    lengthMs: number,
    untilMs: number,
): number {
    const stepMs = 50;
    const steps = Math.floor((untilMs - warmUpMs) / stepMs);
    const changes = Array.from({ length: steps }, () => 0);
    served.forEach(({ arrival, startedMs = -1 }) => {
        const step = Math.floor((startedMs - warmUpMs) / stepMs);
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

/** Two large customers each send the whole capacity, one through a single VM, one through all; the others send 30%. */
async function measureOverload(site: Site, design: Design, seed: number) {
    const untilMs = 25_000;
    const others = nominalLoads(site, 0.5).filter(({ customer }) => customer >= 2);
    const requestsPerS = capacityPerS(site);
    const loads: Load[] = [
        ...others,
        { customer: 0, requestsPerS, primaryVmShare: 1 },
        { customer: 1, requestsPerS, primaryVmShare: 0 },
    ];
    const fleet = createTracedFleet(site, design, seed);
    const trace = createTrace(site, loads, untilMs, testing.createSeededRandom(seed));
    await fleet.replay(trace, warmUpMs);
    const utilisation = await utilisationOf(fleet, site, () => fleet.replay(trace, untilMs));
    fleet.dispose();
    const measured = fleet.served.filter(({ arrival }) =>
        arrival.atMs > warmUpMs && arrival.atMs < untilMs - deadlineMs
    );
    const costPerMs = site.engines * site.slots * meanCost / meanRunMs;
    return {
        utilisation,
        gaps: [2_000, 5_000, 20_000].map(lengthMs => largestGap(fleet.served, 0, 1, lengthMs, untilMs)),
        gapBound: 2 * meanCost * 1.6 + 2 * costPerMs * 200,
        worstShare: worstShare(measured, others.map(({ customer }) => customer)),
        violations: countColdViolations(fleet),
    };
}

const countColdViolations = (fleet: TracedFleet): number =>
    [...fleet.engines.values()].reduce((sum, engine) => sum + engine.coldViolations, 0);

/** Twice the capacity enters through one VM. */
async function measureSingleEntryVm(site: Site, design: Design, seed: number): Promise<number> {
    const untilMs = 12_000;
    const requestsPerS = capacityPerS(site) / 2;
    const loads = [0, 1, 2, 3].map(index => ({
        customer: index * site.vms % site.customers,
        requestsPerS,
        primaryVmShare: 1,
    }));
    const fleet = createTracedFleet(site, design, seed);
    const trace = createTrace(site, loads, untilMs, testing.createSeededRandom(seed)).map(each => ({ ...each, vm: 0 }));
    await fleet.replay(trace, warmUpMs);
    const utilisation = await utilisationOf(fleet, site, () => fleet.replay(trace, untilMs));
    fleet.dispose();
    return utilisation;
}

/** Zone z1 is leaving from 8 s and out from 12 s. Its VMs and engines restart. It is in service again from 18 s. */
async function measureZoneChange(site: Site, design: Design, seed: number) {
    const untilMs = 26_000;
    const fleet = createTracedFleet(site, design, seed);
    const trace = createTrace(site, nominalLoads(site, 0.55), untilMs, testing.createSeededRandom(seed));
    const setZone = (state: "in-service" | "leaving" | "out"): void =>
        fleet.publish(document => ({
            zones: document.zones.map(zone => zone.id === "z1" ? { ...zone, state } : zone),
        }));
    await fleet.replay(trace, 8_000);
    const startViolations = countColdViolations(fleet);
    setZone("leaving");
    await fleet.replay(trace, 12_000);
    setZone("out");
    await fleet.replay(trace, 16_000);
    Array.from({ length: site.vms }, (_, vm) => vm).filter(vm => vm % site.zones === 1).forEach(fleet.restart);
    [...fleet.engines.values()].filter((_, index) => index % site.zones === 1).forEach(engine => engine.resetToCold());
    await fleet.replay(trace, 18_000);
    setZone("in-service");
    await fleet.replay(trace, untilMs + deadlineMs);
    fleet.dispose();
    const during = fleet.served.filter(({ arrival }) => arrival.atMs >= 8_000 && arrival.atMs < untilMs);
    return {
        served: shareOf(during, isInTime),
        worst: worstShare(during, Array.from({ length: site.customers }, (_, customer) => customer)),
        violations: countColdViolations(fleet) - startViolations,
    };
}

/** All customers send half of the capacity; customer 3, of average size, sends `factor` times its own share. */
async function measureFlood(site: Site, design: Design, seed: number, factor: number) {
    const untilMs = 20_000;
    const flooder = 3;
    const loads = nominalLoads(site, 0.5)
        .map(load => load.customer === flooder ? { ...load, requestsPerS: load.requestsPerS * factor } : load);
    const fleet = createTracedFleet(site, design, seed);
    await fleet.replay(createTrace(site, loads, untilMs, testing.createSeededRandom(seed)), untilMs);
    fleet.dispose();
    const others = fleet.served.filter(({ arrival }) =>
        arrival.customer !== flooder && arrival.atMs > warmUpMs && arrival.atMs < untilMs - deadlineMs
    );
    const vmSeconds = site.vms * untilMs / 1_000;
    const traffic = fleet.traffic();
    return {
        p99Ms: percentile(others.map(({ arrival, endedMs = Infinity }) => endedMs - arrival.atMs), 0.99),
        callBytesPerS: traffic.callBytes / vmSeconds,
        callsPerS: traffic.calls / vmSeconds,
        gossipBytesPerS: traffic.gossipBytes / vmSeconds,
    };
}

export async function measureSite(site: Site, design: Design, seed: number): Promise<SiteResult> {
    const { violations, ...overload } = await measureOverload(site, design, seed);
    const zone = await measureZoneChange(site, design, seed);
    const { p99Ms: nominalP99Ms, ...traffic } = await measureFlood(site, design, seed, 1);
    const flood = await measureFlood(site, design, seed, 10);
    return {
        ...overload,
        ...traffic,
        utilisationSingleEntry: await measureSingleEntryVm(site, design, seed),
        servedInZoneChange: zone.served,
        worstInZoneChange: zone.worst,
        coldViolations: violations + zone.violations,
        nominalP99Ms,
        floodP99Ms: flood.p99Ms,
    };
}
