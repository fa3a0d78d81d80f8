// Measures the share of non-idempotent operations that at-most-once execution refuses, with keys and with tickets.
// Usage: node packages/bench/dist/src/operationsFleet.js [SEED]
import * as core from "@peridotloft/core";
import * as document from "@peridotloft/document";
import * as idempotency from "@peridotloft/idempotency";
import * as ownership from "@peridotloft/ownership";
import * as testing from "@peridotloft/testing";
import { ok, type Result } from "neverthrow";

const vmCount = 6;
const windowMs = 120_000;
const measuredMs = 300_000;
const operationPeriodMs = 100;
/** Time in ms after which a refused caller retries through a random VM, up to `maxAttempts` attempts in total. */
const retryDelayMs = 1_000;
const maxAttempts = 10;
/** Time in ms without a response after which a caller treats the connection as broken. */
const callerTimeoutMs = 70_000;
const customer = core.customerId("north");
const ids = Array.from({ length: vmCount }, (_, index) => core.vmId(`vm-${index}`));
const faultyVm = core.vmId("vm-0");

type TokenKind = idempotency.OperationToken["kind"];

interface Counts {
    operations: number;
    refusedFirst: number;
    neverAnswered: number;
    ranWithoutAnswer: number;
    ranTwice: number;
}

interface Fault {
    readonly name: string;
    /** Injects the fault; called once per second with the time in s since the start of the measurement. */
    inject(fleet: OperationsFleet, second: number): void;
}

const faults: readonly Fault[] = [
    { name: "none", inject: () => undefined },
    {
        name: "one VM restarts, down 5 s",
        inject: (fleet, second) => {
            if (second === 20) {
                fleet.stop(faultyVm);
            }
            if (second === 25) {
                fleet.start(faultyVm);
            }
        },
    },
    {
        name: "rolling restart, one VM per 10 s",
        inject: (fleet, second) => {
            ids.filter((_id, index) => second === 20 + 10 * index).forEach(fleet.start);
        },
    },
    {
        name: "one VM partitioned for 60 s",
        inject: (fleet, second) => {
            if (second === 20) {
                fleet.network.isolate([faultyVm]);
            }
            if (second === 80) {
                fleet.network.heal();
            }
        },
    },
    {
        name: "one VM's outgoing messages lost for 60 s",
        inject: (fleet, second) => {
            if (second === 20) {
                ids.filter(id => id !== faultyVm).forEach(id => fleet.network.partitionOneWay(faultyVm, id));
            }
            if (second === 80) {
                fleet.network.heal();
            }
        },
    },
];

function makeDocument(): document.FleetDocument {
    return document.validateDocument({
        version: 1,
        fleet: { idempotencyWindowMs: windowMs },
        zones: [{ id: "a", region: "r" }],
        vms: ids.map((id, index) => ({ id, zone: "a", peerAddress: `127.0.0.1:${7101 + index}` })),
        customers: [],
        pools: [{
            id: "holds",
            kind: "service",
            upstreams: [{ id: "h1", zone: "a", url: "http://127.0.0.1:8101", slots: 8, coldSlots: 8 }],
        }],
        routes: [{ id: "holds", method: "POST", path: "/holds", pool: "holds", idempotent: false }],
    })._unsafeUnwrap();
}

type OperationsFleet = ReturnType<typeof createOperationsFleet>;

function createOperationsFleet(seed: number, runs: Map<string, number>) {
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(seed);
    const network = testing.createVirtualNetwork({ clock, random });
    const activeDocument = core.createSnapshotCell(makeDocument());
    const stores = new Map<core.VmId, idempotency.OperationStore>();
    let incarnation = 0;

    const execute: idempotency.ExecuteOperation = async (_customer, request) => {
        const name = Buffer.from(request.body).toString();
        runs.set(name, (runs.get(name) ?? 0) + 1);
        await new Promise<void>(resolve => clock.setTimer(20, resolve));
        return ok({ statusCode: 201, headers: [], body: request.body });
    };

    const stop = (id: core.VmId): void => {
        stores.get(id)?.dispose();
        stores.delete(id);
        network.detach(id);
    };

    const start = (id: core.VmId): void => {
        stop(id);
        incarnation += 1;
        stores.set(
            id,
            idempotency.createOperationStore({
                self: id,
                incarnation,
                clock,
                randomBytes: count => Uint8Array.from({ length: count }, () => Math.floor(random() * 256)),
                endpoint: network.attach(id),
                ownership: ownership.createOwnership({ self: id, clock, document: activeDocument }),
                document: activeDocument,
                secret: "bench",
                execute,
                maxStoredBytes: 1_000_000_000,
            }),
        );
    };

    ids.forEach(start);
    /** Simulates the load balancer, which sends callers only to VMs whose process runs. */
    const pickStore = (): idempotency.OperationStore => {
        const running = [...stores.values()];
        const store = running[Math.floor(random() * running.length)];
        core.invariant(store, "a VM is running");
        return store;
    };
    return { clock, network, start, stop, pickStore };
}

/** Result of one attempt; undefined after the caller timeout. */
type Outcome = Result<idempotency.OperationResponse, idempotency.OperationRefusal> | undefined;

async function runOperation(fleet: OperationsFleet, kind: TokenKind, name: string): Promise<Outcome[]> {
    const token: idempotency.OperationToken = kind === "key"
        ? { kind, key: name }
        : { kind, ticket: fleet.pickStore().issueTicket(customer).ticket };
    const request: idempotency.OperationRequest = {
        route: core.routeId("holds"),
        method: "POST",
        target: "/holds",
        headers: [],
        body: Buffer.from(name),
    };
    const outcomes: Outcome[] = [];
    while (outcomes.length < maxAttempts && !outcomes.at(-1)?.isOk()) {
        const timeout = new Promise<undefined>(resolve =>
            fleet.clock.setTimer(callerTimeoutMs, () => resolve(undefined))
        );
        outcomes.push(await Promise.race([fleet.pickStore().run(token, customer, request), timeout]));
        await new Promise<void>(resolve => fleet.clock.setTimer(retryDelayMs, resolve));
    }
    return outcomes;
}

async function measureFault(fault: Fault, kind: TokenKind, seed: number): Promise<Counts> {
    const runs = new Map<string, number>();
    const fleet = createOperationsFleet(seed, runs);
    const counts: Counts = { operations: 0, refusedFirst: 0, neverAnswered: 0, ranWithoutAnswer: 0, ranTwice: 0 };
    await fleet.clock.advance(windowMs + idempotency.maxAttemptAgeMs + 1);
    const recordOutcomes = (name: string, outcomes: readonly Outcome[]): void => {
        const served = outcomes.at(-1)?.isOk() ?? false;
        counts.operations += 1;
        counts.refusedFirst += outcomes[0]?.isOk() ? 0 : 1;
        counts.neverAnswered += served ? 0 : 1;
        counts.ranWithoutAnswer += !served && runs.has(name) ? 1 : 0;
    };
    for (let elapsedMs = 0; elapsedMs < measuredMs; elapsedMs += operationPeriodMs) {
        if (elapsedMs % 1_000 === 0) {
            fault.inject(fleet, elapsedMs / 1_000);
        }
        const name = `operation ${elapsedMs}`;
        void runOperation(fleet, kind, name).then(outcomes => recordOutcomes(name, outcomes));
        await fleet.clock.advance(operationPeriodMs);
    }
    await fleet.clock.advance(2 * callerTimeoutMs + windowMs);
    ids.forEach(fleet.stop);
    counts.ranTwice = [...runs.values()].filter(count => count > 1).length;
    return counts;
}

const percent = (part: number, whole: number): string => `${(100 * part / whole).toFixed(2)}%`;

function formatRow(fault: Fault, kind: TokenKind, counts: Counts): string {
    const { operations } = counts;
    const shares = [counts.refusedFirst, counts.neverAnswered, counts.ranWithoutAnswer].map(count =>
        percent(count, operations)
    );
    return `| ${[fault.name, kind, operations, ...shares, counts.ranTwice].join(" | ")} |`;
}

const seed = Number(process.argv[2] ?? 0xbe7c);
console.log(
    `Seed ${seed}; ${vmCount} VMs, window ${windowMs / 1_000} s, ${1_000 / operationPeriodMs} operations/s for `
        + `${measuredMs / 1_000} s of virtual time; a refused caller makes up to ${maxAttempts} attempts, 1 s apart.\n`,
);
console.log(
    "| fault | token | operations | first attempt refused | never answered | ran but never answered | ran twice |",
);
console.log("|---|---|---|---|---|---|---|");
for (const fault of faults) {
    for (const kind of ["key", "ticket"] as const) {
        console.log(formatRow(fault, kind, await measureFault(fault, kind, seed)));
    }
}
