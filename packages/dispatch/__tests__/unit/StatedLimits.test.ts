import type * as core from "@peridotloft/core";
import * as assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { createDispatchFleet, type DispatchFleet, type RequestOutcome } from "./DispatchFleet.js";

/** Time in ms from the first response with a limit until the limit is binding. */
const contactMs = 3_000;
/** In any window, an upstream may get this multiple of its limit, and some requests more. */
const windowMs = 4_000;
const overshoot = 1.5;
const slack = 5;

const promptsPerS = 60;
const callsPerS = 40;
const defaultPrompts = { ratePerS: promptsPerS, sessions: 40 };
const manyPrompts = { ratePerS: 400, sessions: 400 };

describe("Upstreams that state a limit", () => {
    let fleet: DispatchFleet;
    afterEach(() => fleet.dispose());

    /** Sends prompts and calls at a constant rate. */
    async function offerLoad(durationMs: number, calls = 0, { ratePerS, sessions } = defaultPrompts) {
        const prompts: RequestOutcome[] = [];
        const services: RequestOutcome[] = [];
        const endMs = fleet.clock.nowMs() + durationMs;
        const callShare = calls / (calls + ratePerS);
        while (fleet.clock.nowMs() < endMs) {
            if (fleet.random() < callShare) {
                void fleet.callService().then(outcome => services.push(outcome));
            }
            else {
                const session = `session-${Math.floor(fleet.random() * sessions)}`;
                void fleet.offer({ sharedParts: ["template", session] }).then(outcome => prompts.push(outcome));
            }
            await fleet.clock.advance(1_000 / (calls + ratePerS));
        }
        return { prompts, services };
    }

    const servedShare = (outcomes: readonly RequestOutcome[]): number =>
        outcomes.filter(outcome => outcome === "served").length / outcomes.length;

    function checkLimit(upstream: core.UpstreamId, limitPerS: number, sinceMs: number, context: string): void {
        const times = fleet.limitedArrivals(upstream).map(({ atMs }) => atMs).filter(atMs =>
            atMs >= sinceMs + contactMs
        );
        const mostInWindow = Math.max(
            0,
            ...times.map(startMs => times.filter(atMs => atMs >= startMs && atMs < startMs + windowMs).length),
        );
        const allowed = overshoot * limitPerS * (windowMs / 1_000) + slack;
        assert.ok(
            mostInWindow <= allowed,
            `${context}: ${upstream} got ${mostInWindow} in 4 s, ${allowed} are allowed`,
        );
    }

    function checkUse(upstream: core.UpstreamId, limitPerS: number, fromMs: number, toMs: number): void {
        const count = fleet.arrivalsAt(upstream).filter(({ atMs }) => atMs >= fromMs && atMs < toMs).length;
        const expected = (limitPerS * (toMs - fromMs)) / 1_000;
        assert.ok(count >= expected * 0.7, `${upstream} got ${count} of ${expected} that it takes`);
    }

    for (const seed of [1, 2, 3]) {
        for (
            const sizes of [{ vms: 9, engines: 6, limited: 4 }, { vms: 6, engines: 13, limited: 9 }, {
                vms: 40,
                engines: 30,
                limited: 20,
            }]
        ) {
            it(`get no more than it from ${sizes.vms} VMs, while engines without one serve the rest, seed ${seed}`, async () => {
                const limitPerS = promptsPerS / sizes.engines / 2.5;
                fleet = await createDispatchFleet({ ...sizes, seed });
                await offerLoad(4_000);
                const sinceMs = fleet.clock.nowMs();
                const limited = fleet.limitUpstreams(sizes.limited, limitPerS, "engine");
                const { prompts } = await offerLoad(12_000);
                limited.forEach(id => checkLimit(id, limitPerS, sinceMs, `seed ${seed}`));
                assert.ok(servedShare(prompts) > 0.95, `${servedShare(prompts)} served`);
                fleet.removeLimits();
                const endMs = fleet.clock.nowMs();
                await offerLoad(6_000);
                const fairPerS = (promptsPerS * sizes.limited) / sizes.engines;
                for (const seconds of [2, 5]) {
                    const total = limited.flatMap(id =>
                        fleet.arrivalsAt(id)
                    ).filter(({ atMs }) => atMs > endMs + 1_000 && atMs <= endMs + 1_000 + seconds * 1_000).length;
                    assert.ok(
                        total > fairPerS * seconds * 0.7,
                        `${total} requests in ${seconds} s after the limits ended, ${fairPerS * seconds} is fair`,
                    );
                }
            });
        }

        it(`of a plain service get no more than it, and what they take, seed ${seed}`, async () => {
            fleet = await createDispatchFleet({ vms: 6, engines: 4, services: 3, seed });
            await offerLoad(3_000, callsPerS);
            const sinceMs = fleet.clock.nowMs();
            const limited = fleet.limitUpstreams(2, 7, "service");
            const { services } = await offerLoad(12_000, callsPerS);
            limited.forEach(id => {
                checkLimit(id, 7, sinceMs, `seed ${seed}`);
                checkUse(id, 7, sinceMs + contactMs, fleet.clock.nowMs());
            });
            assert.ok(servedShare(services) > 0.95, `${servedShare(services)} served`);
        });

        it(`get what they take, and no more, if all of them state one, seed ${seed}`, async () => {
            fleet = await createDispatchFleet({ vms: 9, engines: 6, services: 3, seed });
            await offerLoad(3_000, callsPerS);
            const sinceMs = fleet.clock.nowMs();
            const limited = [...fleet.limitUpstreams(6, 5, "engine"), ...fleet.limitUpstreams(3, 5, "service")];
            await offerLoad(12_000, callsPerS);
            limited.forEach(id => {
                checkLimit(id, 5, sinceMs, `seed ${seed}`);
                checkUse(id, 5, sinceMs + contactMs, fleet.clock.nowMs());
            });
        });

        it(`get no more than it from 66 VMs of which many are killed at once and restart, seed ${seed}`, async () => {
            const vms = 66;
            fleet = await createDispatchFleet({ vms, engines: 30, services: 6, seed, lateShare: 0.05 });
            const randomVms = (share: number) =>
                Array.from({ length: vms }, (_, vm) => vm).filter(() => fleet.random() < share);
            await offerLoad(3_000, callsPerS, manyPrompts);
            const sinceMs = fleet.clock.nowMs();
            const limited = [...fleet.limitUpstreams(30, 4, "engine"), ...fleet.limitUpstreams(4, 5, "service")];
            await offerLoad(5_000, callsPerS, manyPrompts);
            fleet.killVms(randomVms(0.3), 1_000);
            await offerLoad(6_000, callsPerS, manyPrompts);
            fleet.killVms(randomVms(0.6), 1_000);
            await offerLoad(6_000, callsPerS, manyPrompts);
            limited.forEach(id => checkLimit(id, String(id).startsWith("r") ? 5 : 4, sinceMs, `seed ${seed}`));
        });

        it(`get no more than it from 66 VMs that lose datagrams, seed ${seed}`, async () => {
            fleet = await createDispatchFleet({ vms: 66, engines: 30, seed, lossShare: 0.05 });
            await offerLoad(3_000, 0, manyPrompts);
            const sinceMs = fleet.clock.nowMs();
            const limited = fleet.limitUpstreams(30, 4, "engine");
            await offerLoad(10_000, 0, manyPrompts);
            limited.forEach(id => checkLimit(id, 4, sinceMs, `seed ${seed}`));
        });

        it(`get no more than it while VMs restart without state, seed ${seed}`, async () => {
            fleet = await createDispatchFleet({ vms: 6, engines: 8, services: 3, seed });
            await offerLoad(3_000, callsPerS);
            const sinceMs = fleet.clock.nowMs();
            const limited = [...fleet.limitUpstreams(5, 3, "engine"), ...fleet.limitUpstreams(2, 5, "service")];
            await offerLoad(4_000, callsPerS);
            for (let vm = 0; vm < 6; vm++) {
                fleet.restartVm(vm);
                await offerLoad(1_500, callsPerS);
            }
            limited.forEach(id => checkLimit(id, String(id).startsWith("r") ? 5 : 3, sinceMs, `seed ${seed}`));
        });
    }
});
