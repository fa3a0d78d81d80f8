import * as core from "@peridotloft/core";
import { ok } from "neverthrow";

export interface FakeGossipOptions {
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly endpoint: core.PeerEndpoint;
    readonly self: { readonly id: core.VmId; readonly incarnation: number; };
    /** Ids of the other VMs. */
    readonly others: () => readonly core.VmId[];
    readonly periodMs?: number;
    /** Bytes that this VM sends per second at most, over all peers. */
    readonly bytesPerS?: number;
    readonly fanout?: number;
}

/** A gossip registry that sends sections over the virtual network, without authentication or a document. */
export interface FakeGossip extends core.GossipRegistry {
    peers(): readonly core.PeerView[];
    /** Bytes of heartbeats sent so far. */
    bytesSent(): number;
    dispose(): void;
}

const slice = "fake-gossip";
const headerBytes = 8;
/** Size of a heartbeat with its envelope in the real protocol. */
const heartbeatBytes = 60;
const allPeersUpTo = 12;
const minExchangeGapMs = 20;
const minSectionBytes = 96;

export function createFakeGossip(options: FakeGossipOptions): FakeGossip {
    const { clock, random, endpoint, self, others, periodMs = 200, bytesPerS = 4_096, fanout = 2 } = options;
    const heard = new Map<core.VmId, { incarnation: number; lastHeardMs: number; }>();
    let sections: core.GossipSection[] = [];
    let balance = bytesPerS;
    let refilledMs = clock.nowMs();
    let bytesSent = 0;
    let cancelRequested: (() => void) | undefined;

    const refill = (): void => {
        balance = Math.min(bytesPerS, balance + (clock.nowMs() - refilledMs) * bytesPerS / 1_000);
        refilledMs = clock.nowMs();
    };

    const encode = (limitBytes: number): Uint8Array => {
        const body = sections[0]?.encode(limitBytes) ?? new Uint8Array();
        const message = new Uint8Array(headerBytes + body.length);
        new DataView(message.buffer).setFloat64(0, self.incarnation);
        message.set(body, headerBytes);
        return message;
    };

    const exchange = (): void => {
        refill();
        const ids = others();
        const targets = ids.length < allPeersUpTo ? ids : core.shuffle(ids, random).slice(0, fanout);
        const room = Math.floor(balance / Math.max(1, targets.length)) - heartbeatBytes;
        if (targets.length === 0 || room < minSectionBytes) {
            return;
        }
        const message = encode(room);
        const bytes = (heartbeatBytes + message.length) * targets.length;
        balance -= bytes;
        bytesSent += bytes;
        targets.forEach(to => void endpoint.call(to, slice, message, periodMs));
    };

    const undo = [
        endpoint.registerSlice(slice, (from, payload) => {
            const incarnation = new DataView(payload.buffer, payload.byteOffset).getFloat64(0);
            heard.set(from, { incarnation, lastHeardMs: clock.nowMs() });
            sections.forEach(section => section.apply(from, incarnation, payload.subarray(headerBytes)));
            return Promise.resolve(ok(new Uint8Array()));
        }),
        // A random first exchange keeps the VMs from sending all at the same moment.
        clock.setTimer(random() * periodMs, () => undo.push(core.setRepeatingTimer(clock, periodMs, exchange))),
        () => cancelRequested?.(),
    ];

    return {
        registerSection(section) {
            sections = [...sections, section];
            return () => {
                sections = sections.filter(other => other !== section);
            };
        },
        requestExchange() {
            cancelRequested ??= clock.setTimer(minExchangeGapMs, () => {
                cancelRequested = undefined;
                exchange();
            });
        },
        peers: () =>
            others().map(id => {
                const known = heard.get(id);
                return {
                    id,
                    health: "alive",
                    incarnation: known?.incarnation,
                    documentVersion: 0,
                    lastHeardMs: known?.lastHeardMs,
                };
            }),
        bytesSent: () => bytesSent,
        dispose: () => undo.splice(0).forEach(each => each()),
    };
}
