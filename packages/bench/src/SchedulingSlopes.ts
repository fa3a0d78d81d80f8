import * as testing from "@peridotloft/testing";
import * as v8 from "node:v8";
import * as vm from "node:vm";
import { capacityPerS, createTrace, lantern, nominalLoads, type Site } from "./SchedulingSites.js";
import { createTracedFleet } from "./TracedFleet.js";

/** Control cost per VM. CPU time and memory include the VM's share of the virtual clock, network and engines. */
export interface ControlCost {
    readonly site: Site;
    readonly requestsPerS: number;
    readonly callBytesPerS: number;
    readonly callsPerS: number;
    readonly gossipBytesPerS: number;
    /** CPU time in ms per VM and second of virtual time. */
    readonly cpuMsPerS: number;
    readonly heapKb: number;
}

v8.setFlagsFromString("--expose-gc");
const collectGarbage = vm.runInNewContext("gc") as () => void;

/** Time in ms before the measurement, in which the upstreams ramp up. */
const warmUpMs = 6_000;
const durationMs = 5_000;
/** Load in requests per second and VM; the total load grows with the fleet. */
const requestsPerVmPerS = 22;

/** Heap in bytes after garbage of earlier runs, such as timers and promises, is collected. */
async function measureHeap(): Promise<number> {
    for (let round = 0; round < 3; round++) {
        await new Promise<void>(resolve => setTimeout(resolve, 20));
        collectGarbage();
    }
    return process.memoryUsage().heapUsed;
}

async function measureControlCost(site: Site, seed: number): Promise<ControlCost> {
    const heapBefore = await measureHeap();
    const fleet = createTracedFleet(site, "exchange", seed);
    const load = Math.min(0.8, requestsPerVmPerS * site.vms / capacityPerS(site));
    const untilMs = warmUpMs + durationMs;
    const trace = createTrace(site, nominalLoads(site, load), untilMs, testing.createSeededRandom(seed));
    await fleet.replay(trace, warmUpMs);
    const before = fleet.traffic();
    const cpuBefore = process.cpuUsage();
    await fleet.replay(trace, untilMs);
    const { user, system } = process.cpuUsage(cpuBefore);
    const after = fleet.traffic();
    const heapAfter = await measureHeap();
    fleet.dispose();
    const vmSeconds = site.vms * durationMs / 1_000;
    return {
        site,
        requestsPerS: trace.filter(({ atMs }) => atMs > warmUpMs).length / vmSeconds,
        callBytesPerS: (after.callBytes - before.callBytes) / vmSeconds,
        callsPerS: (after.calls - before.calls) / vmSeconds,
        gossipBytesPerS: (after.gossipBytes - before.gossipBytes) / vmSeconds,
        cpuMsPerS: (user + system) / 1_000 / vmSeconds,
        heapKb: (heapAfter - heapBefore) / 1_024 / site.vms,
    };
}

/** Varies one dimension at a time around the Lantern site. */
export async function measureControlCosts(seed: number): Promise<ControlCost[]> {
    const sites: Site[] = [
        ...[3, 6, 9, 24, 72].map(vms => ({ ...lantern, vms, engines: Math.max(13, vms) })),
        ...[100, 500].map(customers => ({ ...lantern, customers })),
        ...[100, 500].map(engines => ({ ...lantern, engines })),
    ];
    const results: ControlCost[] = [];
    for (const site of sites) {
        results.push(await measureControlCost(site, seed));
    }
    return results;
}
