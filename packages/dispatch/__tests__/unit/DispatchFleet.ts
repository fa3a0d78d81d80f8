import * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";
import * as fleets from "@peridotloft/fleet";
import * as testing from "@peridotloft/testing";
import * as dispatch from "../../src/index.js";
import { fleetChanges, pool, route as engineRoute, upstreamOf } from "./EngineFixtures.js";

const route = { ...engineRoute, maxAttempts: 2, resumable: true };

export interface DispatchFleetOptions {
    readonly vms: number;
    readonly engines: number;
    /** Upstreams of a plain service. */
    readonly services?: number;
    readonly seed: number;
    /** Share of the datagrams between VMs that are lost. */
    readonly lossShare?: number;
    /** Share of the datagrams between VMs that arrive after a question has timed out, as from a busy VM. */
    readonly lateShare?: number;
}

/** A prompt that a caller sends. */
export interface OfferedPrompt {
    readonly sharedParts: readonly string[];
    /** VM that gets the prompt; by default any VM, and another one when the caller tries again. */
    readonly vm?: number;
    /** Identifies the request if it is sent again and again; by default each prompt is another request. */
    readonly fingerprint?: number;
    /** Time in ms from the first event to the end of the response. */
    readonly runMs?: number;
    /** Number of upstreams to which a VM may send the prompt. */
    readonly maxAttempts?: number;
}

/** What happened to a request. */
export type RequestOutcome = "served" | "failed" | "refused" | "quarantined";

/** An attempt that reached an upstream. */
export interface Arrival {
    readonly atMs: number;
    readonly vm: number;
    /** Run of the VM. */
    readonly incarnation: string;
    readonly upstream: core.UpstreamId;
    readonly sharedParts: readonly string[];
    readonly fingerprint: number;
}

interface FakeUpstream {
    readonly id: core.UpstreamId;
    readonly pool: core.PoolId;
    isUp: boolean;
    readonly leases: Set<dispatch.Lease>;
    /** Limit in requests per second that its responses state. */
    limitPerS?: number;
    /** Times in ms at which each run of a VM first received a response with a limit, by the VM's incarnation. */
    readonly statedMs: Map<string, number>;
}

/** Time in ms from a response with a limit until the requests of its VM count. */
const statedDelayMs = 500;
const serviceRoute: typeof route = { ...route, kind: "idempotent", objectiveMs: 120, timeoutMs: 1_000 };
const servicePool = core.poolId("register");
/** Delay in ms of a datagram. */
const datagramMs = 1;
/** Delay in ms of a late datagram. */
const lateDatagramMs = 70;
/** Time in ms that a plain service takes. */
const serviceResponseMs = 40;

/** Time in ms until an engine writes the first event of a response, and from then until the response ends. */
const firstEventMs = 150;
const defaultRunMs = 450;
/** Time in ms after which a new run of a crashed engine is registered, under another id. */
const engineRestartMs = 3_000;

/**
 * VMs with a dispatcher each, and upstreams. Engines crash when they begin to respond to a prompt with certain parts, or some
 * time after they began to respond to certain requests, and upstreams may state a limit in their responses.
 */
export async function createDispatchFleet(options: DispatchFleetOptions) {
    const { vms, engines, services = 0, seed, lossShare = 0, lateShare = 0 } = options;
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(seed);
    const metrics = testing.createNoopMetrics();
    const network = testing.createDatagramNetwork({
        clock,
        delayMs: () =>
            random() < lossShare
                ? undefined
                : lateShare > 0 && random() < lateShare
                ? lateDatagramMs
                : datagramMs,
    });
    const snapshot = core.createSnapshotCell(
        catalog.applyChanges(
            catalog.emptySnapshot,
            [
                ...fleetChanges(engines, 128),
                ...Array.from({ length: services }, (_, index): catalog.PositionedChange => ({
                    item: `servers/r-${index}`,
                    position: { era: 0, revision: index + 2 },
                    change: {
                        kind: "upstream",
                        upstream: upstreamOf(`r-${index}`, { pool: servicePool, port: 9_000 + index, slots: 6 }),
                    },
                })),
            ],
            clock.nowMs(),
        ),
    );
    const createUpstream = (id: core.UpstreamId, upstreamPool: core.PoolId): FakeUpstream => ({
        id,
        pool: upstreamPool,
        isUp: true,
        leases: new Set(),
        statedMs: new Map(),
    });
    const upstreamById = new Map(
        [...snapshot.read().upstreams.values()].map(upstream => [
            upstream.id,
            createUpstream(upstream.id, upstream.pool),
        ]),
    );
    const crashingParts = new Set<string>();
    /** Times in ms from the first event of a response to the crash, by fingerprint of the request. */
    const crashingRequests = new Map<number, number>();
    const arrivals: Arrival[] = [];
    const crashTimesMs = new Map<string | number, number[]>();
    const startTimesMs: number[] = [];
    let revision = 1_000;
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
            socket: network.openSocket(address),
            clock,
            random,
            log,
            metrics,
        });
        const dispatcher = dispatch.createDispatcher({ clock, random, catalog: snapshot, fleet: node, log, metrics });
        node.start();
        return { node, dispatcher, log, incarnation: String(incarnation) };
    }

    const fleet = Array.from({ length: vms }, (_, index) => startVm(index));
    const downVms = new Set<number>();
    await clock.advance(6_000);

    function randomVm(): number {
        const running = fleet.map((_, index) => index).filter(index => !downVms.has(index));
        return running[Math.floor(random() * running.length)] ?? 0;
    }

    function publish(changes: readonly catalog.PositionedChange[]): void {
        snapshot.update(current => catalog.applyChanges(current, changes, clock.nowMs()));
    }

    function crash(engine: FakeUpstream, cause?: string | number): void {
        if (cause !== undefined) {
            crashTimesMs.set(cause, [...(crashTimesMs.get(cause) ?? []), clock.nowMs()]);
        }
        engine.isUp = false;
        [...engine.leases].forEach(lease => lease.end("broken"));
        engine.leases.clear();
        clock.setTimer(engineRestartMs, () => {
            revision++;
            const position = { era: 0, revision };
            const id = core.upstreamId(`i-run-${revision}`);
            upstreamById.delete(engine.id);
            upstreamById.set(id, createUpstream(id, engine.pool));
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
        const arrivedMs = clock.nowMs();
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
            arrivedMs,
            deadlineMs: () => arrivedMs + route.timeoutMs,
            fingerprint: () => fingerprint,
        };
    }

    function respond(upstream: FakeUpstream, lease: dispatch.Lease, vm: number): void {
        const { incarnation: run } = fleet[vm]!;
        if (upstream.limitPerS !== undefined && !upstream.statedMs.has(run)) {
            upstream.statedMs.set(run, clock.nowMs());
        }
        lease.recordStatements({ ...dispatch.noStatements, limitPerS: upstream.limitPerS });
        lease.recordFirstByte();
    }

    /** Calls a plain service once; resolves when the response has ended. */
    async function callService(vm: number): Promise<RequestOutcome> {
        const fingerprint = ++number;
        const lease = await fleet[vm]!.dispatcher.acquire(
            {
                ...createJob({ sharedParts: [] }, fingerprint),
                route: serviceRoute,
                pool: servicePool,
                prompt: undefined,
            },
            new Set(),
            false,
        );
        if (lease.isErr()) {
            return "refused";
        }
        const upstream = upstreamById.get(lease.value.upstream.id)!;
        arrivals.push({
            atMs: clock.nowMs(),
            vm,
            incarnation: fleet[vm]!.incarnation,
            upstream: upstream.id,
            sharedParts: [],
            fingerprint,
        });
        return new Promise(resolve =>
            clock.setTimer(serviceResponseMs, () => {
                respond(upstream, lease.value, vm);
                lease.value.end("ok");
                resolve("served");
            })
        );
    }

    /** Sends a prompt to an engine; resolves when the response has ended. */
    function send(
        lease: dispatch.Lease,
        { sharedParts, runMs = defaultRunMs }: OfferedPrompt,
        fingerprint: number,
        vm: number,
    ): Promise<"served" | "failed"> {
        const engine = upstreamById.get(lease.upstream.id);
        return new Promise(resolve => {
            if (!engine?.isUp) {
                clock.setTimer(2, () => {
                    lease.end("connect-failed");
                    resolve("failed");
                });
                return;
            }
            arrivals.push({
                atMs: clock.nowMs(),
                vm,
                incarnation: fleet[vm]!.incarnation,
                upstream: engine.id,
                sharedParts,
                fingerprint,
            });
            engine.leases.add(lease);
            const isLost = (): boolean => !engine.leases.has(lease);
            clock.setTimer(firstEventMs, () => {
                const cause = sharedParts.find(part => crashingParts.has(part));
                if (!isLost() && cause !== undefined) {
                    crash(engine, cause);
                }
                if (isLost()) {
                    resolve("failed");
                    return;
                }
                respond(engine, lease, vm);
                const crashDelayMs = crashingRequests.get(fingerprint);
                if (crashDelayMs !== undefined) {
                    clock.setTimer(crashDelayMs, () => !isLost() && crash(engine, fingerprint));
                }
                clock.setTimer(runMs, () => {
                    if (isLost()) {
                        resolve("failed");
                        return;
                    }
                    engine.leases.delete(lease);
                    lease.end("ok");
                    resolve("served");
                });
            });
        });
    }

    const fingerprintOf = (prompt: OfferedPrompt): number => prompt.fingerprint ?? ++number;

    async function serve(prompt: OfferedPrompt, fingerprint: number): Promise<RequestOutcome> {
        const vm = prompt.vm ?? randomVm();
        const job = createJob(prompt, fingerprint);
        const avoided = new Set<core.UpstreamId>();
        const { maxAttempts = route.maxAttempts } = prompt;
        for (let attempt = 0; attempt < maxAttempts; attempt++) {
            const lease = await fleet[vm]!.dispatcher.acquire(job, avoided, attempt > 0);
            if (lease.isErr()) {
                return lease.error.reason === "quarantined" ? "quarantined" : "refused";
            }
            if (await send(lease.value, prompt, fingerprint, vm) === "served") {
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
        crashingRequests,
        /** Times in ms of the crashes that a part, or a request, caused. */
        crashTimesOf: (cause: string | number): readonly number[] => crashTimesMs.get(cause) ?? [],
        logsOf: (event: string) => fleet.flatMap(({ log }) => log.lines.filter(line => line.event === event)),
        /** Serves a prompt; the caller tries once more, at another VM, unless it is served. */
        async offer(prompt: OfferedPrompt): Promise<RequestOutcome> {
            const fingerprint = fingerprintOf(prompt);
            const outcome = await serve(prompt, fingerprint);
            return outcome === "failed" ? serve(prompt, fingerprint) : outcome;
        },
        /** Serves a prompt; the caller does not try again. */
        offerOnce: (prompt: OfferedPrompt): Promise<RequestOutcome> => serve(prompt, fingerprintOf(prompt)),
        callService: (): Promise<RequestOutcome> => callService(randomVm()),
        /** Makes a number of engines, or of upstreams of the plain service, state a limit; returns their ids. */
        limitUpstreams(count: number, limitPerS: number, kind: "engine" | "service"): readonly core.UpstreamId[] {
            const limited = [...upstreamById.values()]
                .filter(upstream => (upstream.pool === servicePool) === (kind === "service"))
                .slice(0, count);
            limited.forEach(upstream => upstream.limitPerS = limitPerS);
            return limited.map(({ id }) => id);
        },
        removeLimits: (): void => upstreamById.forEach(upstream => delete upstream.limitPerS),
        /** Arrivals at an upstream from runs of VMs that had received its limit half a second before or earlier. */
        limitedArrivals(id: core.UpstreamId): readonly Arrival[] {
            const { statedMs } = upstreamById.get(id)!;
            return arrivals.filter(({ upstream, atMs, incarnation: run }) =>
                upstream === id && atMs >= (statedMs.get(run) ?? Number.POSITIVE_INFINITY) + statedDelayMs
            );
        },
        arrivalsAt: (id: core.UpstreamId): readonly Arrival[] => arrivals.filter(({ upstream }) => upstream === id),
        crashEngines(count: number): void {
            core.shuffle([...upstreamById.values()].filter(({ isUp, pool: other }) => isUp && other === pool), random)
                .slice(0, count).forEach(engine => crash(engine));
        },
        /** Breaks the connections of a share of the requests in flight, while their engines run on. */
        breakConnections(share: number): void {
            upstreamById.forEach(engine =>
                [...engine.leases].filter(() => random() < share).forEach(lease => {
                    engine.leases.delete(lease);
                    lease.end("broken");
                })
            );
        },
        /** Ends VMs, and starts them without state after `downMs`. */
        killVms(indexes: readonly number[], downMs: number): void {
            indexes.filter(index => !downVms.has(index)).forEach(index => {
                downVms.add(index);
                fleet[index]!.dispatcher.dispose();
                fleet[index]!.node.dispose();
                clock.setTimer(downMs, () => {
                    downVms.delete(index);
                    fleet[index] = startVm(index);
                });
            });
        },
        /** Replaces a VM by one without state. */
        restartVm(index: number): void {
            fleet[index]!.dispatcher.dispose();
            fleet[index]!.node.dispose();
            fleet[index] = startVm(index);
        },
        /**
         * Arrivals of a part, or of a request, later than a time, from VMs that had been running for at least `contactMs` by
         * then.
         */
        arrivalsOf: (cause: string | number, afterMs: number, contactMs: number): readonly Arrival[] =>
            arrivals.filter(({ atMs, vm, sharedParts, fingerprint }) =>
                atMs > afterMs && (fingerprint === cause || sharedParts.some(part => part === cause))
                && atMs - startTimesMs[vm]! >= contactMs
            ),
        dispose(): void {
            fleet.forEach(({ dispatcher, node }) => {
                dispatcher.dispose();
                node.dispose();
            });
        },
    };
}

export type DispatchFleet = Awaited<ReturnType<typeof createDispatchFleet>>;
