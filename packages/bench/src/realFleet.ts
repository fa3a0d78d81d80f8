// Measures both sites of the design page with real processes on loopback.
// Usage: node packages/bench/dist/src/realFleet.js [SEED] [SITE] [PHASES]
// PHASES is a comma-separated list of steady, overload, one-router, zone, flood, kill; by default all.
import * as demo from "@peridotloft/demo";
import * as testing from "@peridotloft/testing";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { type ChatOutcome, createFleetCaller } from "./FleetCaller.js";
import * as load from "./FleetLoad.js";
import * as observer from "./FleetObserver.js";
import * as sites from "./FleetSites.js";

interface Row {
    readonly phase: string;
    readonly figure: string;
    readonly value: string;
    readonly bound: string;
}

const warmUpMs = 4_000;
const idleMs = 2_000;
const steadyMs = 6_000;
const overloadMs = 7_000;
/** Time in ms until a closed loop has filled the queues and the engines are warm. */
const overloadWarmUpMs = 2_500;
const zoneMs = 9_000;
const floodPartMs = 6_000;
const killMs = 8_000;
const samplePeriodMs = 100;
const exchangePeriodMs = 200;
const overloadRateFactor = 20;
/** Share of a customer's requests that enter through its primary router. */
const primaryRouterShare = 0.7;
/** Period in ms in which the second customer switches to the next router. */
const routerChangePeriodMs = 500;
const outstandingPerWeight = 14;
const floodFactor = 10;
const floodingCustomer = 7;
/** Targets of the design page, section 1.5: first token within 1.8 s, 69 ms between tokens. */
const firstTokenTargetMs = 1_800;
const tokenGapTargetMs = 69;

const isInTime = ({ isComplete, firstEventMs, sentMs, endMs, tokens }: ChatOutcome): boolean =>
    isComplete && (firstEventMs ?? Infinity) - sentMs <= firstTokenTargetMs
    && endMs - sentMs <= firstTokenTargetMs + tokens * tokenGapTargetMs;

const percent = (part: number, whole: number): string => whole === 0 ? "none" : `${(100 * part / whole).toFixed(2)}%`;

function percentile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

const latencies = (outcomes: readonly ChatOutcome[]): number[] =>
    outcomes.filter(({ isComplete }) => isComplete).map(({ sentMs, endMs }) => endMs - sentMs);

function describeFailures(outcomes: readonly ChatOutcome[]): string {
    const codes = outcomes.filter(({ isComplete }) => !isComplete).map(({ code }) => code);
    return [...new Set(codes)].map(code => `${codes.filter(other => other === code).length} ${code}`).join(", ");
}

function serviceRows(phase: string, outcomes: readonly ChatOutcome[]): Row[] {
    const failures = describeFailures(outcomes);
    const worst = sites.siteCustomers.map(({ id }) => {
        const own = outcomes.filter(({ customer }) => customer.id === id);
        return { id, share: own.length === 0 ? 1 : own.filter(isInTime).length / own.length, count: own.length };
    }).reduce((least, next) => next.share < least.share ? next : least);
    const wrongful = outcomes.filter(({ code }) => code === "rate-exceeded").length;
    return [
        {
            phase,
            figure: "completed",
            value: `${percent(outcomes.filter(({ isComplete }) => isComplete).length, outcomes.length)} of `
                + `${outcomes.length}${failures === "" ? "" : ` (${failures})`}`,
            bound: "",
        },
        {
            phase,
            figure: "completed in time",
            value: percent(outcomes.filter(isInTime).length, outcomes.length),
            bound: "",
        },
        {
            phase,
            figure: "worst-served customer, in time",
            value: `${(100 * worst.share).toFixed(1)}% of ${worst.count} (${worst.id})`,
            bound: "",
        },
        {
            phase,
            figure: "p50 and p99 latency of completed requests",
            value: `${percentile(latencies(outcomes), 0.5).toFixed(0)} and ${
                percentile(latencies(outcomes), 0.99).toFixed(0)
            } ms`,
            bound: "",
        },
        {
            phase,
            figure: "refused as above the rate although within it",
            value: `${wrongful} of ${outcomes.length} (${percent(wrongful, outcomes.length)})`,
            bound: "< 0.1%",
        },
    ];
}

async function measureSite(site: sites.ProcessSite, seed: number): Promise<Row[]> {
    const random = testing.createSeededRandom(seed);
    const caller = createFleetCaller(demo.demoModel);
    const slots = site.engines * sites.slotsPerEngine;
    const fleet = await demo.startFleet({
        zones: site.zones,
        routers: site.routers,
        engines: site.engines,
        services: 0,
        awaitIdempotencyKeys: false,
        engineOptions: { tokenPaceMs: sites.tokenPaceMs, slots: sites.slotsPerEngine },
        adjustDocument: document => sites.withSiteCustomers(document, site, 1),
    });
    const routers = [...fleet.routers];
    let ready = routers.map(() => true);
    const readinessSampler = observer.startSampler(samplePeriodMs, async () => {
        ready = await observer.readReadiness(routers);
    });

    /**
     * Simulates the load balancer: one customer enters through one router, one switches between routers, the others
     * prefer their primary router.
     */
    const pickUnevenly: load.PickRouter = customer => {
        const index = sites.siteCustomers.indexOf(customer);
        const readyRouters = routers.filter((_, router) => ready[router]);
        const position = index === 1
            ? Math.floor(performance.now() / routerChangePeriodMs)
            : index === 0 || random() < primaryRouterShare
            ? index
            : Math.floor(random() * readyRouters.length);
        return (readyRouters[position % readyRouters.length] ?? routers[0])?.listen ?? "";
    };
    const runSteadyLoad = (durationMs: number, factor: (customer: sites.SiteCustomer, elapsedMs: number) => number) =>
        load.runOpenLoop(
            { caller, random, durationMs, pickRouter: pickUnevenly },
            (customer, elapsedMs) => sites.steadyRatePerS(site, customer) * factor(customer, elapsedMs),
        );
    const coresRow = (phase: string, cores: readonly number[]): Row => ({
        phase,
        figure: "cores per router, mean and largest",
        value: `${(cores.reduce((sum, value) => sum + value, 0) / cores.length).toFixed(3)} and ${
            Math.max(...cores).toFixed(3)
        }`,
        bound: phase === "idle" ? "control <= 0.044" : "",
    });

    async function measureIdle(): Promise<Row[]> {
        await runSteadyLoad(warmUpMs, () => 0.8);
        const { cores } = await observer.measureCores(routers, () => sleep(idleMs));
        return [coresRow("idle", cores)];
    }

    async function measureSteady(): Promise<Row[]> {
        const running = observer.startSampler(samplePeriodMs, () => observer.countRunningRequests(fleet.engines));
        const { result, cores } = await observer.measureCores(routers, () => runSteadyLoad(steadyMs, () => 1));
        const samples = await running.stop();
        const mean = samples.reduce((sum, value) => sum + value, 0) / samples.length;
        return [
            ...serviceRows("steady", result),
            { phase: "steady", figure: "slots in use", value: percent(mean, slots), bound: "about 60%" },
            coresRow("steady", cores),
        ];
    }

    async function measureOverload(phase: string, pickRouter: load.PickRouter): Promise<Row[]> {
        const served = new Map(sites.siteCustomers.map(customer => [customer, 0]));
        const startMs = performance.now();
        const gapSampler = observer.startSampler(samplePeriodMs, () => ({
            atMs: performance.now() - startMs,
            perWeight: sites.siteCustomers.map(customer => (served.get(customer) ?? 0) / customer.weight),
        }));
        const runningSampler = observer.startSampler(samplePeriodMs, async () => ({
            atMs: performance.now() - startMs,
            running: await observer.countRunningRequests(fleet.engines),
        }));
        const isMeasured = ({ atMs }: { readonly atMs: number; }) => atMs >= overloadWarmUpMs && atMs < overloadMs;
        const { result, cores } = await observer.measureCores(routers, () =>
            load.runClosedLoop({
                caller,
                random,
                durationMs: overloadMs,
                pickRouter,
                onService: (customer, cost) => served.set(customer, (served.get(customer) ?? 0) + cost),
            }, ({ weight }) => weight * outstandingPerWeight));
        const gaps = (await gapSampler.stop()).filter(isMeasured).map(({ perWeight }) => perWeight);
        const running = (await runningSampler.stop()).filter(isMeasured).map(sample => sample.running);
        const servicePerPeriod = sites.siteCapacityPerS(site) * sites.meanCost * exchangePeriodMs / 1_000;
        const received = gaps.at(-1)?.map((value, index) => value - (gaps[0]?.[index] ?? 0)) ?? [];
        const mean = running.reduce((sum, value) => sum + value, 0) / running.length;
        const failures = describeFailures(result);
        return [
            {
                phase,
                figure: "largest service gap per weight",
                value: `${observer.largestServiceGap(gaps).toFixed(0)} tokens; each customer received ${
                    Math.min(...received).toFixed(0)
                } to ${Math.max(...received).toFixed(0)}`,
                bound: `<= ${(2 * sites.maxCost + 2 * servicePerPeriod).toFixed(0)} tokens`,
            },
            {
                phase,
                figure: "service per weight of each customer, large customers first",
                value: received.map(value => value.toFixed(0)).join(" "),
                bound: "",
            },
            {
                phase,
                figure: "slots in use, mean and smallest sample",
                value: `${percent(mean, slots)} and ${percent(Math.min(...running), slots)}`,
                bound: ">= 95%",
            },
            {
                phase,
                figure: "completed",
                value: `${
                    percent(result.filter(({ isComplete }) => isComplete).length, result.length)
                } of ${result.length}${failures === "" ? "" : ` (${failures})`}`,
                bound: "",
            },
            coresRow(phase, cores),
        ];
    }

    /** Publishes a document with other rates and waits until all routers have adopted it. */
    async function publishRateFactor(rateFactor: number): Promise<void> {
        await fleet.publish(document => sites.withSiteCustomers(document, site, rateFactor));
        await sleep(adoptionDelayMs);
    }

    async function measureZone(): Promise<Row[]> {
        const zone = site.zones[1];
        const setState = (state: "in-service" | "out") =>
            fleet.publish(document => ({
                ...document,
                zones: document.zones.map(entry => entry.id === zone ? { ...entry, state } : entry),
            }));
        const work = runSteadyLoad(zoneMs, () => 1);
        await sleep(zoneMs / 6);
        await setState("out");
        await sleep(zoneMs / 2);
        await setState("in-service");
        return serviceRows("one zone leaves and returns", await work);
    }

    async function measureFlood(): Promise<Row[]> {
        const flooding = sites.siteCustomers[floodingCustomer];
        const isFlood = (customer: sites.SiteCustomer, elapsedMs: number): boolean =>
            customer === flooding && elapsedMs >= floodPartMs;
        const startMs = performance.now();
        const outcomes = await runSteadyLoad(
            2 * floodPartMs,
            (customer, elapsedMs) => isFlood(customer, elapsedMs) ? floodFactor / sites.steadyRateShare : 1,
        );
        const others = outcomes.filter(({ customer }) => customer !== flooding);
        const before = others.filter(({ sentMs }) => sentMs - startMs < floodPartMs);
        const during = others.filter(({ sentMs }) => sentMs - startMs >= floodPartMs);
        const [nominal, flooded] = [before, during].map(part => percentile(latencies(part), 0.99));
        return [
            {
                phase: "flood",
                figure: "p99 latency of the others, before and during the flood",
                value: `${nominal?.toFixed(0)} and ${flooded?.toFixed(0)} ms (${
                    percent((flooded ?? 0) - (nominal ?? 0), nominal ?? 0)
                } more)`,
                bound: "<= 10% more",
            },
            {
                phase: "flood",
                figure: "flooding customer",
                value: describeFailures(outcomes.filter(({ customer }) => customer === flooding)),
                bound: "",
            },
            ...serviceRows("flood, other customers", others),
        ];
    }

    async function measureKill(): Promise<Row[]> {
        const killedRouter = 2;
        const work = runSteadyLoad(killMs, () => 1);
        await sleep(killMs / 8);
        routers[killedRouter]?.child.kill("SIGKILL");
        await routers[killedRouter]?.exited;
        const restartMs = performance.now();
        const restarted = await fleet.startRouter(killedRouter);
        routers[killedRouter] = restarted;
        await demo.waitUntilReady(restarted);
        const readyMs = performance.now() - restartMs;
        const outcomes = await work;
        const retried = outcomes.filter(({ attempts }) => attempts > 1).length;
        return [
            ...serviceRows("router killed and restarted without state", outcomes),
            {
                phase: "router killed and restarted without state",
                figure: "time from restart to ready; retried requests",
                value: `${readyMs.toFixed(0)} ms; ${retried}`,
                bound: "",
            },
        ];
    }

    try {
        const rows = await measureIdle();
        const runPhase = async (name: string, measure: () => Promise<Row[]>): Promise<void> => {
            if (phases?.includes(name) ?? true) {
                rows.push(...await measure());
            }
        };
        await runPhase("steady", measureSteady);
        await publishRateFactor(overloadRateFactor);
        await runPhase("overload", () => measureOverload("overload", pickUnevenly));
        await runPhase(
            "one-router",
            () => measureOverload("overload through one router", () => routers[0]?.listen ?? ""),
        );
        await publishRateFactor(1);
        await runPhase("zone", measureZone);
        await runPhase("flood", measureFlood);
        await runPhase("kill", measureKill);
        return rows;
    }
    finally {
        await readinessSampler.stop();
        caller.close();
        await fleet.stop();
    }
}

const adoptionDelayMs = 1_000;
const seed = Number(process.argv[2] ?? 1);
const phases = process.argv[4]?.split(",");
const selectedSites = sites.processSites.filter(({ name }) => (process.argv[3] ?? name) === name);
const startMs = performance.now();
for (const site of selectedSites) {
    const delay = monitorEventLoopDelay({ resolution: 5 });
    delay.enable();
    const rows = await measureSite(site, seed);
    delay.disable();
    console.log(
        `\n${site.name}: ${site.routers} routers, ${site.engines} engines, seed ${seed}, command `
            + `\`node packages/bench/dist/src/realFleet.js ${process.argv.slice(2).join(" ")}\`, `
            + `event loop delay p99 of the caller ${(delay.percentile(99) / 1e6).toFixed(1)} ms\n`,
    );
    console.log("| phase | figure | measured | bound |\n|---|---|---|---|");
    rows.forEach(({ phase, figure, value, bound }) => console.log(`| ${phase} | ${figure} | ${value} | ${bound} |`));
}
console.log(`\n${((performance.now() - startMs) / 1_000).toFixed(0)} s in total; control bytes: not measured`);
