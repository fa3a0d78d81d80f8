import type * as demo from "@peridotloft/demo";
import { readProcessUsage } from "./ProcessUsage.js";

/** Samples a value periodically until it is stopped. */
export interface Sampler<T> {
    /** Stops sampling and resolves with the samples in order. */
    stop(): Promise<readonly T[]>;
}

export function startSampler<T>(periodMs: number, sample: () => Promise<T> | T): Sampler<T> {
    const samples: Promise<T>[] = [];
    const timer = setInterval(() => samples.push(Promise.resolve(sample())), periodMs);
    return {
        async stop() {
            clearInterval(timer);
            return Promise.all(samples);
        },
    };
}

/** Number of requests that run in all engines together, by the engines' own counters. */
export async function countRunningRequests(engines: readonly demo.StartedProcess[]): Promise<number> {
    const running = await Promise.all(engines.map(async ({ listen }) => {
        const response = await fetch(`http://${listen}/admin/stats`);
        return (await response.json() as { running: number; }).running;
    }));
    return running.reduce((sum, count) => sum + count, 0);
}

/** Whether each router reports that it is ready. */
export function readReadiness(routers: readonly demo.StartedProcess[]): Promise<boolean[]> {
    return Promise.all(
        routers.map(async ({ adminListen }) =>
            (await fetch(`http://${adminListen}/healthz/ready`).catch(() => undefined))?.ok === true
        ),
    );
}

/** Mean number of cores that each router uses while `work` runs. */
export async function measureCores<T>(
    routers: readonly demo.StartedProcess[],
    work: () => Promise<T>,
): Promise<{ readonly result: T; readonly cores: readonly number[]; }> {
    const readAll = () => Promise.all(routers.map(({ child }) => readProcessUsage(child.pid ?? 0)));
    const startMs = performance.now();
    const before = await readAll();
    const result = await work();
    const after = await readAll();
    const elapsedS = (performance.now() - startMs) / 1_000;
    return { result, cores: after.map(({ cpuS }, index) => (cpuS - (before[index]?.cpuS ?? 0)) / elapsedS) };
}

/**
 * Largest difference in service per weight that two customers receive over any interval between samples. Each sample
 * holds the service per weight of every customer since the start.
 */
export function largestServiceGap(samples: readonly (readonly number[])[]): number {
    const customers = samples[0]?.map((_, index) => index) ?? [];
    const pairs = customers.flatMap(first => customers.filter(second => second > first).map(second => [first, second]));
    return Math.max(
        0,
        ...pairs.map(([first = 0, second = 0]) => {
            const differences = samples.map(sample => (sample[first] ?? 0) - (sample[second] ?? 0));
            return Math.max(...differences) - Math.min(...differences);
        }),
    );
}
