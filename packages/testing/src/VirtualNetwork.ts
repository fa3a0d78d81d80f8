import * as core from "@peridotloft/core";
import { err, type Result } from "neverthrow";

export interface VirtualNetworkOptions {
    readonly clock: core.Clock;
    readonly random: core.Random;
    /** One-way delay of a message in ms, excluding jitter of up to the same amount. */
    readonly oneWayDelayMs?: number;
    /** Probability of message loss, in [0, 1]. */
    readonly lossRatio?: number;
}

/** Simulated network between VMs in one test process, with delay, message loss, partitions and pauses. */
export interface VirtualNetwork {
    /** Attaches a VM and returns its endpoint. Attaching an id again simulates a restart: its handlers are removed. */
    attach(id: core.VmId): core.PeerEndpoint;
    /** Detaches a VM: it no longer receives messages or sends replies. */
    detach(id: core.VmId): void;
    /** Drops messages from one VM to another, in this direction only. */
    partitionOneWay(from: core.VmId, to: core.VmId): void;
    /** Partitions the network between `group` and all other VMs that are attached now, in both directions. */
    isolate(group: readonly core.VmId[]): void;
    /** Removes all partitions, including those in one direction. */
    heal(): void;
    /** Pauses a VM: the messages that it would receive or send are queued until it resumes. */
    pause(id: core.VmId): void;
    resume(id: core.VmId): void;
    /** Payload bytes that a VM has sent so far, in requests and replies. */
    bytesSentBy(id: core.VmId): number;
}

export function createVirtualNetwork(options: VirtualNetworkOptions): VirtualNetwork {
    const { clock, random, oneWayDelayMs = 1, lossRatio = 0 } = options;
    const nodes = new Map<core.VmId, Map<string, core.SliceHandler>>();
    const partitionedLinks = new Set<string>();
    const paused = new Map<core.VmId, (() => void)[]>();
    const bytesSent = new Map<core.VmId, number>();
    const linkKey = (from: core.VmId, to: core.VmId): string => `${from}\n${to}`;

    const runOrQueue = (id: core.VmId, action: () => void): void => {
        const pendingActions = paused.get(id);
        if (pendingActions) {
            pendingActions.push(action);
        }
        else {
            action();
        }
    };

    const deliver = (from: core.VmId, to: core.VmId, bytes: number, action: () => void): void => {
        bytesSent.set(from, (bytesSent.get(from) ?? 0) + bytes);
        const delayMs = oneWayDelayMs * (1 + random());
        if (random() < lossRatio) {
            return;
        }
        clock.setTimer(delayMs, () => {
            if (!partitionedLinks.has(linkKey(from, to))) {
                runOrQueue(to, action);
            }
        });
    };

    const call = (
        from: core.VmId,
        handlers: Map<string, core.SliceHandler>,
        to: core.VmId,
        slice: string,
        payload: Uint8Array,
        timeoutMs: number,
    ): Promise<Result<Uint8Array, core.PeerError>> =>
        new Promise(resolve => {
            const cancel = clock.setTimer(timeoutMs, () => {
                runOrQueue(from, () => resolve(err({ kind: "timeout", message: `no reply from ${to}` })));
            });
            const finish = (result: Result<Uint8Array, core.PeerError>): void => {
                cancel();
                if (nodes.get(from) === handlers) {
                    resolve(result);
                }
            };
            runOrQueue(from, () =>
                deliver(from, to, payload.length, () => {
                    const handler = nodes.get(to)?.get(slice);
                    if (!handler) {
                        deliver(to, from, 0, () => finish(err({ kind: "unreachable", message: `${to} is down` })));
                        return;
                    }
                    void handler(from, payload).then(result =>
                        runOrQueue(to, () =>
                            deliver(
                                to,
                                from,
                                result.isOk() ? result.value.length : 0,
                                () => finish(result.mapErr(message => ({ kind: "failed", message }))),
                            ))
                    );
                }));
        });

    return {
        attach(id) {
            const handlers = new Map<string, core.SliceHandler>();
            nodes.set(id, handlers);
            return {
                registerSlice(slice, handler) {
                    core.invariant(!handlers.has(slice), `slice ${slice} is registered once`);
                    handlers.set(slice, handler);
                    return () => {
                        handlers.delete(slice);
                    };
                },
                call: (to, slice, payload, timeoutMs) => {
                    if (nodes.get(id) !== handlers) {
                        return Promise.resolve(err({ kind: "unreachable", message: `${id} was restarted` }));
                    }
                    return call(id, handlers, to, slice, payload, timeoutMs);
                },
            };
        },
        detach(id) {
            nodes.delete(id);
        },
        partitionOneWay(from, to) {
            partitionedLinks.add(linkKey(from, to));
        },
        isolate(group) {
            [...nodes.keys()]
                .filter(id => !group.includes(id))
                .forEach(other =>
                    group.forEach(member => {
                        partitionedLinks.add(linkKey(member, other));
                        partitionedLinks.add(linkKey(other, member));
                    })
                );
        },
        heal() {
            partitionedLinks.clear();
        },
        pause(id) {
            paused.set(id, paused.get(id) ?? []);
        },
        resume(id) {
            const pendingActions = paused.get(id) ?? [];
            paused.delete(id);
            pendingActions.forEach(action => action());
        },
        bytesSentBy: id => bytesSent.get(id) ?? 0,
    };
}

/** Returns the value of a result that the test expects to be ok; throws otherwise. */
export function expectOk<T, E>(result: Result<T, E>): T {
    return result.match(value => value, error => {
        throw new Error(`expected ok, got ${JSON.stringify(error)}`);
    });
}
