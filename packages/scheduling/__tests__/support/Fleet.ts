import * as core from "@peridotloft/core";
import * as documents from "@peridotloft/document";
import * as ownership from "@peridotloft/ownership";
import * as testing from "@peridotloft/testing";
import * as scheduling from "../../src/index.js";

export interface FleetOptions {
    readonly seed: number;
    readonly vms?: number;
    readonly zones?: number;
    readonly engines?: number;
    readonly slots?: number;
    readonly coldSlots?: number;
    readonly customers?: readonly { readonly id: string; readonly weight: number; readonly maxQueued?: number; }[];
    readonly deadlineMs?: number;
    readonly lossRatio?: number;
    readonly policy?: Partial<scheduling.SchedulingPolicy>;
    readonly engine?: Partial<testing.FakeEngineOptions>;
}

export interface Work {
    readonly workMs: number;
    readonly cost: number;
    readonly estimatedCost?: number;
    readonly deadlineMs?: number;
    readonly signal?: AbortSignal;
}

/** One request as a test sees it. */
export interface Trace {
    readonly customer: string;
    readonly vm: number;
    readonly askedMs: number;
    readonly cost: number;
    startedMs?: number;
    endedMs?: number;
    upstream?: core.UpstreamId;
    refusal?: string;
}

interface Node {
    readonly scheduler: scheduling.Scheduler;
    readonly clock: testing.PausableClock;
    readonly owners: ownership.Ownership;
    readonly cell: core.SnapshotCell<documents.FleetDocument>;
    readonly runs: Set<testing.EngineRun>;
    readonly stop: () => void;
    isDown: boolean;
}

export type Fleet = ReturnType<typeof createFleet>;

export const pool = core.poolId("assistant");
const zoneName = (index: number): string => `z${index}`;

function createDocument(options: Required<Omit<FleetOptions, "policy" | "engine">>): documents.FleetDocument {
    const input: documents.FleetDocumentInput = {
        version: 1,
        zones: Array.from({ length: options.zones }, (_, index) => ({ id: zoneName(index), region: "r" })),
        vms: Array.from({ length: options.vms }, (_, index) => ({
            id: `vm-${index}`,
            zone: zoneName(index % options.zones),
            peerAddress: `127.0.0.1:${7000 + index}`,
        })),
        customers: options.customers.map(customer => ({ ...customer, rateCostPerS: 1, burstCost: 1 })),
        pools: [{
            id: pool,
            kind: "engine",
            deadlineMs: options.deadlineMs,
            upstreams: Array.from({ length: options.engines }, (_, index) => ({
                id: `e${index}`,
                zone: zoneName(index % options.zones),
                url: `http://127.0.0.1:${8000 + index}`,
                slots: options.slots,
                coldSlots: options.coldSlots,
            })),
        }],
    };
    return documents.fleetDocumentSchema.parse(input);
}

/** Several schedulers with fake engines on one virtual clock and network. */
export function createFleet(given: FleetOptions) {
    const options = {
        vms: 6,
        zones: 3,
        engines: 6,
        slots: 8,
        coldSlots: 1,
        customers: [{ id: "a", weight: 1 }, { id: "b", weight: 1 }],
        deadlineMs: 20_000,
        lossRatio: 0,
        ...given,
    };
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(options.seed);
    const network = testing.createVirtualNetwork({ clock, random, lossRatio: options.lossRatio, oneWayDelayMs: 0.5 });
    let published = createDocument(options);
    const traces: Trace[] = [];
    const nodes = new Map<number, Node>();
    const incarnations = new Map<number, number>();
    const engines = new Map(
        published.pools.flatMap(each => each.upstreams).map(upstream => [
            upstream.id,
            testing.createFakeEngine({ clock, coldSlots: upstream.coldSlots, ...options.engine }),
        ]),
    );
    const idOf = (index: number): core.VmId => core.vmId(`vm-${index}`);

    const start = (index: number): void => {
        const id = idOf(index);
        const incarnation = (incarnations.get(index) ?? 0) + 1;
        incarnations.set(index, incarnation);
        const vmClock = testing.createPausableClock(clock);
        const endpoint = network.attach(id);
        const cell = core.createSnapshotCell(published);
        const self = { id, incarnation };
        const owners = ownership.createOwnership({ self: id, clock: vmClock, document: cell });
        const others = (): core.VmId[] =>
            cell.read().vms.filter(vm => vm.state !== "retired" && vm.id !== id).map(vm => vm.id);
        const gossip = testing.createFakeGossip({ clock: vmClock, random, endpoint, self, others });
        const scheduler = scheduling.createScheduler({
            self,
            clock: vmClock,
            random,
            endpoint,
            gossip,
            peers: gossip.peers,
            ownership: owners,
            document: cell,
            policy: options.policy,
        });
        const stop = (): void => {
            scheduler.dispose();
            gossip.dispose();
            owners.dispose();
        };
        nodes.set(index, { scheduler, clock: vmClock, owners, cell, runs: new Set(), stop, isDown: false });
    };

    const node = (index: number): Node => {
        const found = nodes.get(index);
        core.invariant(found, `VM ${index} exists`);
        return found;
    };

    const execute = (vm: Node, lease: scheduling.SlotLease, work: Work, trace: Trace): Promise<void> =>
        new Promise(resolve => {
            const engine = engines.get(lease.upstream.id);
            core.invariant(engine, "the engine exists");
            const end = (outcome: scheduling.UpstreamOutcome): void => {
                if (vm.runs.delete(run)) {
                    cancelDeadline();
                    trace.endedMs = outcome === "completed" ? clock.nowMs() : undefined;
                    lease.release(outcome, work.cost);
                    resolve();
                }
            };
            const later = (action: () => void) => vm.clock.setTimer(0, action);
            const cancelDeadline = vm.clock.setTimer(lease.deadlineMs - clock.nowMs(), () => {
                run.cancel();
                end("cancelled");
            });
            const run = engine.run(work.workMs, {
                onFirstByte: delayMs => later(() => vm.runs.has(run) && lease.noteFirstByte(delayMs)),
                onEnd: () => later(() => end("completed")),
            });
            vm.runs.add(run);
        });

    const submit = async (index: number, customer: string, work: Work): Promise<Trace> => {
        const vm = node(index);
        const trace: Trace = { customer, vm: index, askedMs: clock.nowMs(), cost: work.cost };
        traces.push(trace);
        const result = await vm.scheduler.acquire({
            customer: core.customerId(customer),
            pool,
            estimatedCost: work.estimatedCost ?? work.cost,
            deadlineMs: clock.nowMs() + (work.deadlineMs ?? options.deadlineMs),
            exclude: [],
        }, work.signal ?? new AbortController().signal);
        if (result.isErr()) {
            trace.refusal = result.error.kind;
            return trace;
        }
        if (!vm.isDown) {
            trace.startedMs = clock.nowMs();
            trace.upstream = result.value.upstream.id;
            await execute(vm, result.value, work, trace);
        }
        return trace;
    };

    Array.from({ length: options.vms }, (_, index) => start(index));
    return {
        clock,
        random,
        network,
        engines,
        traces,
        idOf,
        submit,
        /** Number of upstreams whose only cold slot this VM owns. */
        coldSlotsOwnedBy: (index: number) =>
            [...engines.keys()].filter(id => node(index).owners.ownerOf(`slot/${id}/0`) === idOf(index)).length,
        scheduler: (index: number) => node(index).scheduler,
        published: () => published,
        /** Publishes a changed document; every running VM adopts it after a random delay of up to 500 ms. */
        publish(change: (document: documents.FleetDocument) => Partial<documents.FleetDocument>) {
            published = { ...published, ...change(published), version: published.version + 1 };
            const next = published;
            nodes.forEach(({ cell, clock: vmClock }) =>
                vmClock.setTimer(
                    random() * 500,
                    () => cell.update(held => next.version > held.version ? next : held),
                )
            );
        },
        kill(index: number) {
            const vm = node(index);
            vm.isDown = true;
            vm.runs.forEach(run => run.cancel());
            vm.runs.clear();
            network.detach(idOf(index));
            vm.stop();
        },
        start,
        pause(index: number) {
            node(index).clock.pause();
            network.pause(idOf(index));
        },
        resume(index: number) {
            network.resume(idOf(index));
            node(index).clock.resume();
        },
        /** Keeps `depth` requests of a customer waiting or running through one VM until `untilMs`. */
        keepBusy(index: number, customer: string, depth: number, untilMs: number, work: () => Work) {
            const loop = async (): Promise<void> => {
                while (clock.nowMs() < untilMs && !node(index).isDown) {
                    const trace = await submit(index, customer, work());
                    if (trace.refusal) {
                        await new Promise<void>(resolve => clock.setTimer(50, resolve));
                    }
                }
            };
            Array.from({ length: depth }, () => void loop());
        },
        busyMs: () => [...engines.values()].reduce((sum, engine) => sum + engine.busyMs(), 0),
        dispose: () => nodes.forEach(vm => vm.isDown || vm.stop()),
    };
}
