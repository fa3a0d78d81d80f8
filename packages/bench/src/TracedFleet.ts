import * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import * as ownership from "@peridotloft/ownership";
import * as scheduling from "@peridotloft/scheduling";
import * as testing from "@peridotloft/testing";
import { createBaselineScheduler, type RequestScheduler } from "./SchedulingBaseline.js";
import {
    type Arrival,
    createSiteDocument,
    customerIdOf,
    deadlineMs,
    meanCost,
    pool,
    type Site,
} from "./SchedulingSites.js";
import { createServingEngine, type ServingEngine } from "./ServingEngine.js";

export type Design = "exchange" | "baseline";

/** Outcome of one arrival. */
export interface ServedArrival {
    readonly arrival: Arrival;
    /** Time in ms at which the request first started at an upstream. */
    startedMs: number | undefined;
    /** Time in ms at which the response was complete. */
    endedMs: number | undefined;
}

/** Control traffic of one fleet. */
export interface Traffic {
    calls: number;
    callBytes: number;
    gossipBytes: number;
}

export interface TracedFleet {
    readonly clock: testing.VirtualClock;
    readonly served: readonly ServedArrival[];
    readonly engines: ReadonlyMap<core.UpstreamId, ServingEngine>;
    /** Returns the traffic that all VMs have sent so far. */
    traffic(): Traffic;
    replay(arrivals: readonly Arrival[], untilMs: number): Promise<void>;
    publish(change: (document: documents.FleetDocument) => Partial<documents.FleetDocument>): void;
    restart(vm: number): void;
    busyMs(): number;
    dispose(): void;
}

interface VmNode {
    readonly scheduler: RequestScheduler;
    readonly document: core.SnapshotCell<documents.FleetDocument>;
    readonly runCancels: Set<() => void>;
    /** Gossip bytes that the VM has sent since its last start. */
    readonly gossipBytes: () => number;
    readonly dispose: () => void;
}

/** Maximum time in ms until a VM adopts a published document. */
const maxAdoptionDelayMs = 500;

/** Counts a VM's calls and the bytes of their requests and replies. */
function withTrafficCount(endpoint: core.PeerEndpoint, traffic: Traffic): core.PeerEndpoint {
    return {
        registerSlice: (slice, handler) => endpoint.registerSlice(slice, handler),
        async call(to, slice, payload, timeoutMs) {
            traffic.calls++;
            traffic.callBytes += payload.length;
            const result = await endpoint.call(to, slice, payload, timeoutMs);
            traffic.callBytes += result.isOk() ? result.value.length : 0;
            return result;
        },
    };
}

export function createTracedFleet(site: Site, design: Design, seed: number): TracedFleet {
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(seed);
    const network = testing.createVirtualNetwork({ clock, random, oneWayDelayMs: site.oneWayDelayMs });
    const traffic: Traffic = { calls: 0, callBytes: 0, gossipBytes: 0 };
    const served: ServedArrival[] = [];
    const nodes: VmNode[] = [];
    const incarnations: number[] = [];
    let published = createSiteDocument(site);
    const engines = new Map(
        published.pools.flatMap(each => each.upstreams).map(({ id, slots, coldSlots }) => [
            id,
            createServingEngine(clock, slots, coldSlots),
        ]),
    );

    const createSchedulerNode = (id: core.VmId, index: number, document: VmNode["document"]): VmNode => {
        const endpoint = network.attach(id);
        const self = { id, incarnation: incarnations[index] = (incarnations[index] ?? 0) + 1 };
        const others = published.vms.map(vm => vm.id).filter(vm => vm !== id);
        const gossip = testing.createFakeGossip({ clock, random, endpoint, self, others: () => others });
        const owners = ownership.createOwnership({ self: id, clock, document });
        const scheduler = scheduling.createScheduler({
            self,
            clock,
            random,
            endpoint: withTrafficCount(endpoint, traffic),
            gossip,
            peers: gossip.peers,
            ownership: owners,
            document,
        });
        const dispose = (): void => {
            scheduler.dispose();
            gossip.dispose();
            owners.dispose();
        };
        return { scheduler, document, runCancels: new Set(), gossipBytes: gossip.bytesSent, dispose };
    };

    const createBaselineNode = (document: VmNode["document"]): VmNode => ({
        scheduler: createBaselineScheduler(clock, document),
        document,
        runCancels: new Set(),
        gossipBytes: () => 0,
        dispose: () => undefined,
    });

    const startVm = (index: number): void => {
        const document = core.createSnapshotCell(published);
        const id = core.vmId(`vm-${index}`);
        nodes[index] = design === "exchange" ? createSchedulerNode(id, index, document) : createBaselineNode(document);
    };

    const runOnEngine = (
        node: VmNode,
        lease: scheduling.SlotLease,
        arrival: Arrival,
    ): Promise<scheduling.UpstreamOutcome> =>
        new Promise(resolve => {
            const end = (outcome: scheduling.UpstreamOutcome): void => {
                node.runCancels.delete(cancelRun);
                cancelDeadline();
                lease.release(outcome, arrival.cost);
                resolve(outcome);
            };
            const cancelRun = engines.get(lease.upstream.id)?.run({
                workMs: arrival.workMs,
                onFirstByte: delayMs => lease.recordFirstByte(delayMs),
                onEnd: end,
            }) ?? (() => undefined);
            const cancelDeadline = clock.setTimer(lease.deadlineMs - clock.nowMs(), () => {
                cancelRun();
                end("cancelled");
            });
            node.runCancels.add(cancelRun);
        });

    const serveArrival = async (arrival: Arrival): Promise<void> => {
        const record: ServedArrival = { arrival, startedMs: undefined, endedMs: undefined };
        served.push(record);
        const node = nodes[arrival.vm];
        const exclude: core.UpstreamId[] = [];
        for (let attempt = 0; node && attempt < 3; attempt++) {
            const result = await node.scheduler.acquire({
                customer: customerIdOf(arrival.customer),
                pool,
                estimatedCost: meanCost,
                deadlineMs: arrival.atMs + deadlineMs,
                exclude,
            }, new AbortController().signal);
            if (result.isErr()) {
                return;
            }
            record.startedMs ??= clock.nowMs();
            const outcome = await runOnEngine(node, result.value, arrival);
            if (outcome === "completed") {
                record.endedMs = clock.nowMs();
                return;
            }
            exclude.push(result.value.upstream.id);
            if (outcome === "cancelled" || !node.scheduler.tryTakeRetry()) {
                return;
            }
        }
    };

    /** Simulates the load balancer, which sends callers only to VMs of zones in service. */
    const redirectToZoneInService = (arrival: Arrival): Arrival => {
        const zonesInService = published.zones.filter(zone => zone.state === "in-service").map(zone => zone.id);
        const zone = published.vms[arrival.vm]?.zone;
        if (zone && zonesInService.includes(zone)) {
            return arrival;
        }
        const targets = published.vms.flatMap((vm, index) => zonesInService.includes(vm.zone) ? [index] : []);
        return { ...arrival, vm: targets[arrival.vm % targets.length] ?? arrival.vm };
    };

    Array.from({ length: site.vms }, (_, index) => startVm(index));
    return {
        clock,
        served,
        engines,
        traffic: () => ({
            ...traffic,
            gossipBytes: traffic.gossipBytes + nodes.reduce((sum, node) => sum + node.gossipBytes(), 0),
        }),
        async replay(arrivals, untilMs) {
            const due = arrivals.filter(({ atMs }) => atMs >= clock.nowMs() && atMs < untilMs);
            for (const arrival of due) {
                await clock.advance(arrival.atMs - clock.nowMs());
                void serveArrival(redirectToZoneInService(arrival));
            }
            await clock.advance(untilMs - clock.nowMs());
        },
        publish(change) {
            published = { ...published, ...change(published), version: published.version + 1 };
            const next = published;
            nodes.forEach(({ document }) =>
                clock.setTimer(
                    random() * maxAdoptionDelayMs,
                    () => document.update(adopted => next.version > adopted.version ? next : adopted),
                )
            );
        },
        restart(vm) {
            nodes[vm]?.runCancels.forEach(cancel => cancel());
            traffic.gossipBytes += nodes[vm]?.gossipBytes() ?? 0;
            nodes[vm]?.dispose();
            startVm(vm);
        },
        busyMs: () => [...engines.values()].reduce((sum, engine) => sum + engine.busyMs(), 0),
        dispose: () => nodes.forEach(node => node.dispose()),
    };
}
