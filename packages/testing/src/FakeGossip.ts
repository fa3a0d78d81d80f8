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
    /** Maximum rate in bytes/s that this VM sends, over all peers. */
    readonly bytesPerS?: number;
    readonly fanout?: number;
}

/** A gossip registry that sends sections over the virtual network, without authentication or a document. */
export interface FakeGossip extends core.GossipRegistry {
    peers(): readonly core.PeerView[];
    /** Bytes of gossip messages sent so far. */
    bytesSent(): number;
    dispose(): void;
}

const slice = "fake-gossip";
const headerBytes = 9;
/** Unit in ms of the ages in a heartbeat of larger fleets: the time since its sender last received from each VM. */
const ageUnitMs = 50;
const unknownAge = 255;
/** Size of a heartbeat with its envelope in the real protocol. */
const heartbeatBytes = 60;
const fullMeshPeers = 12;
const minExchangeGapMs = 20;
const minSectionBytes = 96;

export function createFakeGossip(options: FakeGossipOptions): FakeGossip {
    const { clock, random, endpoint, self, others, periodMs = 200, bytesPerS = 4_096, fanout = 2 } = options;
    const receivedFrom = new Map<core.VmId, { incarnation: number | undefined; lastHeardMs: number; }>();
    let sections: core.GossipSection[] = [];
    let sendBudgetBytes = bytesPerS;
    let budgetRefilledMs = clock.nowMs();
    let bytesSent = 0;
    let cancelRequested: (() => void) | undefined;

    const refill = (): void => {
        sendBudgetBytes = Math.min(bytesPerS, sendBudgetBytes + (clock.nowMs() - budgetRefilledMs) * bytesPerS / 1_000);
        budgetRefilledMs = clock.nowMs();
    };

    /** All VMs in an order that is the same on every VM; empty in small fleets, where every VM sends to all others. */
    const relayedIds = (): readonly core.VmId[] => others().length < fullMeshPeers ? [] : [...others(), self.id].sort();

    const ageOf = (id: core.VmId): number => {
        const lastMs = id === self.id ? clock.nowMs() : receivedFrom.get(id)?.lastHeardMs ?? -Infinity;
        return Math.min(unknownAge, Math.ceil((clock.nowMs() - lastMs) / ageUnitMs));
    };

    const encode = (limitBytes: number): Uint8Array => {
        const ages = relayedIds().map(ageOf);
        const body = sections[0]?.encode(limitBytes) ?? new Uint8Array();
        const message = new Uint8Array(headerBytes + ages.length + body.length);
        new DataView(message.buffer).setFloat64(0, self.incarnation);
        message[headerBytes - 1] = ages.length;
        message.set(ages, headerBytes);
        message.set(body, headerBytes + ages.length);
        return message;
    };

    const applyAges = (ages: Uint8Array): void =>
        relayedIds().forEach((id, index) => {
            const age = ages[index] ?? unknownAge;
            const previous = receivedFrom.get(id);
            const receivedMs = clock.nowMs() - age * ageUnitMs;
            if (age < unknownAge && id !== self.id && receivedMs > (previous?.lastHeardMs ?? -Infinity)) {
                receivedFrom.set(id, { incarnation: previous?.incarnation, lastHeardMs: receivedMs });
            }
        });

    const exchange = (): void => {
        refill();
        const ids = others();
        const targets = ids.length < fullMeshPeers ? ids : core.shuffle(ids, random).slice(0, fanout);
        const sectionLimitBytes = Math.floor(sendBudgetBytes / Math.max(1, targets.length)) - heartbeatBytes
            - relayedIds().length;
        if (targets.length === 0 || sectionLimitBytes < minSectionBytes) {
            return;
        }
        const message = encode(sectionLimitBytes);
        const bytes = (heartbeatBytes + message.length) * targets.length;
        sendBudgetBytes -= bytes;
        bytesSent += bytes;
        targets.forEach(to => void endpoint.call(to, slice, message, periodMs));
    };

    const disposers = [
        endpoint.registerSlice(slice, (from, payload) => {
            const incarnation = new DataView(payload.buffer, payload.byteOffset).getFloat64(0);
            receivedFrom.set(from, { incarnation, lastHeardMs: clock.nowMs() });
            const bodyStart = headerBytes + (payload[headerBytes - 1] ?? 0);
            applyAges(payload.subarray(headerBytes, bodyStart));
            sections.forEach(section => section.apply(from, incarnation, payload.subarray(bodyStart)));
            return Promise.resolve(ok(new Uint8Array()));
        }),
        // A random delay before the first exchange keeps the VMs from sending in lockstep.
        clock.setTimer(random() * periodMs, () => disposers.push(core.setRepeatingTimer(clock, periodMs, exchange))),
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
                const previous = receivedFrom.get(id);
                return {
                    id,
                    health: "alive",
                    incarnation: previous?.incarnation,
                    documentVersion: 0,
                    lastHeardMs: previous?.lastHeardMs,
                };
            }),
        bytesSent: () => bytesSent,
        dispose: () => disposers.splice(0).forEach(dispose => dispose()),
    };
}
