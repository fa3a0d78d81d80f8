import * as core from "@peridotloft/core";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { prefillTokensPerMs, route } from "./EngineFixtures.js";
import { createPrefillFleet, firstEventDelayMs, type FleetSizes } from "./PrefillFleet.js";

/** The sizes of a deployment whose engines have few slots, and room for nearly all of them. */
const sizes = {
    vms: 78,
    engines: 50,
    slots: 12,
    runMs: 60,
    sessions: 400,
    customers: 30,
    prompt: { sharedTokens: 2_500, ownTokens: 2_890 },
} as const;
const warmUpMs = 6_000;
/** The same for a dispatcher that lets more engines cache a session. */
const perfectWarmUpMs = 20_000;
const measuredMs = 6_000;
const sampleIntervalMs = 50;
/** Wait in ms beside which an engine that is idle is one too many. */
const longWaitMs = 150;

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Spread of the queues in ms, and the share of the engines that are idle while another one has a long queue. */
function summarize(samples: readonly (readonly number[])[]) {
    const deviationOf = (queues: readonly number[]): number =>
        Math.sqrt(mean(queues.map(queue => (queue - mean(queues)) ** 2)));
    const idleShareOf = (queues: readonly number[]): number =>
        queues.some(queue => queue > longWaitMs) ? queues.filter(queue => queue === 0).length / queues.length : 0;
    return { deviationMs: mean(samples.map(deviationOf)), idleShare: mean(samples.map(idleShareOf)) };
}

async function measureFleet(load: number, seed: number) {
    const fleet = await createPrefillFleet({ ...sizes, load } satisfies FleetSizes, seed);
    await fleet.run(warmUpMs);
    fleet.resetCounts();
    const samples: (readonly number[])[] = [];
    const stop = core.setRepeatingTimer(fleet.clock, sampleIntervalMs, () => samples.push(fleet.queuesMs()));
    await fleet.run(measuredMs);
    stop();
    fleet.dispose();
    const { offered, onTime, prefilledAgain } = fleet.counts;
    return {
        ...summarize(samples.slice(0, measuredMs / sampleIntervalMs)),
        onTimeShare: onTime / offered,
        prefilledAgainShare: prefilledAgain / offered,
    };
}

/**
 * The same prompts where one place knows all queues and caches, and sends each prompt to where its first event is soonest. A repeated
 * prefill counts twice there: for the prompt, and for those after it.
 */
function measurePerfect(load: number, seed: number) {
    const { engines, sessions, prompt } = sizes;
    const random = testing.createSeededRandom(seed);
    const freeAtMs = new Array<number>(engines).fill(0);
    const cached = Array.from({ length: engines }, () => new Set<number>());
    const meanGapMs = prompt.ownTokens / prefillTokensPerMs / engines / load;
    const samples: (readonly number[])[] = [];
    let [offered, onTime, nextSampleMs] = [0, 0, perfectWarmUpMs];
    for (let nowMs = 0; nowMs < perfectWarmUpMs + measuredMs; nowMs -= Math.log(1 - random()) * meanGapMs) {
        const session = Math.floor(random() * sessions);
        const sharedMs = cached.map(known => known.has(session) ? 0 : prompt.sharedTokens / prefillTokensPerMs);
        const ends = freeAtMs.map((freeMs, index) =>
            Math.max(freeMs, nowMs) + prompt.ownTokens / prefillTokensPerMs + (sharedMs[index] ?? 0)
        );
        const costs = ends.map((endMs, index) => endMs + (sharedMs[index] ?? 0));
        const best = costs.indexOf(Math.min(...costs));
        freeAtMs[best] = ends[best] ?? 0;
        cached[best]?.add(session);
        if (nowMs >= nextSampleMs) {
            nextSampleMs += sampleIntervalMs;
            samples.push(freeAtMs.map(freeMs => Math.max(0, freeMs - nowMs)));
        }
        offered += nowMs >= perfectWarmUpMs ? 1 : 0;
        onTime += nowMs >= perfectWarmUpMs && (ends[best] ?? 0) + firstEventDelayMs - nowMs <= route.objectiveMs
            ? 1
            : 0;
    }
    return { ...summarize(samples), onTimeShare: onTime / offered };
}

describe("Engines with few slots in a fleet of 78 VMs", () => {
    [{ load: 0.8, seed: 1 }, { load: 0.95, seed: 2 }].forEach(({ load, seed }) =>
        it(`are evenly loaded at ${load} of their prefill capacity, as by one dispatcher that knows all queues`, async () => {
            const fleet = await measureFleet(load, seed);
            const perfect = measurePerfect(load, seed);
            const seen = JSON.stringify({ fleet, perfect });
            assert.ok(fleet.onTimeShare >= 0.98 * perfect.onTimeShare, seen);
            assert.ok(fleet.idleShare <= perfect.idleShare + 0.05, seen);
            assert.ok(fleet.prefilledAgainShare <= 0.05, seen);
        })
    );
});
