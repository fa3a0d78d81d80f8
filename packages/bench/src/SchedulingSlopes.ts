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

const durationMs = 4_000;
/** Load in requests per second and VM, so that the load grows with the fleet. */
const perVmPerS = 22;

async function measureSlope(site: Site, seed: number): Promise<Slope> {
    collectGarbage();
    const heapBefore = process.memoryUsage().heapUsed;
    const fleet = createTracedFleet(site, "exchange", seed);
    const load = Math.min(0.8, perVmPerS * site.vms / capacityPerS(site));
    const trace = createTrace(site, nominalLoads(site, load), durationMs, testing.createSeededRandom(seed));
    const cpuBefore = process.cpuUsage();
    await fleet.play(trace, durationMs);
    const { user, system } = process.cpuUsage(cpuBefore);
    collectGarbage();
    const heapAfter = process.memoryUsage().heapUsed;
    fleet.dispose();
    const perVmS = site.vms * durationMs / 1_000;
    return {
        site,
        requestsPerS: trace.length / perVmS,
        callBytesPerS: fleet.traffic.callBytes / perVmS,
        callsPerS: fleet.traffic.calls / perVmS,
        gossipBytesPerS: fleet.traffic.gossipBytes / perVmS,
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
