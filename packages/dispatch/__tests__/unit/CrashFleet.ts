import * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";
import * as fleets from "@peridotloft/fleet";
import * as testing from "@peridotloft/testing";
import * as dispatch from "../../src/index.js";
import { fleetChanges, pool, route as engineRoute, upstreamOf } from "./EngineFixtures.js";

const route = { ...engineRoute, maxAttempts: 2, resumable: true };

export interface CrashFleetOptions {
    readonly vms: number;
    readonly engines: number;
    readonly seed: number;
    /** Share of the datagrams between VMs that are lost. */
    readonly lossShare?: number;
}

/** A prompt that a caller sends. */
export interface OfferedPrompt {
    readonly sharedParts: readonly string[];
    /** VM that gets the prompt; by default any VM, and another one when the caller tries again. */
    readonly vm?: number;
}

/** What happened to a request. */
export type RequestOutcome = "served" | "failed" | "refused" | "quarantined";

/** An attempt that reached an engine. */
export interface Arrival {
    readonly atMs: number;
    readonly vm: number;
    readonly sharedParts: readonly string[];
}

interface Engine {
    readonly id: core.UpstreamId;
    isUp: boolean;
    readonly leases: Set<dispatch.Lease>;
}

/** Time in ms until an engine writes the first event of a response, and until the response ends. */
const firstEventMs = 150;
const responseMs = 600;
/** Time in ms after which a new run of a crashed engine is registered, under another id. */
const engineRestartMs = 3_000;

/** VMs with a dispatcher each, and engines that crash when they begin to respond to a prompt with certain parts. */
export async function createCrashFleet({ vms, engines, seed, lossShare = 0 }: CrashFleetOptions) {
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(seed);
    const metrics = testing.createNoopMetrics();
    const receivers = new Map<string, (bytes: Uint8Array, from: string) => void>();
    const snapshot = core.createSnapshotCell(
        catalog.applyChanges(catalog.emptySnapshot, fleetChanges(engines, 128), clock.nowMs()),
    );
    const engineById = new Map<core.UpstreamId, Engine>(
        [...snapshot.read().upstreams.keys()].map(id => [id, { id, isUp: true, leases: new Set() }]),
    );
    const crashingParts = new Set<string>();
    const arrivals: Arrival[] = [];
    const crashTimesMs = new Map<string, number[]>();
    const startTimesMs: number[] = [];
    let position = 1_000;
    let number = 0;
    let incarnation = 0n;

    function startVm(index: number) {
        const address = `10.0.0.${index + 1}`;
        const log = testing.createRecordingLog();
        startTimesMs[index] = clock.nowMs();
        const node = fleets.createFleetNode({
            address,
            zone: core.zoneId(`z${index % 3}`),
            seeds: ["10.0.0.1", "10.0.0.2", "10.0.0.3"],
            incarnation: ++incarnation,
            socket: {
                send: (bytes, to) =>
                    void (random() >= lossShare && clock.setTimer(1, () => receivers.get(to)?.(bytes, address))),
                onMessage: receive => void receivers.set(address, receive),
                close: () => void receivers.delete(address),
            },
            clock,
            random,
            log,
            metrics,
        });
        const dispatcher = dispatch.createDispatcher({ clock, random, catalog: snapshot, fleet: node, log, metrics });
        node.start();
        return { node, dispatcher, log };
    }

    const fleet = Array.from({ length: vms }, (_, index) => startVm(index));
    await clock.advance(6_000);

    function publish(changes: readonly catalog.PositionedChange[]): void {
        snapshot.update(current => catalog.applyChanges(current, changes, clock.nowMs()));
    }

    function crash(engine: Engine): void {
        engine.isUp = false;
        [...engine.leases].forEach(lease => lease.end("broken"));
        engine.leases.clear();
        clock.setTimer(engineRestartMs, () => {
            position++;
            const id = core.upstreamId(`i-run-${position}`);
            engineById.delete(engine.id);
            engineById.set(id, { id, isUp: true, leases: new Set() });
            publish([
                { item: `servers/${engine.id}`, position, change: { kind: "upstream-removed", id: engine.id } },
                { item: `servers/${id}`, position, change: { kind: "upstream", upstream: upstreamOf(id) } },
            ]);
        });
    }

    function createJob(prompt: OfferedPrompt, fingerprint: number): dispatch.Job {
        const parts = [...prompt.sharedParts.map(id => ({ id, tokens: 300 })), {
            id: `own-${fingerprint}`,
            tokens: 90,
        }];
        return {
            requestId: core.requestId(`r${fingerprint}`),
            route,
            pool,
            customer: core.customerId("north"),
            priority: 1,
            prompt: {
                model: "m",
                inputTokens: parts.reduce((sum, { tokens }) => sum + tokens, 0),
                maxOutputTokens: 50,
                parts,
            },
            arrivedMs: clock.nowMs(),
            deadlineMs: clock.nowMs() + route.timeoutMs,
            fingerprint: () => fingerprint,
        };
    }

    /** Sends a prompt to an engine; resolves when the response has ended. */
    function send(lease: dispatch.Lease, sharedParts: readonly string[], vm: number): Promise<"served" | "failed"> {
        const engine = engineById.get(lease.upstream.id);
        return new Promise(resolve => {
            if (!engine?.isUp) {
                clock.setTimer(2, () => {
                    lease.end("connect-failed");
                    resolve("failed");
                });
                return;
            }
            arrivals.push({ atMs: clock.nowMs(), vm, sharedParts });
            engine.leases.add(lease);
            const isLost = (): boolean => !engine.leases.has(lease);
            clock.setTimer(firstEventMs, () => {
                const cause = sharedParts.find(part => crashingParts.has(part));
                if (!isLost() && cause !== undefined) {
                    crashTimesMs.set(cause, [...(crashTimesMs.get(cause) ?? []), clock.nowMs()]);
                    crash(engine);
                }
                if (isLost()) {
                    resolve("failed");
                    return;
                }
                lease.recordFirstByte();
                clock.setTimer(responseMs - firstEventMs, () => {
                    if (!isLost()) {
                        engine.leases.delete(lease);
                        lease.end("ok");
                    }
                    resolve("served");
                });
            });
        });
    }

    async function serve(prompt: OfferedPrompt, fingerprint: number): Promise<RequestOutcome> {
        const vm = prompt.vm ?? Math.floor(random() * vms);
        const job = createJob(prompt, fingerprint);
        const avoided = new Set<core.UpstreamId>();
        for (let attempt = 0; attempt < route.maxAttempts; attempt++) {
            const lease = await fleet[vm]!.dispatcher.acquire(job, avoided, attempt > 0);
            if (lease.isErr()) {
                return lease.error.reason === "quarantined" ? "quarantined" : "refused";
            }
            if (await send(lease.value, prompt.sharedParts, vm) === "served") {
                return "served";
            }
            avoided.add(lease.value.upstream.id);
        }
        return "failed";
    }

    return {
        clock,
        random,
        crashingParts,
        /** Times in ms of the crashes that a part caused. */
        crashTimesOf: (part: string): readonly number[] => crashTimesMs.get(part) ?? [],
        logsOf: (event: string) => fleet.flatMap(({ log }) => log.lines.filter(line => line.event === event)),
        /** Serves a prompt; the caller tries once more, at another VM, unless it is served. */
        async offer(prompt: OfferedPrompt): Promise<RequestOutcome> {
            const fingerprint = ++number;
            const outcome = await serve(prompt, fingerprint);
            return outcome === "failed" ? serve(prompt, fingerprint) : outcome;
        },
        crashEngines(count: number): void {
            core.shuffle([...engineById.values()].filter(({ isUp }) => isUp), random).slice(0, count).forEach(crash);
        },
        /** Breaks the connections of a share of the requests in flight, while their engines run on. */
        breakConnections(share: number): void {
            engineById.forEach(engine =>
                [...engine.leases].filter(() => random() < share).forEach(lease => {
                    engine.leases.delete(lease);
                    lease.end("broken");
                })
            );
        },
        /** Replaces a VM by one without state. */
        restartVm(index: number): void {
            fleet[index]!.dispatcher.dispose();
            fleet[index]!.node.dispose();
            fleet[index] = startVm(index);
        },
        /** Arrivals of a part later than a time, from VMs that had been running for at least `contactMs` by then. */
        arrivalsOf: (part: string, afterMs: number, contactMs: number): readonly Arrival[] =>
            arrivals.filter(({ atMs, vm, sharedParts }) =>
                atMs > afterMs && sharedParts.includes(part) && atMs - startTimesMs[vm]! >= contactMs
            ),
        dispose(): void {
            fleet.forEach(({ dispatcher, node }) => {
                dispatcher.dispose();
                node.dispose();
            });
        },
    };
}

export type CrashFleet = Awaited<ReturnType<typeof createCrashFleet>>;
