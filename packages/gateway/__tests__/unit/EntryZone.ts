import * as core from "@peridotloft/core";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { createAcceptQueueMonitor } from "../../src/AcceptQueueMonitor.js";
import { createEntryRelief } from "../../src/EntryRelief.js";
import { createOverloadGuard } from "../../src/OverloadGuard.js";
import { createOverloadRetryChooser, type PeerLoad } from "../../src/OverloadRetry.js";

/** Time in ms that a VM of a third of a core takes to serve a request, and to accept and refuse a connection. */
const serveMs = 7.2;
const refuseMs = 3.6;
/** Requests per second that one VM can serve. */
const vmCapacityPerS = 1_000 / serveMs;
/** Time in ms for which a response occupies its connection. */
const responseMs = 500;
/** Share of the connections that their callers keep open after a response. */
const keptShare = 0.7;
/** Time in ms after which callers close idle connections. */
const idleTimeoutMs = 4_000;
/** Time in ms after which callers close a connection on which their request has not been read. */
const callerPatienceMs = 1_000;
/** Interval in ms at which the load balancer asks VMs whether they are ready, and the misses that take one out. */
const readinessIntervalMs = 1_000;
const maxMisses = 2;
/** Age in ms of what VMs know of each other. */
const peerLoadAgeMs = 1_000;

/** A caller that sends requests at a rate, over connections that the balancer assigns to one VM. */
interface CallerLoad {
    readonly name: string;
    readonly perS: number;
}

/** Requests that a caller sent in one second, and those of them that began. */
interface SecondOfLoad {
    readonly sent: number;
    readonly begun: number;
}

interface Connection {
    readonly vm: EntryVm;
    idleSinceMs: number;
}

interface SentRequest {
    readonly sentMs: number;
    hasBegun: boolean;
}

/** One attempt to get a request served. */
interface Attempt {
    readonly caller: Caller;
    readonly request: SentRequest;
    readonly isRetry: boolean;
    /** Whether the caller has closed the connection before its request was read. */
    isAbandoned: boolean;
}

interface Caller extends CallerLoad {
    readonly idle: Connection[];
    readonly requests: SentRequest[];
}

/** What happens to attempts at a VM. */
interface AttemptListener {
    onServed(attempt: Attempt, connection: Connection): void;
    /** @param retryAfterMs time in ms after which the caller may retry; 0 if it got no response. */
    onNotServed(attempt: Attempt, retryAfterMs: number): void;
}

type EntryVm = ReturnType<typeof createEntryVm>;

/** A VM whose event loop accepts one connection per turn and serves what has arrived on the open ones. */
function createEntryVm(
    name: string,
    clock: testing.VirtualClock,
    random: core.Random,
    peerLoads: () => readonly PeerLoad[],
    { onServed, onNotServed }: AttemptListener,
) {
    const log = testing.createRecordingLog();
    const waiting: Attempt[] = [];
    let arrived: { readonly attempt: Attempt; readonly connection: Connection; }[] = [];
    let turnEnds: (() => void)[] = [];
    let busyMs = 0;
    let turnEndMs = Number.NEGATIVE_INFINITY;
    let isBusy = false;
    let measuredMs = clock.nowMs();
    let measuredBusyMs = 0;

    const acceptQueue = createAcceptQueueMonitor({ clock, log, onTurnEnd: callback => turnEnds.push(callback) });
    const relief = createEntryRelief({ clock, log, peerLoads });
    const guard = createOverloadGuard({
        clock,
        log,
        random,
        acceptQueue,
        relief,
        utilization() {
            const nowMs = clock.nowMs();
            const busyNowMs = busyMs - Math.max(0, turnEndMs - nowMs);
            const utilization = (busyNowMs - measuredBusyMs) / (nowMs - measuredMs);
            [measuredMs, measuredBusyMs] = [nowMs, busyNowMs];
            return utilization;
        },
    });
    const chooseRetry = createOverloadRetryChooser({ clock, random, peerLoads });

    /** Accepts one connection; returns the time in ms that it takes and what its caller notices afterwards. */
    function accept(attempt: Attempt): { readonly costMs: number; readonly notify: () => void; } {
        acceptQueue.recordAccepted();
        const verdict = guard.judgeConnection();
        if (verdict === "flush") {
            const flushed = [attempt, ...waiting.splice(0)].filter(({ isAbandoned }) => !isAbandoned);
            acceptQueue.recordFlushed();
            return { costMs: 0, notify: () => flushed.forEach(closed => onNotServed(closed, 0)) };
        }
        if (verdict === "serve" && !attempt.isAbandoned) {
            arrived.push({ attempt, connection: { vm, idleSinceMs: 0 } });
            return { costMs: 0, notify: () => undefined };
        }
        if (verdict === "refuse") {
            acceptQueue.recordRefused(attempt.isAbandoned);
        }
        return {
            costMs: refuseMs,
            notify: () => !attempt.isAbandoned && onNotServed(attempt, chooseRetry().retryAfterMs ?? 0),
        };
    }

    /** Runs one turn of the event loop; returns its length in ms and what callers notice at its end. */
    function runTurn(): { readonly lengthMs: number; readonly notify: () => void; } {
        const served = arrived;
        arrived = [];
        const next = waiting.shift();
        const accepted = next && accept(next);
        return {
            lengthMs: served.length * serveMs + (accepted?.costMs ?? 0),
            notify() {
                served.forEach(({ attempt, connection }) => onServed(attempt, connection));
                accepted?.notify();
            },
        };
    }

    function work(): void {
        if (isBusy || (arrived.length === 0 && waiting.length === 0)) {
            return;
        }
        isBusy = true;
        const { lengthMs, notify } = runTurn();
        busyMs += lengthMs;
        turnEndMs = clock.nowMs() + lengthMs;
        clock.setTimer(lengthMs, () => {
            notify();
            const callbacks = turnEnds;
            turnEnds = [];
            callbacks.forEach(callback => callback());
            isBusy = false;
            work();
        });
    }

    const vm = {
        name,
        guard,
        connect(attempt: Attempt): void {
            waiting.push(attempt);
            clock.setTimer(callerPatienceMs, () => {
                if (waiting.includes(attempt)) {
                    attempt.isAbandoned = true;
                    onNotServed(attempt, 0);
                }
            });
            work();
        },
        send(attempt: Attempt, connection: Connection): void {
            arrived.push({ attempt, connection });
            work();
        },
        dispose(): void {
            guard.dispose();
            acceptQueue.dispose();
        },
    };
    return vm;
}

/** The VMs of an availability zone behind a load balancer that binds each caller to one of those that are ready. */
function createEntryZone(vmCount: number, callerLoads: readonly CallerLoad[], seed: number) {
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(seed);
    const misses = new Map<EntryVm, number>();
    const callers: Caller[] = callerLoads.map(load => ({ ...load, idle: [], requests: [] }));
    const vms: readonly EntryVm[] = Array.from({ length: vmCount }, (_, index) =>
        createEntryVm(
            `vm-${index}`,
            clock,
            random,
            () =>
                vms.filter((_vm, other) => other !== index).map(({ guard }) => ({
                    isSameZone: true,
                    refusedShare: guard.refusedShare(),
                    ageMs: peerLoadAgeMs,
                })),
            { onServed, onNotServed },
        ));

    function onServed({ caller, request }: Attempt, connection: Connection): void {
        request.hasBegun = true;
        clock.setTimer(responseMs, () => {
            if (random() < keptShare) {
                connection.idleSinceMs = clock.nowMs();
                caller.idle.push(connection);
            }
        });
    }

    /** Tries once more, on a new connection. */
    function onNotServed({ caller, request, isRetry }: Attempt, retryAfterMs: number): void {
        if (!isRetry) {
            clock.setTimer(retryAfterMs, () => connect({ caller, request, isRetry: true, isAbandoned: false }));
        }
    }

    const connect = (attempt: Attempt): void => vmOf(attempt.caller).connect(attempt);

    function vmOf({ name }: Caller): EntryVm {
        const inRotation = vms.filter(vm => (misses.get(vm) ?? 0) < maxMisses);
        const usable = inRotation.length * 2 < vms.length ? vms : inRotation;
        const scoreOf = (vm: EntryVm): number => core.mixHashes(core.hash32(name), core.hash32(vm.name));
        return usable.reduce((highest, vm) => scoreOf(vm) > scoreOf(highest) ? vm : highest);
    }

    function sendRequest(caller: Caller): void {
        const sentMs = clock.nowMs();
        const request = { sentMs, hasBegun: false };
        const attempt = { caller, request, isRetry: false, isAbandoned: false };
        caller.requests.push(request);
        const connection = caller.idle.pop();
        if (connection && sentMs - connection.idleSinceMs < idleTimeoutMs) {
            connection.vm.send(attempt, connection);
        }
        else {
            connect(attempt);
        }
    }

    function sendNext(caller: Caller): void {
        clock.setTimer(-Math.log(1 - random()) * 1_000 / caller.perS, () => {
            sendRequest(caller);
            sendNext(caller);
        });
    }

    const stopReadiness = core.setRepeatingTimer(
        clock,
        readinessIntervalMs,
        () => vms.forEach(vm => misses.set(vm, vm.guard.isOverloaded() ? (misses.get(vm) ?? 0) + 1 : 0)),
    );

    return {
        /** Plays the load; returns by caller, for each second, the requests sent in it and those of them that began. */
        async play(seconds: number): Promise<ReadonlyMap<string, readonly SecondOfLoad[]>> {
            const startMs = clock.nowMs();
            callers.forEach(sendNext);
            await clock.advance(seconds * 1_000);
            return new Map(callers.map(({ name, requests }) => [
                name,
                Array.from({ length: seconds }, (_, second): SecondOfLoad => {
                    const sent = requests.filter(({ sentMs }) => Math.floor((sentMs - startMs) / 1_000) === second);
                    return { sent: sent.length, begun: sent.filter(({ hasBegun }) => hasBegun).length };
                }),
            ]));
        },
        dispose(): void {
            stopReadiness();
            vms.forEach(vm => vm.dispose());
        },
    };
}

/** The span in s over which the shares of customers are compared, and the share of what it asks for that one is owed at least. */
const windowS = 6;
const minShare = 0.5;

/** The smallest share of the requests sent in such a span that began. */
function worstShare(load: readonly SecondOfLoad[]): number {
    const shares = load.slice(0, 1 - windowS).map((_, start) => {
        const window = load.slice(start, start + windowS);
        const sum = (count: (second: SecondOfLoad) => number) =>
            window.reduce((total, second) => total + count(second), 0);
        return sum(({ begun }) => begun) / sum(({ sent }) => sent);
    });
    return Math.min(...shares);
}

/**
 * Checks that no caller is starved in a zone of nearly idle VMs while one sends `overload` times what the VM to which it is bound
 * can serve.
 */
export async function checkShares(overload: number, seed: number): Promise<void> {
    const vmCount = 20;
    const zone = createEntryZone(vmCount, [
        { name: "large", perS: overload * vmCapacityPerS },
        ...Array.from({ length: 3 * vmCount }, (_, index) => ({ name: `small-${index}`, perS: 5 })),
    ], seed);
    const loads = await zone.play(20);
    zone.dispose();
    loads.forEach((load, name) => {
        const share = worstShare(load);
        assert.ok(share >= minShare, `seed ${seed}: ${share.toFixed(2)} of ${name}`);
    });
}
