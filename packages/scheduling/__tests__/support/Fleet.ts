import * as core from "@peridotloft/core";
import * as documents from "@peridotloft/document";
import * as ownership from "@peridotloft/ownership";
import * as testing from "@peridotloft/testing";
import { ok } from "neverthrow";
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

/** The recorded history of one request. */
export interface Trace {
    readonly customer: string;
    readonly vm: number;
    readonly submittedMs: number;
    readonly cost: number;
    startedMs?: number;
    /** Time at which the response was complete. */
    endedMs?: number;
    /** Time at which the upstream stopped running it, because it completed or was cancelled. */
    stoppedMs?: number;
    upstream?: core.UpstreamId;
    refusal?: string;
}

interface VmNode {
    readonly scheduler: scheduling.Scheduler;
    readonly clock: testing.PausableClock;
    readonly ownershipOfVm: ownership.Ownership;
    readonly documentCell: core.SnapshotCell<documents.FleetDocument>;
    readonly runs: Map<testing.EngineRun, Trace>;
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

/** Several schedulers and fake engines on one virtual clock and network. */
export function createFleet(overrides: FleetOptions) {
    const options = {
        vms: 6,
        zones: 3,
        engines: 6,
        slots: 8,
        coldSlots: 1,
        customers: [{ id: "a", weight: 1 }, { id: "b", weight: 1 }],
        deadlineMs: 20_000,
        lossRatio: 0,
        ...overrides,
    };
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(options.seed);
    const network = testing.createVirtualNetwork({ clock, random, lossRatio: options.lossRatio, oneWayDelayMs: 0.5 });
    let published = createDocument(options);
    const traces: Trace[] = [];
    const nodes = new Map<number, VmNode>();
    const incarnations = new Map<number, number>();
    const engines = new Map(
        published.pools.flatMap(each => each.upstreams).map(upstream => [
            upstream.id,
            testing.createFakeEngine({ clock, coldSlots: upstream.coldSlots, ...options.engine }),
        ]),
    );
    const vmIdOf = (index: number): core.VmId => core.vmId(`vm-${index}`);

    const start = (index: number): void => {
        const id = vmIdOf(index);
        const incarnation = (incarnations.get(index) ?? 0) + 1;
        incarnations.set(index, incarnation);
        const vmClock = testing.createPausableClock(clock);
        const endpoint = network.attach(id);
        const documentCell = core.createSnapshotCell(published);
        const self = { id, incarnation };
        const ownershipOfVm = ownership.createOwnership({ self: id, clock: vmClock, document: documentCell });
        const others = (): core.VmId[] =>
            documentCell.read().vms.filter(vm => vm.state !== "retired" && vm.id !== id).map(vm => vm.id);
        const gossip = testing.createFakeGossip({ clock: vmClock, random, endpoint, self, others });
        const scheduler = scheduling.createScheduler({
            self,
            clock: vmClock,
            random,
            endpoint,
            gossip,
            peers: gossip.peers,
            ownership: ownershipOfVm,
            document: documentCell,
            policy: options.policy,
        });
        // Replaces the document version in the heartbeats of the membership package.
        endpoint.registerSlice("version", (from, payload) => {
            ownershipOfVm.recordPeerVersion(from, payload[0] ?? 0);
            return Promise.resolve(ok(new Uint8Array()));
        });
        const stopVersions = core.setRepeatingTimer(vmClock, 200, () => {
            const version = Uint8Array.of(documentCell.read().version);
            others().forEach(peer => void endpoint.call(peer, "version", version, 100));
        });
        const stop = (): void => {
            stopVersions();
            scheduler.dispose();
            gossip.dispose();
            ownershipOfVm.dispose();
        };
        nodes.set(index, {
            scheduler,
            clock: vmClock,
            ownershipOfVm,
            documentCell,
            runs: new Map(),
            stop,
            isDown: false,
        });
    };

    const node = (index: number): VmNode => {
        const found = nodes.get(index);
        core.invariant(found, `VM ${index} exists`);
        return found;
    };

    const execute = (vm: VmNode, lease: scheduling.SlotLease, work: Work, trace: Trace): Promise<void> =>
        new Promise(resolve => {
            const engine = engines.get(lease.upstream.id);
            core.invariant(engine, "the engine exists");
            const end = (outcome: scheduling.UpstreamOutcome): void => {
                if (vm.runs.delete(run)) {
                    cancelDeadline();
                    trace.stoppedMs = clock.nowMs();
                    trace.endedMs = outcome === "completed" ? clock.nowMs() : undefined;
                    lease.release(outcome, work.cost);
                    resolve();
                }
            };
            const deferToVm = (action: () => void) => vm.clock.setTimer(0, action);
            const cancelDeadline = vm.clock.setTimer(lease.deadlineMs - clock.nowMs(), () => {
                run.cancel();
                end("cancelled");
            });
            const run = engine.run(work.workMs, {
                onFirstByte: delayMs => deferToVm(() => vm.runs.has(run) && lease.recordFirstByte(delayMs)),
                onEnd: () => deferToVm(() => end("completed")),
            });
            vm.runs.set(run, trace);
        });

    const submit = async (index: number, customer: string, work: Work): Promise<Trace> => {
        const vm = node(index);
        const trace: Trace = { customer, vm: index, submittedMs: clock.nowMs(), cost: work.cost };
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
        idOf: vmIdOf,
        submit,
        /** Number of upstreams whose only cold slot this VM owns. */
        coldSlotsOwnedBy: (index: number) =>
            [...engines.keys()].filter(id => node(index).ownershipOfVm.ownerOf(`slot/${id}/0`) === vmIdOf(index))
                .length,
        scheduler: (index: number) => node(index).scheduler,
        published: () => published,
        /** Publishes a changed document; every running VM adopts it after a random delay of up to 500 ms. */
        publish(change: (document: documents.FleetDocument) => Partial<documents.FleetDocument>) {
            published = { ...published, ...change(published), version: published.version + 1 };
            const next = published;
            nodes.forEach(({ documentCell, clock: vmClock }) =>
                vmClock.setTimer(
                    random() * 500,
                    () => documentCell.update(current => next.version > current.version ? next : current),
                )
            );
        },
        kill(index: number) {
            const vm = node(index);
            vm.isDown = true;
            vm.runs.forEach((trace, run) => {
                trace.stoppedMs = clock.nowMs();
                run.cancel();
            });
            vm.runs.clear();
            network.detach(vmIdOf(index));
            vm.stop();
        },
        start,
        pause(index: number) {
            node(index).clock.pause();
            network.pause(vmIdOf(index));
        },
        resume(index: number) {
            network.resume(vmIdOf(index));
            node(index).clock.resume();
        },
        /** Keeps `depth` requests of a customer queued or in flight through one VM until `untilMs`. */
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
