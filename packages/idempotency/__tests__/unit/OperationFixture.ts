import * as core from "@peridotloft/core";
import * as document from "@peridotloft/document";
import type * as ownership from "@peridotloft/ownership";
import * as testing from "@peridotloft/testing";
import { ok, type Result } from "neverthrow";
import { createHash } from "node:crypto";
import * as idempotency from "../../src/index.js";

export const windowMs = 10_000;
export const secret = "test secret";
export const north = core.customerId("north");
export const south = core.customerId("south");

export type Outcome = Result<idempotency.OperationResponse, idempotency.OperationRefusal>;

export function makeDocument(version: number): document.FleetDocument {
    return document.validateDocument({
        version,
        fleet: { idempotencyWindowMs: windowMs },
        zones: [{ id: "a", region: "r" }],
        vms: [{ id: "vm-0", zone: "a", peerAddress: "127.0.0.1:7101" }],
        customers: [],
        pools: [{
            id: "holds",
            kind: "service",
            deadlineMs: 1_000,
            upstreams: [{ id: "h1", zone: "a", url: "http://127.0.0.1:8101", slots: 8, coldSlots: 8 }],
        }],
        routes: [{ id: "holds", method: "POST", path: "/holds", pool: "holds", idempotent: false }],
    })._unsafeUnwrap();
}

export function makeRequest(body: string, attempt = 0): idempotency.OperationRequest {
    return {
        route: core.routeId("holds"),
        method: "POST",
        target: "/holds",
        headers: [["x-attempt", String(attempt)]],
        body: Buffer.from(body),
    };
}

export const answerOf = (text: string): idempotency.OperationResponse => ({
    statusCode: 201,
    headers: [["content-type", "text/plain"]],
    body: Buffer.from(text),
});

/**
 * Ownership among `ids` under §4.1: before a VM adopts version 2, the last VM of the list does not exist for it.
 * The last VM acts on what moves to it only after the previous owner has adopted version 2.
 */
export interface FakeOwnership {
    of(self: core.VmId, startedMs: number): ownership.Ownership;
    adopt(id: core.VmId): void;
    ownerUnder(resource: string, version: 1 | 2): core.VmId;
}

export function createFakeOwnership(ids: readonly core.VmId[], clock: core.Clock): FakeOwnership {
    const adoptedMs = new Map<core.VmId, number>();
    const rank = (resource: string, id: core.VmId): string =>
        createHash("sha256").update(`${resource}\n${id}`).digest("hex");
    const rankingOf = (resource: string, version: 1 | 2): core.VmId[] =>
        (version === 1 ? ids.slice(0, -1) : [...ids])
            .sort((left, right) => rank(resource, left) < rank(resource, right) ? -1 : 1);
    const ownerUnder = (resource: string, version: 1 | 2): core.VmId => rankingOf(resource, version)[0]!;
    const versionOf = (id: core.VmId): 1 | 2 => adoptedMs.has(id) ? 2 : 1;

    const holdingOf = (self: core.VmId, startedMs: number, resource: string): ownership.Holding => {
        const owner = ownerUnder(resource, versionOf(self));
        if (owner !== self) {
            return { kind: "other", owner };
        }
        const previousOwner = ownerUnder(resource, 1);
        if (previousOwner === self) {
            return { kind: "held", sinceMs: startedMs };
        }
        const releasedMs = adoptedMs.get(previousOwner);
        return releasedMs === undefined
            ? { kind: "waiting", previousOwner }
            : { kind: "held", sinceMs: Math.max(startedMs, releasedMs, adoptedMs.get(self) ?? 0) };
    };

    return {
        ownerUnder,
        adopt: id => {
            adoptedMs.set(id, adoptedMs.get(id) ?? clock.nowMs());
        },
        of: (self, startedMs) => ({
            holdingOf: resource => holdingOf(self, startedMs, resource),
            ownerOf: resource => ownerUnder(resource, versionOf(self)),
            ranking: resource => rankingOf(resource, versionOf(self)),
            notePeerVersion: () => undefined,
        }),
    };
}

export interface FleetOptions {
    readonly vms: number;
    readonly seed: number;
    readonly execute?: idempotency.ExecuteOperation;
    /** Makes `execute` of each process from its own clock, instead of `execute`. */
    readonly executeOn?: (vmClock: core.Clock, vm: core.VmId) => idempotency.ExecuteOperation;
    /** Incarnation of the n-th start in the fleet; n by default. */
    readonly incarnationOf?: (start: number) => number;
    readonly policy?: Partial<idempotency.OperationPolicy>;
    readonly maxStoredBytes?: number;
    readonly lossRatio?: number;
}

/** VMs of one process with real stores, a virtual network and one virtual clock. */
export function createFleet(options: FleetOptions) {
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(options.seed);
    const network = testing.createVirtualNetwork({ clock, random, lossRatio: options.lossRatio ?? 0 });
    const ids = Array.from({ length: options.vms }, (_, index) => core.vmId(`vm-${index}`));
    const owners = createFakeOwnership(ids, clock);
    const stores = new Map<core.VmId, idempotency.OperationStore>();
    const pausable = new Map<core.VmId, testing.PausableClock>();
    const ran: string[] = [];
    let starts = 0;

    const recordRun: idempotency.ExecuteOperation = (customer, request) => {
        const text = `${customer}:${Buffer.from(request.body).toString()}`;
        ran.push(text);
        return Promise.resolve(ok(answerOf(`answer ${ran.length} to ${text}`)));
    };

    const start = (id: core.VmId): void => {
        stores.get(id)?.dispose();
        // Timers of the ended process never fire.
        pausable.get(id)?.pause();
        const vmClock = testing.createPausableClock(clock);
        pausable.set(id, vmClock);
        network.resume(id);
        starts += 1;
        stores.set(
            id,
            idempotency.createOperationStore({
                self: id,
                incarnation: (options.incarnationOf ?? (count => count))(starts),
                clock: vmClock,
                randomBytes: count => Uint8Array.from({ length: count }, () => Math.floor(random() * 256)),
                endpoint: network.attach(id),
                ownership: owners.of(id, clock.nowMs()),
                document: { read: () => fleetDocument },
                secret,
                execute: options.executeOn?.(vmClock, id) ?? options.execute ?? recordRun,
                maxStoredBytes: options.maxStoredBytes ?? 8_000_000,
                ...(options.policy ? { policy: options.policy } : {}),
            }),
        );
    };
    const fleetDocument = makeDocument(1);
    ids.forEach(start);

    return {
        clock,
        random,
        network,
        ids,
        owners,
        /** Bodies that ran at the upstream, in order. */
        ran,
        storeOf: (id: core.VmId) => stores.get(id)!,
        clockOf: (id: core.VmId) => pausable.get(id)!,
        /** Ends the VM's process and starts a new one without state. */
        restart: start,
        pause(id: core.VmId) {
            pausable.get(id)!.pause();
            network.pause(id);
        },
        resume(id: core.VmId) {
            pausable.get(id)!.resume();
            network.resume(id);
        },
        /** Advances time until every owner's memory covers the window. */
        warmUp: () => clock.advance(windowMs + idempotency.maxAttemptAgeMs + 1),
        /** Runs an operation and advances time until it has ended. */
        async run(id: core.VmId, token: idempotency.OperationToken, body: string, customer = north): Promise<Outcome> {
            const outcome = stores.get(id)!.run(token, customer, makeRequest(body));
            let ended = false;
            void outcome.then(() => {
                ended = true;
            });
            while (!ended) {
                await clock.advance(20);
            }
            return outcome;
        },
    };
}

export const keyToken = (key: string): idempotency.OperationToken => ({ kind: "key", key });
export const ticketToken = (ticket: string): idempotency.OperationToken => ({ kind: "ticket", ticket });

/** Short form of an outcome for assertions. */
export function summaryOf(outcome: Outcome): string {
    return outcome.match(
        response => Buffer.from(response.body).toString(),
        refusal => `${refusal.verdict} ${refusal.kind} ${refusal.statusCode}`,
    );
}

/** A VM of the fleet that is neither the key's owner nor one of `others`. */
export function entryFor(ids: readonly core.VmId[], ...others: core.VmId[]): core.VmId {
    return ids.find(id => !others.includes(id))!;
}
