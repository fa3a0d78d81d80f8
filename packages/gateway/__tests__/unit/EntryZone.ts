import * as core from "@peridotloft/core";
import * as testing from "@peridotloft/testing";
import { createAcceptQueueMonitor } from "../../src/AcceptQueueMonitor.js";
import { createOverloadGuard } from "../../src/OverloadGuard.js";
import { createOverloadRetryChooser, type PeerLoad } from "../../src/OverloadRetry.js";

/** Time in ms that a VM of a third of a core takes to serve a request, and to accept and refuse a connection. */
const serveMs = 9;
const refuseMs = 3;
/** Requests per second that one VM can serve. */
export const vmCapacityPerS = 1_000 / serveMs;
/** Time in ms for which a response occupies its connection. */
const responseMs = 500;
/** Share of the connections that their callers keep open after a response. */
const keptShare = 0.7;
/** Time in ms after which callers close idle connections. */
const idleTimeoutMs = 4_000;
/** Interval in ms at which the load balancer asks VMs whether they are ready, and the misses that take one out. */
const readinessIntervalMs = 1_000;
const maxMisses = 2;
/** Age in ms of what VMs know of each other. */
const peerLoadAgeMs = 1_000;

/** A caller that sends requests at a rate, over connections that the balancer assigns to one VM. */
export interface CallerLoad {
    readonly name: string;
    readonly perS: number;
}

interface Connection {
    readonly vm: EntryVm;
    idleSinceMs: number;
}

interface Request {
    readonly caller: Caller;
    readonly sentMs: number;
    readonly isRetry: boolean;
}

interface Caller extends CallerLoad {
    readonly idle: Connection[];
    readonly requests: { readonly sentMs: number; hasBegun: boolean; }[];
}

type EntryVm = ReturnType<typeof createEntryVm>;

/** A VM whose event loop accepts one connection per turn and serves what has arrived on the open ones. */
function createEntryVm(
    name: string,
    clock: testing.VirtualClock,
    random: core.Random,
    peerLoads: () => readonly PeerLoad[],
    answer: (request: Request, connection: Connection, retryAfterMs: number | undefined) => void,
) {
    const log = testing.createRecordingLog();
    const waiting: Request[] = [];
    let arrived: { readonly request: Request; readonly connection: Connection; }[] = [];
    let turnEnds: (() => void)[] = [];
    let busyMs = 0;
    let turnEndMs = Number.NEGATIVE_INFINITY;
    let isBusy = false;
    let measuredMs = clock.nowMs();
    let measuredBusyMs = 0;

    const acceptQueue = createAcceptQueueMonitor({ clock, log, onTurnEnd: callback => turnEnds.push(callback) });
    const guard = createOverloadGuard({
        clock,
        log,
        random,
        acceptQueue,
        utilization() {
            const nowMs = clock.nowMs();
            const busyNowMs = busyMs - Math.max(0, turnEndMs - nowMs);
            const utilization = (busyNowMs - measuredBusyMs) / (nowMs - measuredMs);
            [measuredMs, measuredBusyMs] = [nowMs, busyNowMs];
            return utilization;
        },
    });
    const chooseRetry = createOverloadRetryChooser({ clock, random, peerLoads });

    /** Runs one turn; returns its length in ms and the responses at its end. */
    function runTurn(): { readonly lengthMs: number; readonly respond: () => void; } {
        const served = arrived;
        arrived = [];
        let lengthMs = served.length * serveMs;
        let refused: Request | undefined;
        const accepted = waiting.shift();
        if (accepted) {
            acceptQueue.recordAccepted();
            if (guard.judgeConnection() === "serve") {
                arrived.push({ request: accepted, connection: { vm, idleSinceMs: 0 } });
            }
            else {
                lengthMs += refuseMs;
                refused = accepted;
            }
        }
        return {
            lengthMs,
            respond() {
                served.forEach(({ request, connection }) => answer(request, connection, undefined));
                if (refused) {
                    answer(refused, { vm, idleSinceMs: 0 }, chooseRetry().retryAfterMs ?? 0);
                }
            },
        };
    }

    function work(): void {
        if (isBusy || (arrived.length === 0 && waiting.length === 0)) {
            return;
        }
        isBusy = true;
        const { lengthMs, respond } = runTurn();
        busyMs += lengthMs;
        turnEndMs = clock.nowMs() + lengthMs;
        clock.setTimer(lengthMs, () => {
            respond();
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
        connect(request: Request): void {
            waiting.push(request);
            work();
        },
        send(request: Request, connection: Connection): void {
            arrived.push({ request, connection });
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
export function createEntryZone(vmCount: number, callerLoads: readonly CallerLoad[], seed: number) {
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
            answer,
        ));

    function answer(request: Request, connection: Connection, retryAfterMs: number | undefined): void {
        const { caller, sentMs, isRetry } = request;
        if (retryAfterMs !== undefined) {
            if (!isRetry) {
                clock.setTimer(retryAfterMs, () => vmOf(caller).connect({ caller, sentMs, isRetry: true }));
            }
            return;
        }
        const sent = caller.requests.find(other => other.sentMs === sentMs);
        if (sent) {
            sent.hasBegun = true;
        }
        clock.setTimer(responseMs, () => {
            if (random() < keptShare) {
                connection.idleSinceMs = clock.nowMs();
                caller.idle.push(connection);
            }
        });
    }

    function vmOf({ name }: Caller): EntryVm {
        const inRotation = vms.filter(vm => (misses.get(vm) ?? 0) < maxMisses);
        const usable = inRotation.length * 2 < vms.length ? vms : inRotation;
        const scoreOf = (vm: EntryVm): number => core.mixHashes(core.hash32(name), core.hash32(vm.name));
        return usable.reduce((highest, vm) => scoreOf(vm) > scoreOf(highest) ? vm : highest);
    }

    function sendRequest(caller: Caller): void {
        const sentMs = clock.nowMs();
        const request = { caller, sentMs, isRetry: false };
        caller.requests.push({ sentMs, hasBegun: false });
        const connection = caller.idle.pop();
        if (connection && sentMs - connection.idleSinceMs < idleTimeoutMs) {
            connection.vm.send(request, connection);
        }
        else {
            vmOf(caller).connect(request);
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

export interface SecondOfLoad {
    readonly sent: number;
    readonly begun: number;
}
