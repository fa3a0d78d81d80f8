import * as assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import {
    createDispatchFleet,
    type DispatchFleet,
    type DispatchFleetOptions,
    type RequestOutcome,
} from "./DispatchFleet.js";

/** Time in ms from the fifth crash of a part until prompts with it may no longer reach engines. */
const contactMs = 3_000;
/** Prompts with a part that crashes engines that may reach engines after that. */
const maxLateArrivals = 3;
const promptsPerS = 50;

/** Fingerprint of a request that crashes engines. */
const deadlyRequest = 2_000_000;
const longRunMs = 5_000;

/** Time in ms after which all VMs of a small fleet know of a crash. */
const announcementMs = 300;
const canelones = { vms: 9, engines: 6 };
const lantern = { vms: 6, engines: 13 };

const servedShare = (outcomes: readonly RequestOutcome[]): number =>
    outcomes.filter(outcome => outcome === "served").length / outcomes.length;

/** Number of arrivals of a part, or of a request, later than `contactMs` after the nth crash that it caused. */
function arrivalsAfterCrash(fleet: DispatchFleet, cause: string | number, nth: number): number {
    const crashMs = fleet.crashTimesOf(cause)[nth - 1] ?? Number.POSITIVE_INFINITY;
    return fleet.arrivalsOf(cause, crashMs + contactMs, contactMs).length;
}

describe("Prompts with a part that crashes engines", () => {
    let fleet: DispatchFleet;
    afterEach(() => fleet.dispose());

    async function startFleet(options: DispatchFleetOptions): Promise<void> {
        fleet = await createDispatchFleet(options);
    }

    /** Sound prompts share their first part with each other and with the prompts that crash engines. */
    const soundPrompt = () => ({ sharedParts: ["template", `session-${Math.floor(fleet.random() * 40)}`] });
    const crashingPrompt = (part: string) => ({ sharedParts: ["template", "session-of-part", part] });

    /** Offers prompts at a constant rate; a share of them has one of the crashing parts. */
    async function offerPrompts(durationMs: number, crashingShare = 0): Promise<readonly RequestOutcome[]> {
        const parts = [...fleet.crashingParts];
        const sound: RequestOutcome[] = [];
        const endMs = fleet.clock.nowMs() + durationMs;
        while (fleet.clock.nowMs() < endMs) {
            if (fleet.random() < crashingShare) {
                void fleet.offer(crashingPrompt(parts[Math.floor(fleet.random() * parts.length)]!));
            }
            else {
                void fleet.offer(soundPrompt()).then(outcome => sound.push(outcome));
            }
            await fleet.clock.advance(1_000 / promptsPerS);
        }
        return sound;
    }

    const lateArrivals = (part: string): number => arrivalsAfterCrash(fleet, part, 5);

    async function checkIsHeldBack(options: DispatchFleetOptions, parts: readonly string[], share: number) {
        await startFleet(options);
        await offerPrompts(6_000);
        parts.forEach(part => fleet.crashingParts.add(part));
        await offerPrompts(6_000, share);
        const sound = await offerPrompts(12_000, share);
        const { seed } = options;
        parts.forEach(part =>
            assert.ok(lateArrivals(part) <= maxLateArrivals, `seed ${seed}: ${lateArrivals(part)} of ${part}`)
        );
        assert.ok(servedShare(sound) > 0.9, `seed ${seed}: ${servedShare(sound)} of the sound prompts served`);
        assert.ok(!sound.includes("quarantined"), `seed ${seed}: a sound prompt was held back`);
    }

    for (const seed of [1, 2, 3]) {
        for (const options of [canelones, lantern]) {
            it(`are held back within seconds of the fifth crash, seed ${seed}, ${options.vms} VMs`, () =>
                checkIsHeldBack({ ...options, seed }, ["deadly"], 0.06));
        }

        it(`are held back if there are two such parts, seed ${seed}`, () =>
            checkIsHeldBack({ ...lantern, seed }, ["deadly", "lethal"], 0.1));

        it(`are held back if they make up a third of the load, seed ${seed}`, () =>
            checkIsHeldBack({ ...canelones, seed }, ["deadly"], 0.33));

        it(`are held back in a fleet of 40 VMs that loses one in ten datagrams, seed ${seed}`, () =>
            checkIsHeldBack({ vms: 40, engines: 30, seed, lossShare: 0.1 }, ["deadly"], 0.06));
    }

    for (let seed = 1; seed <= 12; seed++) {
        it(`reach no engine once the fifth crash has been announced, seed ${seed}`, async () => {
            await startFleet({ ...canelones, seed });
            await offerPrompts(6_000);
            fleet.crashingParts.add("deadly");
            await offerPrompts(8_000, 0.04);
            const crashTimesMs = fleet.crashTimesOf("deadly");
            assert.ok(crashTimesMs.length >= 3, `${crashTimesMs.length} crashes`);
            const announcedMs = (crashTimesMs[4] ?? Number.POSITIVE_INFINITY) + announcementMs;
            const late = fleet.arrivalsOf("deadly", announcedMs, 0);
            assert.equal(late.length, 0, `${late.length} after crashes at ${crashTimesMs.join()}`);
        });
    }

    it("are held back by VMs that have restarted without state", async () => {
        await startFleet({ ...canelones, seed: 4 });
        await offerPrompts(4_000);
        fleet.crashingParts.add("deadly");
        await offerPrompts(7_000, 0.06);
        for (let vm = 0; vm < canelones.vms; vm++) {
            fleet.restartVm(vm);
            await offerPrompts(1_500, 0.06);
        }
        await offerPrompts(3_500, 0.06);
        assert.ok(lateArrivals("deadly") <= maxLateArrivals, `${lateArrivals("deadly")} late arrivals`);
    });
});

/** Sends the long prompt of a caller again as soon as its response has ended, until `isOver`; adds what happened to `outcomes`. */
async function repeatLongPrompt(
    fleet: DispatchFleet,
    caller: number,
    isOver: () => boolean,
    outcomes: RequestOutcome[],
): Promise<void> {
    while (!isOver()) {
        outcomes.push(
            await fleet.offer({
                sharedParts: ["template", `agent-${caller}`],
                fingerprint: 1_000_000 + caller,
                runMs: longRunMs,
            }),
        );
        await new Promise<void>(resolve => void fleet.clock.setTimer(100, resolve));
    }
}

// The first event of a stream used to acquit its request, so that it crashed one engine after another without end.
describe("Requests that crash engines after the first event", () => {
    let fleet: DispatchFleet;
    afterEach(() => fleet.dispose());

    interface Load {
        readonly durationMs: number;
        /** Time in ms from the first event to the crash, and between two attempts of the caller. */
        readonly crashDelayMs: number;
        readonly gapMs: number;
        /** Long prompts that are offered per second, each another request. */
        readonly longPerS: number;
        /** Callers that send one long prompt again as soon as its response has ended. */
        readonly repeatingCallers: number;
    }

    /** Offers the request again and again; returns what happened to the other prompts. */
    async function offerBesideOthers({ durationMs, crashDelayMs, gapMs, longPerS, repeatingCallers }: Load) {
        const outcomes: RequestOutcome[] = [];
        const startMs = fleet.clock.nowMs();
        const isOver = (): boolean => fleet.clock.nowMs() - startMs >= durationMs;
        Array.from({ length: repeatingCallers }, (_, caller) => void repeatLongPrompt(fleet, caller, isOver, outcomes));
        fleet.crashingRequests.set(deadlyRequest, crashDelayMs);
        let nextAttemptMs = startMs + longRunMs;
        while (!isOver()) {
            const session = `session-${Math.floor(fleet.random() * 40)}`;
            void fleet.offer({ sharedParts: ["template", session] }).then(outcome => outcomes.push(outcome));
            if (fleet.random() < longPerS / promptsPerS) {
                void fleet.offer({ sharedParts: ["template", session], runMs: longRunMs }).then(outcome =>
                    outcomes.push(outcome)
                );
            }
            if (fleet.clock.nowMs() >= nextAttemptMs) {
                nextAttemptMs += gapMs;
                void fleet.offerOnce({
                    sharedParts: ["template"],
                    fingerprint: deadlyRequest,
                    runMs: longRunMs,
                    maxAttempts: 1,
                });
            }
            await fleet.clock.advance(1_000 / promptsPerS);
        }
        return outcomes;
    }

    async function checkIsHeldBack(options: DispatchFleetOptions, load: Load, minServedShare: number) {
        fleet = await createDispatchFleet(options);
        const outcomes = await offerBesideOthers(load);
        const { seed } = options;
        assert.ok(fleet.crashTimesOf(deadlyRequest).length >= 3, `seed ${seed}: too few crashes`);
        const late = arrivalsAfterCrash(fleet, deadlyRequest, 3);
        assert.ok(late <= maxLateArrivals, `seed ${seed}: ${late} late arrivals`);
        assert.equal(outcomes.filter(outcome => outcome === "quarantined").length, 0, `seed ${seed}: sound ones`);
        const served = servedShare(outcomes);
        assert.ok(served > minServedShare, `seed ${seed}: ${served} of the other prompts served`);
    }

    for (const seed of [1, 2, 3]) {
        for (const options of [canelones, lantern]) {
            it(`are held back while identical long prompts are served, seed ${seed}, ${options.vms} VMs`, () =>
                checkIsHeldBack(
                    { ...options, seed },
                    { durationMs: 30_000, crashDelayMs: 30, gapMs: 1_000, longPerS: 10, repeatingCallers: 15 },
                    0.9,
                ));

            it(`are held back if they come rarely and crash engines seconds later, seed ${seed}, ${options.vms} VMs`, () =>
                checkIsHeldBack(
                    { ...options, seed },
                    { durationMs: 50_000, crashDelayMs: 2_000, gapMs: 4_000, longPerS: 10, repeatingCallers: 15 },
                    0.9,
                ));
        }

        it(`are held back if each crash breaks a hundred streams, seed ${seed}`, () =>
            checkIsHeldBack(
                { ...canelones, seed },
                { durationMs: 30_000, crashDelayMs: 30, gapMs: 1_000, longPerS: 100, repeatingCallers: 15 },
                0.75,
            ));

        it(`are held back although VMs lose one in ten datagrams, seed ${seed}`, () =>
            checkIsHeldBack(
                { ...lantern, seed, lossShare: 0.1 },
                { durationMs: 30_000, crashDelayMs: 30, gapMs: 1_500, longPerS: 10, repeatingCallers: 15 },
                0.9,
            ));
    }
});

describe("Sound prompts", () => {
    let fleet: DispatchFleet;
    afterEach(() => fleet.dispose());

    const template = (): string => `template-${Math.floor(fleet.random() * 3)}`;

    /** Offers prompts of some frequent and many rare sessions, each with the action at random moments. */
    async function offerDuring(durationMs: number, action: () => void): Promise<readonly RequestOutcome[]> {
        const outcomes: RequestOutcome[] = [];
        const endMs = fleet.clock.nowMs() + durationMs;
        while (fleet.clock.nowMs() < endMs) {
            const session = Math.floor(200 * fleet.random() ** 3);
            void fleet.offer({ sharedParts: [template(), `session-${session}`] }).then(outcome =>
                outcomes.push(outcome)
            );
            if (fleet.random() < 1 / promptsPerS) {
                action();
            }
            await fleet.clock.advance(1_000 / promptsPerS);
        }
        return outcomes;
    }

    const checkNoneIsHeldBack = (outcomes: readonly RequestOutcome[], seed: number): void => {
        assert.ok(outcomes.includes("failed") || outcomes.includes("refused"), "no fault had an effect");
        assert.equal(outcomes.filter(outcome => outcome === "quarantined").length, 0, `seed ${seed}`);
    };

    for (const seed of [1, 2, 3, 4]) {
        it(`are not held back when engines crash one by one, seed ${seed}`, async () => {
            fleet = await createDispatchFleet({ ...canelones, seed });
            checkNoneIsHeldBack(await offerDuring(20_000, () => fleet.crashEngines(1)), seed);
        });

        it(`are not held back when all engines crash at once, again and again, seed ${seed}`, async () => {
            fleet = await createDispatchFleet({ ...canelones, seed });
            checkNoneIsHeldBack(await offerDuring(20_000, () => fleet.crashEngines(canelones.engines)), seed);
        });

        it(`are not held back when they are identical and long, and engines crash one by one, seed ${seed}`, async () => {
            fleet = await createDispatchFleet({ ...lantern, seed });
            const identical: RequestOutcome[] = [];
            const endMs = fleet.clock.nowMs() + 20_000;
            const isOver = (): boolean => fleet.clock.nowMs() >= endMs;
            Array.from({ length: 20 }, (_, caller) => void repeatLongPrompt(fleet, caller, isOver, identical));
            const others = await offerDuring(20_000, () => fleet.crashEngines(1));
            checkNoneIsHeldBack([...identical, ...others], seed);
        });

        it(`are not held back when connections break, seed ${seed}`, async () => {
            fleet = await createDispatchFleet({ ...canelones, seed });
            checkNoneIsHeldBack(await offerDuring(20_000, () => fleet.breakConnections(0.8)), seed);
        });

        it(`are not held back when engines crash and VMs restart without state, seed ${seed}`, async () => {
            fleet = await createDispatchFleet({ ...canelones, seed });
            const restart = (): void => fleet.restartVm(Math.floor(fleet.random() * canelones.vms));
            const outcomes = await offerDuring(20_000, () => {
                fleet.crashEngines(2);
                restart();
            });
            checkNoneIsHeldBack(outcomes, seed);
        });
    }
});
