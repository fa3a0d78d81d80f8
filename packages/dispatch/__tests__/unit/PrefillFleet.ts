import * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";
import * as testing from "@peridotloft/testing";
import * as dispatch from "../../src/index.js";
import { startDispatcherVms } from "./DispatcherVms.js";
import { fleetChanges, pool, prefillTokensPerMs, route } from "./EngineFixtures.js";

export const longPrompt = { sharedTokens: 6_300, ownTokens: 2_890 };
export const shortPrompt = { sharedTokens: 200, ownTokens: 100 };
/** Time in ms from the end of the prefill of a prompt to its first event. */
export const firstEventDelayMs = 70;

export interface FleetSizes {
    readonly vms: number;
    readonly engines: number;
    readonly sessions: number;
    readonly customers: number;
    /** Load relative to the capacity of the engines if each session is cached by one engine only. */
    readonly load: number;
    /** Slots of an engine, and the time in ms from a prompt's first event to its last. */
    readonly slots?: number;
    readonly runMs?: number;
    /** Share of the requests moved to the customer "c0", in addition to those of its own sessions. */
    readonly heavyShare?: number;
    /** Share of the attempts of the customer "c0" that their engines shed; the caller then tries again. */
    readonly shedShare?: number;
    /** Requests per second that a cold engine accepts from all VMs. */
    readonly coldRatePerS?: number;
    readonly prompt?: typeof longPrompt;
    /** Speeds of the engines relative to the stated one, in turn. */
    readonly speeds?: readonly number[];
    /** Share of the responses whose first event takes 2.5 times as long, although their engine is not busy for longer. */
    readonly delayedShare?: number;
}

const delayFactor = 2.5;

/** Time in ms until an engine sheds an attempt. */
const shedDelayMs = 5;

const jobOf = (
    number: number,
    session: number,
    customer: string,
    arrivedMs: number,
    { sharedTokens, ownTokens }: typeof longPrompt,
): dispatch.Job => ({
    requestId: core.requestId(`r${number}`),
    route,
    pool,
    customer: core.customerId(customer),
    priority: 1,
    prompt: {
        model: "m",
        inputTokens: sharedTokens + ownTokens,
        maxOutputTokens: 50,
        parts: [{ id: `session-${session}`, tokens: sharedTokens }, { id: `own-${number}`, tokens: ownTokens }],
    },
    arrivedMs,
    deadlineMs: () => arrivedMs + route.timeoutMs,
    fingerprint: () => number,
});

/** Dispatchers of a fleet, and engines that prefill one prompt at a time. */
export async function createPrefillFleet(
    sizes: FleetSizes,
    seed: number,
) {
    const { vms, engines, sessions, customers, load, slots = 128, runMs = 300 } = sizes;
    const { heavyShare = 0, shedShare = 0, coldRatePerS = 0, prompt = longPrompt, speeds = [1], delayedShare = 0 } =
        sizes;
    const { sharedTokens, ownTokens } = prompt;
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(seed);
    const log = testing.createRecordingLog();
    const metrics = testing.createNoopMetrics();
    const network = testing.createDatagramNetwork({ clock, delayMs: () => 1 });
    const snapshot = core.createSnapshotCell(catalog.applyChanges(
        catalog.emptySnapshot,
        fleetChanges(engines, slots, coldRatePerS),
        clock.nowMs(),
    ));
    const { nodes, dispatchers } = await startDispatcherVms({
        vms,
        clock,
        random,
        log,
        metrics,
        snapshot,
        network,
    });

    const speedById = new Map(
        [...snapshot.read().upstreams.keys()].map((id, index) => [id, speeds[index % speeds.length] ?? 1]),
    );
    const meanSpeed = [...speedById.values()].reduce((sum, speed) => sum + speed, 0) / engines;
    const downVms = new Set<number>();
    const engineFreeAtMs = new Map<core.UpstreamId, number>();
    const cachedPrefixes = new Set<string>();
    const counts = { offered: 0, refused: 0, onTime: 0, prefilledAgain: 0 };
    const countsByCustomer = new Map<string, { offered: number; onTime: number; }>();
    const refusals: { readonly customer: string; readonly reason: string; }[] = [];
    const prefilledSessions = new Set<number>();
    /** Times in ms at which prompts arrived at cold engines. */
    const coldArrivalsMs = new Map<core.UpstreamId, number[]>();

    async function offer(number: number): Promise<void> {
        const drawn = Math.floor(random() * sessions);
        const session = random() < heavyShare ? drawn - (drawn % customers) : drawn;
        const customer = `c${session % customers}`;
        counts.offered++;
        const customerCounts = countsByCustomer.get(customer) ?? { offered: 0, onTime: 0 };
        countsByCustomer.set(customer, customerCounts);
        customerCounts.offered++;
        return send(number, session, customer, customerCounts);
    }

    async function send(
        number: number,
        session: number,
        customer: string,
        customerCounts: { onTime: number; },
    ): Promise<void> {
        const arrivedMs = clock.nowMs();
        const runningVms = dispatchers.filter((_, index) => !downVms.has(index));
        const vm = runningVms[Math.floor(random() * runningVms.length)]!;
        const lease = await vm.acquire(jobOf(number, session, customer, arrivedMs, prompt), new Set(), false);
        if (lease.isErr()) {
            counts.refused++;
            refusals.push({ customer, reason: lease.error.reason });
            return;
        }
        if (customer === "c0" && random() < shedShare) {
            clock.setTimer(shedDelayMs, () => {
                lease.value.end("shed");
                void send(number, session, customer, customerCounts);
            });
            return;
        }
        const { id } = lease.value.upstream;
        coldArrivalsMs.get(id)?.push(clock.nowMs());
        const isCached = cachedPrefixes.has(`${id} ${session}`);
        counts.prefilledAgain += !isCached && prefilledSessions.has(session) ? 1 : 0;
        cachedPrefixes.add(`${id} ${session}`);
        prefilledSessions.add(session);
        const speed = speedById.get(id) ?? 1;
        const prefillMs = ((isCached ? 0 : sharedTokens) + ownTokens) / prefillTokensPerMs / speed;
        const prefilledAtMs = Math.max(engineFreeAtMs.get(id) ?? 0, clock.nowMs()) + prefillMs;
        engineFreeAtMs.set(id, prefilledAtMs);
        const firstEventMs = prefilledAtMs + firstEventDelayMs / speed - clock.nowMs();
        const isDelayed = delayedShare > 0 && random() < delayedShare;
        clock.setTimer(firstEventMs * (isDelayed ? delayFactor : 1), () => {
            lease.value.recordFirstByte();
            const isOnTime = clock.nowMs() - arrivedMs <= route.objectiveMs ? 1 : 0;
            counts.onTime += isOnTime;
            customerCounts.onTime += isOnTime;
            clock.setTimer(runMs / speed, () => lease.value.end("ok"));
        });
    }

    /** Restarts the first engines, which are cold for a time, under new ids. */
    function restartEngines(count: number, coldMs: number): void {
        const changes = [...snapshot.read().upstreams.values()].slice(0, count).flatMap(
            (upstream, index): catalog.PositionedChange[] => {
                const position = { era: 0, revision: 1_000 + index };
                const id = core.upstreamId(`cold-${index}`);
                coldArrivalsMs.set(id, []);
                return [
                    {
                        item: `servers/${upstream.id}`,
                        position,
                        change: { kind: "upstream-removed", id: upstream.id },
                    },
                    {
                        item: `servers/${id}`,
                        position,
                        change: { kind: "upstream", upstream: { ...upstream, id, coldLeftMs: coldMs } },
                    },
                ];
            },
        );
        snapshot.update(current => catalog.applyChanges(current, changes, clock.nowMs()));
    }

    /** Starts an engine again under its id, with another speed. */
    function restartEngine(id: core.UpstreamId, speed: number): void {
        const upstream = snapshot.read().upstreams.get(id)!;
        speedById.set(id, speed);
        snapshot.update(current =>
            catalog.applyChanges(current, [{
                item: `servers/${id}`,
                position: { era: 0, revision: 2_000 },
                change: { kind: "upstream", upstream: { ...upstream, startedWallMs: 2 } },
            }], clock.nowMs())
        );
    }

    return {
        clock,
        log,
        counts,
        speedById,
        restartEngine,
        /** Ends VMs without a word. */
        killVms(indexes: readonly number[]): void {
            indexes.forEach(index => {
                downVms.add(index);
                dispatchers[index]!.dispose();
                nodes[index]!.dispose();
            });
        },
        countsByCustomer,
        refusals,
        coldArrivalsMs,
        restartEngines,
        /** Time in ms until each engine has prefilled what was sent to it. */
        queuesMs: (): readonly number[] =>
            [...speedById.keys()].map(id => Math.max(0, (engineFreeAtMs.get(id) ?? 0) - clock.nowMs())),
        /** Offers prompts as a Poisson process. */
        async run(durationMs: number, offeredLoad = load): Promise<void> {
            const prefillMs = ownTokens / prefillTokensPerMs;
            const meanGapMs = Math.max(prefillMs, (prefillMs + firstEventDelayMs + runMs) / slots) / engines
                / offeredLoad / meanSpeed;
            const endMs = clock.nowMs() + durationMs;
            for (let number = 0; clock.nowMs() < endMs; number++) {
                void offer(number);
                await clock.advance(-Math.log(1 - random()) * meanGapMs);
            }
            await clock.advance(2_000);
        },
        resetCounts(): void {
            Object.assign(counts, { offered: 0, refused: 0, onTime: 0, prefilledAgain: 0 });
            countsByCustomer.clear();
            refusals.length = 0;
        },
        dispose(): void {
            const isRunning = (_: unknown, index: number): boolean => !downVms.has(index);
            dispatchers.filter(isRunning).forEach(dispatcher => dispatcher.dispose());
            nodes.filter(isRunning).forEach(node => node.dispose());
        },
    };
}
