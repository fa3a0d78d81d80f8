// Measures the overhead of one router, compared with direct calls to the same stand-in engine in the same run.
// Usage: node packages/bench/dist/src/routerOverhead.js
import * as demo from "@peridotloft/demo";
import { type ChatLoadOptions, type ChatLoadResult, runChatLoad } from "./ChatLoad.js";
import { type ProcessUsage, readProcessUsage } from "./ProcessUsage.js";

// One VM's share of the target load is 22 requests/s and 9,450 tokens/s. The requirement is twice that on half a core.
const targetRequestsPerS = 44;
const targetEventsPerS = 18_900;
const targetCores = 0.5;

interface RoutedLoad {
    readonly load: ChatLoadResult;
    readonly routerCpuS: number;
    readonly usage: ProcessUsage;
}

const fleet = await demo.startFleet({
    zones: ["a"],
    routers: 1,
    engines: 4,
    services: 0,
    engineOptions: { slots: 256, tokenPaceMs: 3, startsCold: false },
    adjustDocument: document => ({
        ...document,
        customers: document.customers.map(customer => ({ ...customer, rateCostPerS: 1e7, burstCost: 4e7 })),
        pools: document.pools.map(pool => ({
            ...pool,
            upstreams: pool.upstreams.map(upstream => ({ ...upstream, slots: 256, coldSlots: 64 })),
        })),
    }),
});

try {
    const [router] = fleet.routers;
    const [engine] = fleet.engines;
    if (!router || !engine) {
        throw new Error("the fleet lacks a router or an engine");
    }
    const pid = router.child.pid ?? 0;
    const optionsFor = (address: string, changes: Partial<ChatLoadOptions>): ChatLoadOptions => ({
        address,
        apiKey: demo.demoKey,
        model: demo.demoModel,
        stream: false,
        maxTokens: 1,
        concurrency: 4,
        requests: 2_000,
        ...changes,
    });
    const measureRouted = async (changes: Partial<ChatLoadOptions>): Promise<RoutedLoad> => {
        const before = await readProcessUsage(pid);
        const load = await runChatLoad(optionsFor(router.listen, changes));
        const usage = await readProcessUsage(pid);
        return { load, routerCpuS: usage.cpuS - before.cpuS, usage };
    };

    await measureRouted({ requests: 1_000 }); // Warms up the JIT compiler and the upstreams.
    await runChatLoad(optionsFor(engine.listen, { requests: 1_000 }));

    const direct = await runChatLoad(optionsFor(engine.listen, {}));
    const routed = await measureRouted({});
    const concurrent = await measureRouted({ concurrency: 64, requests: 10_000 });
    const streamed = await measureRouted({ stream: true, maxTokens: 400, concurrency: 96, requests: 400 });

    const percentileMs = (load: ChatLoadResult, percentile: number): number =>
        load.latencyUs.getValueAtPercentile(percentile) / 1_000;
    const row = (...cells: readonly (string | number)[]): void => console.log(`| ${cells.join(" | ")} |`);
    row("measure", "direct", "through the router", "added or per core");
    row("---", "---", "---", "---");
    [50, 99].forEach(percentile => {
        const [directMs, routedMs] = [percentileMs(direct, percentile), percentileMs(routed.load, percentile)];
        row(
            `latency p${percentile}, ms`,
            directMs.toFixed(2),
            routedMs.toFixed(2),
            `+${(routedMs - directMs).toFixed(2)} ms, ratio ${(routedMs / directMs).toFixed(2)}`,
        );
    });
    const requestsPerS = concurrent.load.latencyUs.totalCount / concurrent.load.durationS;
    const eventsPerS = streamed.load.events / streamed.load.durationS;
    const perCore = (count: number, cpuS: number): number => Math.round(count / cpuS);
    const requestsPerCore = perCore(concurrent.load.latencyUs.totalCount, concurrent.routerCpuS);
    const eventsPerCore = perCore(streamed.load.events, streamed.routerCpuS);
    row("requests/s without streaming", "", Math.round(requestsPerS), `${requestsPerCore} per core`);
    row("stream events/s", "", Math.round(eventsPerS), `${eventsPerCore} per core`);
    row("resident memory, MB", "", streamed.usage.residentMb.toFixed(0), "");
    const failed = [routed, concurrent, streamed].reduce((sum, { load }) => sum + load.failed, direct.failed);
    row("failed requests", direct.failed, failed - direct.failed, "");
    const coresNeeded = targetRequestsPerS / requestsPerCore + targetEventsPerS / eventsPerCore;
    console.log(
        `\nThe target of ${targetRequestsPerS} requests/s and ${targetEventsPerS} events/s takes `
            + `${coresNeeded.toFixed(2)} of a core; the limit is ${targetCores}.`,
    );
}
finally {
    await fleet.stop();
}
