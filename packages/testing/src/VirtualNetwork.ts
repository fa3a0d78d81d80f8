import * as core from "@peridotloft/core";
import { err, type Result } from "neverthrow";

export interface VirtualNetworkOptions {
    readonly clock: core.Clock;
    readonly random: core.Random;
    /** One-way delay of a message in ms, before jitter of up to the same amount again. */
    readonly oneWayDelayMs?: number;
    /** Share of messages lost, in [0, 1]. */
    readonly lossRatio?: number;
}

/** Connects VMs of one test process. Delays, loses and cuts messages. */
export interface VirtualNetwork {
    /** Attaches a VM and returns its endpoint. Attaching an id again models a restart: old handlers are gone. */
    attach(id: core.VmId): core.PeerEndpoint;
    /** Detaches a VM: it no longer receives or answers. */
    detach(id: core.VmId): void;
    /** Cuts messages from one VM to another, in this direction only. */
    cut(from: core.VmId, to: core.VmId): void;
    /** Cuts both directions between every VM of `group` and every other attached VM. */
    isolate(group: readonly core.VmId[]): void;
    /** Ends all cuts. */
    heal(): void;
    /** Holds the messages that a paused VM would receive or send until it is resumed. */
    pause(id: core.VmId): void;
    resume(id: core.VmId): void;
    /** Payload bytes sent by a VM so far, requests and answers. */
    bytesSentBy(id: core.VmId): number;
}

export function createVirtualNetwork(options: VirtualNetworkOptions): VirtualNetwork {
    const { clock, random, oneWayDelayMs = 1, lossRatio = 0 } = options;
    const nodes = new Map<core.VmId, Map<string, core.SliceHandler>>();
    const cuts = new Set<string>();
    const paused = new Map<core.VmId, (() => void)[]>();
    const bytesSent = new Map<core.VmId, number>();
    const edge = (from: core.VmId, to: core.VmId): string => `${from}\n${to}`;

    const whenRunning = (id: core.VmId, action: () => void): void => {
        const held = paused.get(id);
        if (held) {
            held.push(action);
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
            if (!cuts.has(edge(from, to))) {
                whenRunning(to, action);
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
                whenRunning(from, () => resolve(err({ kind: "timeout", message: `no answer from ${to}` })));
            });
            const finish = (result: Result<Uint8Array, core.PeerError>): void => {
                cancel();
                if (nodes.get(from) === handlers) {
                    resolve(result);
                }
            };
            whenRunning(from, () =>
                deliver(from, to, payload.length, () => {
                    const handler = nodes.get(to)?.get(slice);
                    if (!handler) {
                        deliver(to, from, 0, () => finish(err({ kind: "unreachable", message: `${to} is down` })));
                        return;
                    }
                    void handler(from, payload).then(result =>
                        whenRunning(to, () =>
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
        cut(from, to) {
            cuts.add(edge(from, to));
        },
        isolate(group) {
            [...nodes.keys()]
                .filter(id => !group.includes(id))
                .forEach(outside =>
                    group.forEach(inside => {
                        cuts.add(edge(inside, outside));
                        cuts.add(edge(outside, inside));
                    })
                );
        },
        heal() {
            cuts.clear();
        },
        pause(id) {
            paused.set(id, paused.get(id) ?? []);
        },
        resume(id) {
            const held = paused.get(id) ?? [];
            paused.delete(id);
            held.forEach(action => action());
        },
        bytesSentBy: id => bytesSent.get(id) ?? 0,
    };
}

/** Unwraps a result that the test expects to be ok. */
export function expectOk<T, E>(result: Result<T, E>): T {
    return result.match(value => value, error => {
        throw new Error(`expected ok, got ${JSON.stringify(error)}`);
    });
}
