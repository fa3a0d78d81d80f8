import * as core from "@peridotloft/core";
import * as document from "@peridotloft/document";
import * as ownership from "@peridotloft/ownership";
import * as testing from "@peridotloft/testing";
import { ok } from "neverthrow";
import * as limits from "../../src/index.js";

export const customer = core.customerId("north");
export const ratePerS = 200;
export const burst = 400;
export const loanLifetimeMs = 2_000;

/** Time in ms from the start of a fleet until its buckets are full. */
export const warmUpMs = loanLifetimeMs + 200 + burst / ratePerS * 1_000;

export interface FleetShape {
    readonly version?: number;
    readonly vmCount: number;
    readonly bucketsPerCustomer?: number;
    readonly rateCostPerS?: number;
    readonly burstCost?: number;
    /** VMs with this index or a higher one were added by version 2. */
    readonly joinedFrom?: number;
}

export function createDocument(shape: FleetShape): document.FleetDocument {
    return testing.expectOk(document.validateDocument({
        version: shape.version ?? 1,
        fleet: { bucketsPerCustomer: shape.bucketsPerCustomer ?? 4, loanLifetimeMs },
        zones: [{ id: "a", region: "r" }],
        vms: Array.from({ length: shape.vmCount }, (_unused, index) => ({
            id: `vm-${index}`,
            zone: "a",
            peerAddress: `127.0.0.1:${7000 + index}`,
            joinedVersion: index >= (shape.joinedFrom ?? shape.vmCount) ? 2 : 1,
        })),
        customers: [{
            id: customer,
            rateCostPerS: shape.rateCostPerS ?? ratePerS,
            burstCost: shape.burstCost ?? burst,
        }],
        pools: [{
            id: "p",
            kind: "engine",
            upstreams: [{ id: "e", zone: "a", url: "http://127.0.0.1:8101", slots: 1, coldSlots: 1 }],
        }],
    }));
}

export interface TracedRequest {
    readonly atMs: number;
    readonly cost: number;
    readonly vm: number;
    endedMs?: number;
    admitted?: boolean;
    actualCost?: number;
    settledMs?: number;
}

export type LimiterVariant = Partial<Pick<limits.RateLimiterOptions, "createBucket" | "loanExpiryMs">>;

export interface LimiterFleetOptions {
    readonly seed: number;
    readonly document: document.FleetDocument;
    readonly variant?: LimiterVariant;
    readonly lossRatio?: number;
    /** Whether VMs announce their document versions to each other, which only a change of document needs. */
    readonly heartbeats?: boolean;
    /** Replaces `variant` after a restart. */
    readonly restartVariant?: LimiterVariant;
}

interface Vm {
    readonly clock: testing.PausableClock;
    readonly cell: core.SnapshotCell<document.FleetDocument>;
    readonly limiter: limits.RateLimiter;
    readonly ownership: ownership.DocumentOwnership;
    readonly stop: () => void;
}

/** A clock with its own origin that runs up to 200 ppm fast or slow, like a quartz clock. */
function createDriftingClock(clock: core.Clock, random: core.Random): core.Clock {
    const originMs = random() * 1e6;
    const speed = 1 + (random() - 0.5) * 4e-4;
    return {
        nowMs: () => originMs + clock.nowMs() * speed,
        wallMs: () => clock.wallMs(),
        setTimer: (delayMs, callback) => clock.setTimer(delayMs / speed, callback),
    };
}

const versionSlice = "version";
const versionPeriodMs = 1_000;

/** Starts one limiter per VM of the document, in one process on virtual time. */
export function createLimiterFleet(options: LimiterFleetOptions) {
    const random = testing.createSeededRandom(options.seed);
    const clock = testing.createVirtualClock();
    const network = testing.createVirtualNetwork({ clock, random, oneWayDelayMs: 0.7, ...options });
    const requests: TracedRequest[] = [];
    const vms = new Map<number, Vm>();
    const paused = new Set<number>();
    const idOf = (index: number): core.VmId => core.vmId(`vm-${index}`);

    function start(index: number, fleet: document.FleetDocument, variant = options.variant): void {
        const vmClock = testing.createPausableClock(createDriftingClock(clock, random));
        const endpoint = network.attach(idOf(index));
        const cell = core.createSnapshotCell(fleet);
        const vmOwnership = ownership.createOwnership({ self: idOf(index), clock: vmClock, document: cell });
        const limiter = limits.createRateLimiter({
            self: idOf(index),
            clock: vmClock,
            random,
            endpoint,
            ownership: vmOwnership,
            document: cell,
            ...variant,
        });
        endpoint.registerSlice(versionSlice, async (from, payload) => {
            vmOwnership.recordPeerVersion(from, payload[0] ?? 0);
            return ok(new Uint8Array());
        });
        const sendVersion = (): void =>
            fleet.vms.filter(({ id }) => id !== idOf(index)).forEach(({ id }) =>
                void endpoint.call(id, versionSlice, new Uint8Array([cell.read().version]), 100)
            );
        const stopVersions = options.heartbeats
            ? core.setRepeatingTimer(vmClock, versionPeriodMs, sendVersion)
            : () => undefined;
        const stop = (): void => {
            stopVersions();
            limiter.dispose();
            vmOwnership.dispose();
        };
        vms.set(index, { clock: vmClock, cell, limiter, ownership: vmOwnership, stop });
    }

    async function send(index: number, cost: number, actualCost = cost, durationMs = 0): Promise<TracedRequest> {
        const request: TracedRequest = { atMs: clock.nowMs(), cost, vm: index };
        requests.push(request);
        const vm = vms.get(index);
        if (!vm || paused.has(index)) {
            return request;
        }
        const result = await vm.limiter.admit(customer, cost);
        // An admission after the VM was stopped or restarted counts as none.
        if (vms.get(index) !== vm) {
            return request;
        }
        request.endedMs = clock.nowMs();
        request.admitted = result.isOk();
        request.actualCost = cost;
        const settle = (): void => {
            if (vms.get(index) === vm) {
                request.actualCost = actualCost;
                request.settledMs = clock.nowMs();
                result.map(charge => charge.settle(actualCost));
            }
        };
        if (durationMs > 0) {
            vm.clock.setTimer(durationMs, settle);
        }
        else {
            settle();
        }
        return request;
    }

    options.document.vms.forEach((_vm, index) => start(index, options.document));
    return {
        clock,
        random,
        network,
        requests,
        idOf,
        send,
        start,
        advance: (durationMs: number): Promise<void> => clock.advance(durationMs),
        at: (delayMs: number, action: () => void): void => void clock.setTimer(delayMs, action),
        isUp: (index: number): boolean => vms.has(index) && !paused.has(index),
        adopt: (index: number, next: document.FleetDocument): void =>
            void vms.get(index)?.cell.update(current => next.version > current.version ? next : current),
        availableCost: (index: number): number => vms.get(index)?.limiter.status().customers[0]?.availableCost ?? 0,
        lentCost: (index: number): number => vms.get(index)?.limiter.status().customers[0]?.lentCost ?? 0,
        kill(index: number): void {
            vms.get(index)?.stop();
            vms.delete(index);
            network.detach(idOf(index));
        },
        restart(index: number): void {
            const fleet = vms.get(index)?.cell.read() ?? options.document;
            vms.get(index)?.stop();
            start(index, fleet, options.restartVariant ?? options.variant);
        },
        pause(index: number): void {
            paused.add(index);
            vms.get(index)?.clock.pause();
            network.pause(idOf(index));
        },
        resume(index: number): void {
            paused.delete(index);
            network.resume(idOf(index));
            vms.get(index)?.clock.resume();
        },
        /** Index of the VM that owns a bucket. */
        ownerOf: (bucket: number): number =>
            Number([...vms.values()][0]!.ownership.ownerOf(`bucket/${customer}/${bucket}`).slice(3)),
        stopAll: (): void => vms.forEach(vm => vm.stop()),
    };
}

export type LimiterFleet = ReturnType<typeof createLimiterFleet>;

/** Admitted requests as the bound counts them: the settled cost at the time of admission. */
export function admissionsOf(fleet: LimiterFleet): testing.TracedCost[] {
    return fleet.requests
        .filter(request => request.admitted)
        .map(({ endedMs = 0, actualCost = 0 }) => ({ atMs: endedMs, cost: actualCost }))
        .sort((left, right) => left.atMs - right.atMs);
}

/** Largest excess over rate·t + burst of any interval of the run, in cost units. */
export function worstExcess(fleet: LimiterFleet, rateCostPerS = ratePerS, burstCost = burst): number {
    return testing.findWorstExcess(admissionsOf(fleet), rateCostPerS / 1_000, burstCost);
}

export interface Refusals {
    readonly offered: number;
    readonly refused: number;
    /** Requests refused by the fleet that a single token bucket would have admitted. */
    readonly wrongful: number;
    /** Whether a single token bucket would have admitted every request. */
    readonly isWithinRate: boolean;
}

/** Compares the fleet with a single token bucket over the requests that arrived in [fromMs, toMs). */
export function compareWithReference(fleet: LimiterFleet, fromMs = 0, toMs = Number.POSITIVE_INFINITY): Refusals {
    const reference = testing.createReferenceBucket(ratePerS / 1_000, burst);
    const completed = fleet.requests
        .filter(request => request.admitted !== undefined)
        .map(request => ({ request, expected: reference(request) }))
        .filter(({ request }) => request.atMs >= fromMs && request.atMs < toMs);
    const refused = completed.filter(({ request }) => !request.admitted);
    return {
        offered: completed.length,
        refused: refused.length,
        wrongful: refused.filter(({ expected }) => expected).length,
        isWithinRate: completed.every(({ expected }) => expected),
    };
}

/** Offers requests with exponential gaps; `pickVm` chooses the VM through which each enters. */
export function offerTraffic(
    fleet: LimiterFleet,
    traffic: {
        readonly fromMs: number;
        readonly toMs: number;
        readonly costPerS: number;
        readonly requestCost: number;
        readonly pickVm: (atMs: number) => number;
    },
): void {
    const { requestCost } = traffic;
    const sendNext = (): void => {
        const atMs = fleet.clock.nowMs();
        if (atMs >= traffic.toMs) {
            return;
        }
        void fleet.send(traffic.pickVm(atMs), requestCost * (0.5 + fleet.random()));
        fleet.at(-Math.log(1 - fleet.random()) * requestCost / traffic.costPerS * 1_000, sendNext);
    };
    fleet.at(traffic.fromMs - fleet.clock.nowMs(), sendNext);
}
