import { measureSite, type SiteResult } from "./SchedulingMeasures.js";
import { canelones, lantern, type Site } from "./SchedulingSites.js";
import { type ControlCost, measureControlCosts } from "./SchedulingSlopes.js";

// Compares the scheduler with an uncoordinated baseline on the same traces, and measures how its control cost grows.
// Usage: node packages/bench/dist/src/schedulingFleet.js [seed] [sites|slopes]

const percent = (value: number): string => `${(value * 100).toFixed(1)}%`;
const whole = (value: number): string => value.toFixed(0);

const rows: readonly [name: string, show: (result: SiteResult) => string][] = [
    ["gap of two backlogged customers over ≤ 2 s (cost)", ({ gaps }) => whole(gaps[0] ?? 0)],
    ["gap over ≤ 5 s", ({ gaps }) => whole(gaps[1] ?? 0)],
    ["gap over ≤ 20 s", ({ gaps }) => whole(gaps[2] ?? 0)],
    ["bound on the gap by the design page", ({ gapBound }) => whole(gapBound)],
    ["slots in use under overload, uneven entry", ({ utilisation }) => percent(utilisation)],
    [
        "slots in use under overload, all requests through one VM",
        ({ utilisationSingleEntry }) => percent(utilisationSingleEntry),
    ],
    ["worst-served small customer under overload, in time", ({ worstShare }) => percent(worstShare)],
    ["completed in time, zone leaves and returns", result => percent(result.servedInZoneChange)],
    ["worst-served customer, zone leaves and returns", result => percent(result.worstInZoneChange)],
    ["requests above the cold slots", ({ coldViolations }) => whole(coldViolations)],
    ["p99 latency of others, nominal (ms)", ({ nominalP99Ms }) => whole(nominalP99Ms)],
    ["p99 latency of others, flood ×10 (ms)", ({ floodP99Ms }) => whole(floodP99Ms)],
    ["call payload (bytes/s per VM)", ({ callBytesPerS }) => whole(callBytesPerS)],
    ["calls per s and VM", ({ callsPerS }) => callsPerS.toFixed(1)],
    ["gossip (bytes/s per VM)", ({ gossipBytesPerS }) => whole(gossipBytesPerS)],
];

async function printSite(site: Site, seed: number): Promise<void> {
    const exchange = await measureSite(site, "exchange", seed);
    const baseline = await measureSite(site, "baseline", seed);
    console.log(`\n## ${site.name}: ${site.engines} engines × ${site.slots} slots, ${site.vms} VMs (seed ${seed})\n`);
    console.log("| measure | scheduler | baseline |\n|---|---:|---:|");
    rows.forEach(([name, show]) => console.log(`| ${name} | ${show(exchange)} | ${show(baseline)} |`));
}

function printSlopes(slopes: readonly ControlCost[], seed: number): void {
    console.log(`\n## Control cost per VM (seed ${seed})\n`);
    console.log(
        "| VMs | customers | upstreams | requests/s | calls/s | call bytes/s | gossip bytes/s | CPU ms/s | heap KB |",
    );
    console.log("|---:|---:|---:|---:|---:|---:|---:|---:|---:|");
    slopes.forEach(({ site, ...slope }) => {
        const values = [
            site.vms,
            site.customers,
            site.engines,
            slope.requestsPerS,
            slope.callsPerS,
            slope.callBytesPerS,
            slope.gossipBytesPerS,
            slope.cpuMsPerS,
            slope.heapKb,
        ];
        console.log(`| ${values.map(value => value < 10 ? value.toFixed(1) : whole(value)).join(" | ")} |`);
    });
}

const seed = Number(process.argv[2] ?? 1);
const part = process.argv[3];
const startedMs = Date.now();
if (part !== "slopes") {
    await printSite(lantern, seed);
    await printSite(canelones, seed);
}
if (part !== "sites") {
    printSlopes(await measureControlCosts(seed), seed);
}
console.log(`\nMeasured in ${((Date.now() - startedMs) / 1_000).toFixed(0)} s.`);
