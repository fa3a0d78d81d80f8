import * as core from "@peridotloft/core";
import { err, ok } from "neverthrow";
import * as idempotency from "../../src/index.js";
import * as fixture from "./OperationFixture.js";

/** One request of a caller. */
export interface AttemptRecord {
    readonly token: string;
    readonly body: string;
    /** Time in ms at which the caller sent it. */
    readonly sentMs: number;
    /** Time in ms at which it counts as arrived: when sent, or when read after a pause too short to be detected. */
    arrivedMs: number;
    endedMs?: number;
    outcome?: fixture.Outcome;
}

/** One run at the upstream. */
export interface RunRecord {
    readonly token: string;
    readonly body: string;
    readonly responseText: string;
    /** Index of the attempt that was admitted. */
    readonly attempt: number;
    readonly timeMs: number;
}

export interface Trace {
    readonly attempts: readonly AttemptRecord[];
    readonly runs: readonly RunRecord[];
}

export interface ScenarioOptions extends Omit<fixture.FleetOptions, "execute" | "executeOn" | "vms"> {
    /** Number of VMs; drawn from 3 to 9 when undefined. */
    readonly vms?: number;
    readonly durationMs?: number;
}

const stepMs = 100;
const operationsPerStep = 0.6;

/**
 * Runs callers against a fleet while VMs restart without state, pause, lose connections (also in one direction) and
 * adopt new documents. Callers obey the contract: they resend a key only within the window, and a ticket at any time.
 */
export async function runScenario(options: ScenarioOptions): Promise<Trace> {
    const attempts: AttemptRecord[] = [];
    const runs: RunRecord[] = [];
    const attemptIndexOf = (request: idempotency.OperationRequest): number => Number(request.headers[0]![1]);

    const delay = (clock: core.Clock, delayMs: number): Promise<void> =>
        new Promise(resolve => clock.setTimer(delayMs, resolve));

    const executeOn = (vmClock: core.Clock): idempotency.ExecuteOperation => async (_customer, request, guard) => {
        await delay(vmClock, random() * 40);
        if (random() < 0.15 || !guard.mayStart()) {
            return err({ verdict: "not-run", kind: "failed", message: "no slot", statusCode: 503 });
        }
        // A process may pause between its last check and the write.
        await delay(vmClock, random() * 3);
        const attempt = attemptIndexOf(request);
        const { token, body } = attempts[attempt]!;
        const responseText = `response ${runs.length} to ${body}`;
        runs.push({ token, body, responseText, attempt, timeMs: vmClock.nowMs() });
        await delay(vmClock, random() * 60);
        return random() < 0.1
            ? err({ verdict: "may-have-run", kind: "failed", message: "connection lost", statusCode: 502 })
            : ok(fixture.responseOf(responseText));
    };

    const vms = options.vms ?? 3 + (options.seed % 7);
    const fleet = fixture.createFleet({ ...options, vms, executeOn });
    const { clock, random, ids } = fleet;
    const pick = <T>(items: readonly T[]): T => items[Math.floor(random() * items.length)]!;
    const pausedUntilMs = new Map<core.VmId, number>();
    const shortPauses = new Set<core.VmId>();
    const socketBuffers = new Map<core.VmId, (() => void)[]>();

    const send = (vm: core.VmId, token: idempotency.OperationToken, body: string): void => {
        const record: AttemptRecord = {
            token: JSON.stringify(token),
            body,
            sentMs: clock.nowMs(),
            arrivedMs: clock.nowMs(),
        };
        const index = attempts.push(record) - 1;
        const deliver = (): void => {
            if (shortPauses.has(vm)) {
                record.arrivedMs = clock.nowMs();
            }
            void fleet.storeOf(vm).run(token, fixture.north, fixture.makeRequest(body, index)).then(outcome => {
                record.outcome = outcome;
                record.endedMs = clock.nowMs();
            });
        };
        if (pausedUntilMs.has(vm)) {
            socketBuffers.set(vm, [...socketBuffers.get(vm) ?? [], deliver]);
        }
        else {
            deliver();
        }
    };

    const startCaller = (index: number): void => {
        const running = liveVms().filter(id => !pausedUntilMs.has(id));
        const byTicket = random() < 0.5 && running.length > 0;
        const token = byTicket
            ? fixture.ticketToken(fleet.storeOf(pick(running)).issueTicket(fixture.north).ticket)
            : fixture.keyToken(`key ${index}`);
        const usableMs = byTicket ? 3 * fixture.windowMs : fixture.windowMs;
        const count = 1 + Math.floor(random() * 5);
        // Half of the resends follow soon, as after a caller's timeout; the others at any time while the token is usable.
        Array.from({ length: count }, (_, resend) => resend === 0 ? 0 : random() * (random() < 0.5 ? 100 : usableMs))
            .forEach(delayMs => {
                const body = random() < 0.05 ? `other body ${index}` : `body ${index}`;
                clock.setTimer(delayMs, () => send(pick(liveVms()), token, body));
            });
    };

    const resume = (vm: core.VmId): void => {
        pausedUntilMs.delete(vm);
        fleet.resume(vm);
        const deliveries = socketBuffers.get(vm) ?? [];
        socketBuffers.delete(vm);
        deliveries.forEach(deliver => deliver());
        shortPauses.delete(vm);
    };

    const pause = (vm: core.VmId): void => {
        const lengthMs = random() < 0.7 ? random() * 1_000 : random() * 4 * fixture.windowMs;
        pausedUntilMs.set(vm, clock.nowMs() + lengthMs);
        if (lengthMs < idempotency.minPauseMs + idempotency.pauseCheckPeriodMs) {
            shortPauses.add(vm);
        }
        fleet.pause(vm);
        clock.setTimer(lengthMs, () => {
            if ((pausedUntilMs.get(vm) ?? Infinity) <= clock.nowMs()) {
                resume(vm);
            }
        });
    };

    const restart = (vm: core.VmId): void => {
        pausedUntilMs.delete(vm);
        shortPauses.delete(vm);
        socketBuffers.delete(vm);
        fleet.restart(vm);
    };

    const partition = (): void => {
        const [from, to] = [pick(ids), pick(ids)];
        fleet.network.partitionOneWay(from, to);
        if (random() < 0.5) {
            fleet.network.partitionOneWay(to, from);
        }
    };

    const liveVms = (): core.VmId[] => publishedVersion === 3 ? ids.slice(1) : ids;
    let publishedVersion: fixture.DocumentVersion = 2;

    // A VM is retired only after its machine was terminated.
    const retireFirst = (): void => {
        publishedVersion = 3;
        pausedUntilMs.delete(ids[0]!);
        socketBuffers.delete(ids[0]!);
        fleet.terminate(ids[0]!);
    };

    const injectFault = (): void => {
        const vm = pick(liveVms());
        const kind = random();
        if (kind < 0.012) {
            restart(vm);
        }
        else if (kind < 0.05 && !pausedUntilMs.has(vm)) {
            pause(vm);
        }
        else if (kind < 0.1) {
            partition();
        }
        else if (kind < 0.15) {
            fleet.network.heal();
        }
        else if (kind < 0.18 && !pausedUntilMs.has(vm)) {
            fleet.documents.adopt(vm, publishedVersion);
        }
    };

    await fleet.warmUp();
    const steps = (options.durationMs ?? 60_000) / stepMs;
    for (let step = 0; step < steps; step++) {
        if (step === Math.floor(steps / 3)) {
            retireFirst();
        }
        injectFault();
        if (random() < operationsPerStep) {
            startCaller(step);
        }
        await clock.advance(random() * 2 * stepMs);
    }
    fleet.network.heal();
    ids.filter(id => pausedUntilMs.has(id)).forEach(resume);
    await clock.advance(3 * fixture.windowMs);
    liveVms().forEach(id => fleet.storeOf(id).dispose());
    return { attempts, runs };
}

export type ViolationKind = "ran-twice" | "false-not-run" | "false-ran" | "wrong-response";

export interface Violation {
    readonly kind: ViolationKind;
    readonly detail: string;
}

/** Checks the guarantees of §4.4 over a whole trace. */
export function findViolations(trace: Trace): Violation[] {
    return trace.attempts
        .flatMap(attempt => checkAttempt(trace, attempt))
        .concat(findRepeatedRuns(trace));
}

function findRepeatedRuns({ runs }: Trace): Violation[] {
    return runs.flatMap((run, index): Violation[] => {
        const earlier = runs.slice(0, index).find(other => other.token === run.token);
        return earlier ? [{ kind: "ran-twice", detail: JSON.stringify([earlier, run]) }] : [];
    });
}

function checkAttempt(trace: Trace, attempt: AttemptRecord): Violation[] {
    const { outcome, token, body } = attempt;
    if (!outcome) {
        return [];
    }
    const runs = trace.runs.filter(run => run.token === token && run.body === body);
    const detail = `${fixture.summaryOf(outcome)} ${JSON.stringify({ attempt, runs })}`;
    if (outcome.isOk()) {
        const isFromRun = runs.some(run => run.responseText === Buffer.from(outcome.value.body).toString());
        return isFromRun ? [] : [{ kind: "wrong-response", detail }];
    }
    if (outcome.error.verdict === "ran" && runs.length === 0) {
        return [{ kind: "false-ran", detail }];
    }
    // A not-run covers every attempt that arrived no later than the refused one.
    const covered = runs.filter(run => trace.attempts[run.attempt]!.arrivedMs <= attempt.arrivedMs);
    return outcome.error.verdict === "not-run" && covered.length > 0 ? [{ kind: "false-not-run", detail }] : [];
}
