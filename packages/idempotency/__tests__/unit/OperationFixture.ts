import * as core from "@peridotloft/core";
import * as document from "@peridotloft/document";
import * as ownership from "@peridotloft/ownership";
import * as testing from "@peridotloft/testing";
import { ok, type Result } from "neverthrow";
import * as idempotency from "../../src/index.js";

export const windowMs = 10_000;
export const secret = "test secret";
export const north = core.customerId("north");
export const south = core.customerId("south");

export type Outcome = Result<idempotency.OperationResponse, idempotency.OperationRefusal>;

/** Version 1 lacks the last VM, version 2 adds it, and version 3 retires the first VM. */
export type DocumentVersion = 1 | 2 | 3;

function makeVms(ids: readonly core.VmId[], version: DocumentVersion): document.FleetDocumentInput["vms"] {
    const last = ids.length - 1;
    return ids
        .map((id, index) => ({
            id,
            zone: "a",
            peerAddress: `127.0.0.1:${7101 + index}`,
            state: version === 3 && index === 0 ? "retired" as const : "in-service" as const,
            joinedVersion: index === last ? 2 : 1,
        }))
        .slice(0, version === 1 ? last : undefined);
}

export function makeDocument(ids: readonly core.VmId[], version: DocumentVersion): document.FleetDocument {
    return document.validateDocument({
        version,
        fleet: { idempotencyWindowMs: windowMs },
        zones: [{ id: "a", region: "r" }],
        vms: makeVms(ids, version),
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

export const responseOf = (text: string): idempotency.OperationResponse => ({
    statusCode: 201,
    headers: [["content-type", "text/plain"]],
    body: Buffer.from(text),
});

/** The documents that the VMs have adopted, with the announcements of their versions to each other. */
function createDocuments(ids: readonly core.VmId[], clock: core.Clock, random: core.Random) {
    const documents = ([1, 2, 3] as const).map(version => makeDocument(ids, version));
    const cells = new Map<core.VmId, core.SnapshotCell<document.FleetDocument>>();
    const owners = ([1, 2, 3] as const).map(version =>
        ownership.createOwnership({
            self: ids[0]!,
            clock,
            document: core.createSnapshotCell(documents[version - 1]!),
        })
    );
    return {
        /** Starts the ownership of a VM, which keeps its document across a restart. */
        start(self: core.VmId, vmClock: core.Clock, endpoint: core.PeerEndpoint) {
            const cell = core.createSnapshotCell(cells.get(self)?.read() ?? documents[0]!);
            cells.set(self, cell);
            const vmOwnership = ownership.createOwnership({ self, clock: vmClock, document: cell });
            endpoint.registerSlice("version", async (from, payload) => {
                vmOwnership.recordPeerVersion(from, payload[0]!);
                return ok(new Uint8Array());
            });
            core.setRepeatingTimer(vmClock, announcePeriodMs, () => {
                const peer = ids[Math.floor(random() * ids.length)]!;
                void endpoint.call(peer, "version", Uint8Array.of(cell.read().version), announcePeriodMs);
            });
            return { document: cell, ownership: vmOwnership };
        },
        ownerUnder: (resource: string, version: DocumentVersion) => owners[version - 1]!.ownerOf(resource),
        /** Makes a VM adopt a version, unless it has a later one. */
        adopt(id: core.VmId, version: DocumentVersion) {
            cells.get(id)!.update(current => current.version < version ? documents[version - 1]! : current);
        },
    };
}

const announcePeriodMs = 200;

export interface FleetOptions {
    readonly vms: number;
    readonly seed: number;
    readonly execute?: idempotency.ExecuteOperation;
    /** Creates `execute` of each process with that process's clock; replaces `execute`. */
    readonly executeOn?: (vmClock: core.Clock, vm: core.VmId) => idempotency.ExecuteOperation;
    /** Incarnation of the n-th start in the fleet; n by default. */
    readonly incarnationOf?: (start: number) => number;
    readonly policy?: Partial<idempotency.OperationPolicy>;
    readonly maxStoredBytes?: number;
    readonly maxCustomerShare?: number;
    readonly lossRatio?: number;
}

/** Starts VMs in one process, with real stores on a virtual network and a virtual clock. */
export function createFleet(options: FleetOptions) {
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(options.seed);
    const network = testing.createVirtualNetwork({ clock, random, lossRatio: options.lossRatio ?? 0 });
    const ids = Array.from({ length: options.vms }, (_, index) => core.vmId(`vm-${index}`));
    const documents = createDocuments(ids, clock, random);
    const stores = new Map<core.VmId, idempotency.OperationStore>();
    const vmClocks = new Map<core.VmId, testing.PausableClock>();
    const ran: string[] = [];
    let starts = 0;

    const recordRun: idempotency.ExecuteOperation = (customer, request) => {
        const text = `${customer}:${Buffer.from(request.body).toString()}`;
        ran.push(text);
        return Promise.resolve(ok(responseOf(`response ${ran.length} to ${text}`)));
    };

    const start = (id: core.VmId): void => {
        stores.get(id)?.dispose();
        // Keeps timers of the previous process from firing.
        vmClocks.get(id)?.pause();
        const vmClock = testing.createPausableClock(clock);
        vmClocks.set(id, vmClock);
        network.resume(id);
        starts += 1;
        const endpoint = network.attach(id);
        stores.set(
            id,
            idempotency.createOperationStore({
                ...documents.start(id, vmClock, endpoint),
                self: id,
                incarnation: (options.incarnationOf ?? (count => count))(starts),
                clock: vmClock,
                randomBytes: count => Uint8Array.from({ length: count }, () => Math.floor(random() * 256)),
                endpoint,
                secret,
                execute: options.executeOn?.(vmClock, id) ?? options.execute ?? recordRun,
                maxStoredBytes: options.maxStoredBytes ?? 8_000_000,
                ...(options.maxCustomerShare ? { maxCustomerShare: options.maxCustomerShare } : {}),
                ...(options.policy ? { policy: options.policy } : {}),
            }),
        );
    };
    ids.forEach(start);

    return {
        clock,
        random,
        network,
        ids,
        documents,
        /** Bodies that ran at the upstream, in order. */
        ran,
        storeOf: (id: core.VmId) => stores.get(id)!,
        clockOf: (id: core.VmId) => vmClocks.get(id)!,
        /** Ends the VM's process and starts a new one without state. */
        restart: start,
        /** Ends the VM's process; it is not started again. */
        terminate(id: core.VmId) {
            stores.get(id)!.dispose();
            vmClocks.get(id)!.pause();
            network.detach(id);
        },
        pause(id: core.VmId) {
            vmClocks.get(id)!.pause();
            network.pause(id);
        },
        resume(id: core.VmId) {
            vmClocks.get(id)!.resume();
            network.resume(id);
        },
        /** Advances time until the records of every owner cover the window. */
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
