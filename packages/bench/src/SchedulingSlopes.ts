import * as testing from "@peridotloft/testing";
import * as v8 from "node:v8";
import * as vm from "node:vm";
import { capacityPerS, createTrace, lantern, nominalLoads, type Site } from "./SchedulingSites.js";
import { createTracedFleet } from "./TracedFleet.js";

/** Control cost per VM. CPU and memory include the VM's part of the virtual clock, network and engines. */
export interface Slope {
    readonly site: Site;
    readonly requestsPerS: number;
    readonly callBytesPerS: number;
    readonly callsPerS: number;
    readonly gossipBytesPerS: number;
    /** CPU in ms per VM and second of virtual time. */
    readonly cpuMsPerS: number;
    readonly heapKb: number;
}

v8.setFlagsFromString("--expose-gc");
const collectGarbage = vm.runInNewContext("gc") as () => void;

/** Time in ms in which the upstreams ramp, before the measurement. */
const warmMs = 6_000;
const durationMs = 5_000;
/** Load in requests per second and VM, so that the load grows with the fleet. */
const perVmPerS = 22;

/** Heap in bytes after timers and promises of an earlier run have been dropped. */
async function measureHeap(): Promise<number> {
    for (let round = 0; round < 3; round++) {
        await new Promise<void>(resolve => setTimeout(resolve, 20));
        collectGarbage();
    }
    return process.memoryUsage().heapUsed;
}

async function measureSlope(site: Site, seed: number): Promise<Slope> {
    const heapBefore = await measureHeap();
    const fleet = createTracedFleet(site, "exchange", seed);
    const load = Math.min(0.8, perVmPerS * site.vms / capacityPerS(site));
    const untilMs = warmMs + durationMs;
    const trace = createTrace(site, nominalLoads(site, load), untilMs, testing.createSeededRandom(seed));
    await fleet.play(trace, warmMs);
    const before = fleet.traffic();
    const cpuBefore = process.cpuUsage();
    await fleet.play(trace, untilMs);
    const { user, system } = process.cpuUsage(cpuBefore);
    const after = fleet.traffic();
    const heapAfter = await measureHeap();
    fleet.dispose();
    const perVmS = site.vms * durationMs / 1_000;
    return {
        site,
        requestsPerS: trace.filter(({ atMs }) => atMs > warmMs).length / perVmS,
        callBytesPerS: (after.callBytes - before.callBytes) / perVmS,
        callsPerS: (after.calls - before.calls) / perVmS,
        gossipBytesPerS: (after.gossipBytes - before.gossipBytes) / perVmS,
        cpuMsPerS: (user + system) / 1_000 / perVmS,
        heapKb: (heapAfter - heapBefore) / 1_024 / site.vms,
    };
}

/** Varies one size at a time around the Lantern site. */
export async function measureSlopes(seed: number): Promise<Slope[]> {
    const sites: Site[] = [
        ...[3, 6, 9, 24, 72].map(vms => ({ ...lantern, vms, engines: Math.max(13, vms) })),
        ...[100, 500].map(customers => ({ ...lantern, customers })),
        ...[100, 500].map(engines => ({ ...lantern, engines })),
    ];
    const slopes: Slope[] = [];
    for (const site of sites) {
        slopes.push(await measureSlope(site, seed));
    }
    return slopes;
}
