import * as core from "@peridotloft/core";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { createAcceptQueueMonitor } from "../../src/AcceptQueueMonitor.js";
import { createEntryRelief } from "../../src/EntryRelief.js";
import { createOverloadGuard } from "../../src/OverloadGuard.js";
import { createOverloadRetryChooser, type PeerLoad } from "../../src/OverloadRetry.js";
import { createRelayPeers, type RelayPeerLoad } from "../../src/relay/RelayPeers.js";
import { createRelayRoom } from "../../src/relay/RelayRoom.js";
import { createRelayShare } from "../../src/relay/RelayShare.js";

/** Time in ms that a VM of a third of a core takes to serve a request, and to accept and refuse a connection. */
const serveMs = 7.2;
const refuseMs = 3.6;
/** The same to accept a connection and pass it on with its first request, and to pass on a later request with its response. */
const relayMs = 3.9;
const relayLaterMs = 1.75;
/** Size in cores of the VM that these times are of. */
const referenceCores = 0.324;
/** Requests per second that such a VM can serve. */
const vmCapacityPerS = 1_000 / serveMs;
/** Round trip between two VMs in ms, and the time that one waits for the answer of the other. */
const roundTripMs = 1;
const answerTimeoutMs = 100;
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
    /** The VM that serves it. */
    readonly vm: EntryVm;
    /** The VM that passes it on; undefined if it entered where it is served. */
    readonly via: EntryVm | undefined;
    idleSinceMs: number;
}

/** A request that a VM is to serve, or to pass on. */
interface Arrival {
    readonly attempt: Attempt;
    readonly connection: Connection;
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

/** A VM of a zone under test. */
interface VmOptions {
    readonly name: string;
    readonly cores: number;
    /** Whether it passes connections on. */
    readonly relays: boolean;
    readonly clock: testing.VirtualClock;
    readonly random: core.Random;
    readonly peerLoads: () => readonly (PeerLoad & RelayPeerLoad)[];
    readonly vmOf: (name: string) => EntryVm;
    readonly listener: AttemptListener;
}

/** A VM whose event loop accepts one connection per turn and serves what has arrived on the open ones. */
function createEntryVm(options: VmOptions) {
    const { name, cores, relays, clock, random, peerLoads, vmOf, listener } = options;
    const { onServed, onNotServed } = listener;
    const slowdown = referenceCores / cores;
    const log = testing.createRecordingLog();
    const waiting: Attempt[] = [];
    let arrived: Arrival[] = [];
    let turnEnds: (() => void)[] = [];
    let busyMs = 0;
    let turnEndMs = Number.NEGATIVE_INFINITY;
    let isBusy = false;
    let isLost = false;
    let takenCount = 0;
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
    const peers = createRelayPeers({ clock, random, peerLoads });
    const share = createRelayShare({
        clock,
        log,
        random,
        utilization: guard.utilization,
        acceptQueue,
        peersWithRoom: peers.withRoom,
    });
    const room = createRelayRoom({
        clock,
        cores,
        utilization: guard.utilization,
        isOpen: () => !guard.isOverloaded() && share.current() === 0 && guard.refusedShare() === 0,
    });

    /** Accepts one connection; returns the time in ms that it takes and what its caller notices afterwards. */
    function accept(attempt: Attempt): { readonly costMs: number; readonly notify: () => void; } {
        acceptQueue.recordAccepted();
        const address = relays && share.passesOn() ? peers.choose([]) : undefined;
        if (address === undefined) {
            return judge(attempt);
        }
        return { costMs: relayMs, notify: () => ask(attempt, address, []) };
    }

    /** Asks another VM to take a connection, and a second one if it does not. */
    function ask(attempt: Attempt, address: string, tried: readonly string[]): void {
        peers.recordAsked(address);
        const peer = vmOf(address);
        clock.setTimer(peer.isLost() ? answerTimeoutMs : roundTripMs, () => {
            const isAccepted = !peer.isLost() && peer.tryTake();
            const spareCores = peer.spareCores();
            peers.recordAnswer(address, peer.isLost() ? undefined : { isAccepted, spareCores });
            if (isLost || attempt.isAbandoned) {
                return;
            }
            if (isAccepted) {
                peer.send({ attempt, connection: { vm: peer, via: vm, idleSinceMs: 0 } });
                return;
            }
            const next = tried.length === 0 ? peers.choose([address]) : undefined;
            if (next === undefined) {
                // The cost of a refusal is paid with that of passing the connection on.
                judge(attempt).notify();
                work();
            }
            else {
                ask(attempt, next, [address]);
            }
        });
    }

    function judge(attempt: Attempt): { readonly costMs: number; readonly notify: () => void; } {
        const verdict = guard.judgeConnection();
        if (verdict === "flush") {
            const flushed = [attempt, ...waiting.splice(0)].filter(({ isAbandoned }) => !isAbandoned);
            acceptQueue.recordFlushed();
            return { costMs: 0, notify: () => flushed.forEach(closed => onNotServed(closed, 0)) };
        }
        if (verdict === "serve" && !attempt.isAbandoned) {
            arrived.push({ attempt, connection: { vm, via: undefined, idleSinceMs: 0 } });
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
        const handled = arrived;
        arrived = [];
        const next = waiting.shift();
        const accepted = next && accept(next);
        const handledMs = handled.reduce(
            (sum, { connection }) => sum + (connection.vm === vm ? serveMs : relayLaterMs),
            0,
        );
        return {
            lengthMs: (handledMs + (accepted?.costMs ?? 0)) * slowdown,
            notify() {
                handled.forEach(({ attempt, connection }) =>
                    connection.vm === vm ? onServed(attempt, connection) : connection.vm.send({ attempt, connection })
                );
                accepted?.notify();
            },
        };
    }

    function work(): void {
        if (isBusy || isLost || (arrived.length === 0 && waiting.length === 0)) {
            return;
        }
        isBusy = true;
        const { lengthMs, notify } = runTurn();
        busyMs += lengthMs;
        turnEndMs = clock.nowMs() + lengthMs;
        clock.setTimer(lengthMs, () => {
            if (isLost) {
                return;
            }
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
        /** Time in ms that what has arrived takes. */
        backlogMs: (): number =>
            isLost ? Number.POSITIVE_INFINITY : (arrived.length + waiting.length) * serveMs * slowdown,
        isLost: (): boolean => isLost,
        tryTake(): boolean {
            const isTaken = room.tryTake();
            takenCount += isTaken ? 1 : 0;
            return isTaken;
        },
        /** Number of connections that it has taken of other VMs. */
        servedForOthers: (): number => takenCount,
        spareCores: room.spareCores,
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
        send(arrival: Arrival): void {
            if (isLost) {
                onNotServed(arrival.attempt, 0);
                return;
            }
            arrived.push(arrival);
            work();
        },
        /** Ends it with all that has arrived. */
        lose(): void {
            isLost = true;
            const lost = [
                ...arrived.map(({ attempt }) => attempt),
                ...waiting.filter(({ isAbandoned }) => !isAbandoned),
            ];
            [arrived, waiting.length] = [[], 0];
            lost.forEach(attempt => onNotServed(attempt, 0));
        },
        dispose(): void {
            guard.dispose();
            share.dispose();
            acceptQueue.dispose();
        },
    };
    return vm;
}

/** How connections are distributed over the VMs of a zone. */
interface ZoneOptions {
    /** Sizes of the VMs in cores. */
    readonly vmCores: readonly number[];
    /** `perfect` sends each connection to the VM with the least to do; otherwise the load balancer hashes the caller. */
    readonly entry: "hash" | "hash-and-relay" | "perfect";
    readonly callers: readonly CallerLoad[];
    readonly seed: number;
}

/** The VMs of an availability zone behind a load balancer that binds each caller to one of those that are ready. */
function createEntryZone({ vmCores, entry, callers: callerLoads, seed }: ZoneOptions) {
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(seed);
    const misses = new Map<EntryVm, number>();
    const callers: Caller[] = callerLoads.map(load => ({ ...load, idle: [], requests: [] }));
    const vms: readonly EntryVm[] = vmCores.map((cores, index) =>
        createEntryVm({
            name: `vm-${index}`,
            cores,
            relays: entry === "hash-and-relay",
            clock,
            random,
            peerLoads: () =>
                vms.flatMap((vm, other) =>
                    other === index || vm.isLost() ? [] : [{
                        address: vm.name,
                        isSameZone: true,
                        refusedShare: vm.guard.refusedShare(),
                        spareCores: announcedCores[other] ?? 0,
                        ageMs: peerLoadAgeMs,
                    }]
                ),
            vmOf: address => vmNamed(address),
            listener: { onServed, onNotServed },
        })
    );
    const vmNamed = (name: string): EntryVm => vms.find(vm => vm.name === name)!;
    let announcedCores = vms.map(vm => vm.spareCores());
    const stopAnnouncing = core.setRepeatingTimer(
        clock,
        peerLoadAgeMs,
        () => announcedCores = vms.map(vm => vm.spareCores()),
    );

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

    function connect(attempt: Attempt): void {
        const vm = vmOf(attempt.caller);
        if (vm.isLost()) {
            onNotServed(attempt, 0);
        }
        else {
            vm.connect(attempt);
        }
    }

    const isOpen = ({ vm, via, idleSinceMs }: Connection): boolean =>
        clock.nowMs() - idleSinceMs < idleTimeoutMs && !vm.isLost() && via?.isLost() !== true;

    function vmOf({ name }: Caller): EntryVm {
        const inRotation = vms.filter(vm => (misses.get(vm) ?? 0) < maxMisses);
        const usable = inRotation.length * 2 < vms.length ? vms : inRotation;
        if (entry === "perfect") {
            return usable.reduce((least, vm) => vm.backlogMs() < least.backlogMs() ? vm : least);
        }
        const scoreOf = (vm: EntryVm): number => core.mixHashes(core.hash32(name), core.hash32(vm.name));
        return usable.reduce((highest, vm) => scoreOf(vm) > scoreOf(highest) ? vm : highest);
    }

    function sendRequest(caller: Caller): void {
        const sentMs = clock.nowMs();
        const request = { sentMs, hasBegun: false };
        const attempt = { caller, request, isRetry: false, isAbandoned: false };
        caller.requests.push(request);
        const connection = caller.idle.pop();
        if (connection && isOpen(connection)) {
            (connection.via ?? connection.vm).send({ attempt, connection });
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
        () => vms.forEach(vm => misses.set(vm, vm.isLost() || vm.guard.isOverloaded() ? (misses.get(vm) ?? 0) + 1 : 0)),
    );

    return {
        clock,
        /** Loses the VM that serves most connections which another one passes on. */
        loseServingVm(): void {
            const counts = new Map(vms.map(vm => [vm, vm.servedForOthers()]));
            const serving = vms.reduce((most, vm) => (counts.get(vm) ?? 0) > (counts.get(most) ?? 0) ? vm : most);
            serving.lose();
        },
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
            stopAnnouncing();
            vms.forEach(vm => vm.dispose());
        },
    };
}

/** A customer whose callers enter at a VM of 0.243 of a core while all are ready. */
const hotCustomer = "large";

/** The span in s over which the shares of customers are compared, and the share of what it asks for that one is owed at least. */
const windowS = 6;
export const minShare = 0.5;

/** The share of the requests that began. */
function shareOf(load: readonly SecondOfLoad[]): number {
    const sum = (count: (second: SecondOfLoad) => number) => load.reduce((total, second) => total + count(second), 0);
    return sum(({ begun }) => begun) / sum(({ sent }) => sent);
}

/** The smallest share of the requests sent in such a span that began. */
const worstShare = (load: readonly SecondOfLoad[]): number =>
    Math.min(...load.slice(0, 1 - windowS).map((_, start) => shareOf(load.slice(start, start + windowS))));

/**
 * Checks that no caller is starved in a zone of nearly idle VMs while one sends `overload` times what the VM to which it is bound
 * can serve.
 */
export async function checkShares(overload: number, seed: number): Promise<void> {
    const vmCount = 20;
    const zone = createEntryZone({
        vmCores: Array.from({ length: vmCount }, () => referenceCores),
        entry: "hash-and-relay",
        callers: [
            { name: "large", perS: overload * vmCapacityPerS },
            ...Array.from({ length: 3 * vmCount }, (_, index) => ({ name: `small-${index}`, perS: 5 })),
        ],
        seed,
    });
    const loads = await zone.play(20);
    zone.dispose();
    loads.forEach((load, name) => {
        const share = worstShare(load);
        assert.ok(share >= minShare, `seed ${seed}: ${share.toFixed(2)} of ${name}`);
    });
}

/** What the callers of an uneven zone got. */
export interface ZoneShares {
    /** Share of the requests of the large customer that began, in all and in its worst span. */
    readonly large: number;
    readonly largeWorst: number;
    /** The same of the small customer that got least. */
    readonly small: number;
    readonly smallWorst: number;
}

/**
 * Plays a zone of 25 VMs, most of them small, in which a customer sends ten times its usual rate, all of it to one small VM, while
 * the others are nearly idle.
 */
export async function playHotCustomer(
    entry: ZoneOptions["entry"],
    seed: number,
    losesServingVm = false,
): Promise<ZoneShares> {
    const usualPerS = 51;
    const zone = createEntryZone({
        vmCores: Array.from({ length: 25 }, (_, index) => index % 3 === 0 ? 0.81 : 0.243),
        entry,
        callers: [
            { name: hotCustomer, perS: 10 * usualPerS },
            ...Array.from({ length: 50 }, (_, index) => ({ name: `small-${index}`, perS: 3 })),
        ],
        seed,
    });
    if (losesServingVm) {
        zone.clock.setTimer(8_000, zone.loseServingVm);
    }
    const loads = await zone.play(20);
    zone.dispose();
    const { [hotCustomer]: large = [], ...others } = Object.fromEntries(loads);
    const smallLoads = Object.values(others);
    return {
        large: shareOf(large),
        largeWorst: worstShare(large),
        small: Math.min(...smallLoads.map(shareOf)),
        smallWorst: Math.min(...smallLoads.map(worstShare)),
    };
}
