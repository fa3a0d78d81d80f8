import * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import { err, ok, type Result } from "neverthrow";
import { createByteBudget } from "./ByteBudget.js";
import { createExchangeTimer } from "./ExchangeTimer.js";
import * as codec from "./HeartbeatCodec.js";
import { createLivenessDigest } from "./LivenessDigest.js";
import type { Membership, MembershipCounters, PeerUpdate } from "./Membership.js";
import * as constants from "./MembershipConstants.js";
import { createPeerTable } from "./PeerTable.js";
import { createSectionSet, sizeOfSection } from "./SectionSet.js";

export interface MembershipOptions {
    readonly self: core.VmId;
    /** Identifies this run; must be higher than the incarnation of every earlier run of this VM. */
    readonly incarnation: number;
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly endpoint: core.PeerEndpoint;
    /** The document that lists the VMs; undefined before the first one. */
    readonly document: core.SnapshotCell<documents.FleetDocument | undefined>;
    /** Bytes per second for heartbeats and acknowledgements, transport included. */
    readonly budgetBytesPerS?: number;
    /** Number of peers that receive a heartbeat in fleets of more than {@link constants.maxFullGossipVms} VMs. */
    readonly fanout?: number;
    /** Called when a section of this VM exceeds its size limit or throws. */
    readonly onSectionFault?: (section: string, fault: string) => void;
}

function defaultBudget(peers: number): number {
    return peers < constants.maxFullGossipVms ? constants.smallFleetBudgetBytesPerS : constants.defaultBudgetBytesPerS;
}

/** Creates the membership of one VM. It sends and receives nothing before `start`. */
export function createMembership(options: MembershipOptions): Membership {
    const { self, incarnation, clock, random, endpoint, document } = options;
    const counters = createCounters();
    const table = createPeerTable(clock, self);
    const liveness = createLivenessDigest(clock, self);
    const budget = createByteBudget(clock, () => options.budgetBytesPerS ?? defaultBudget(table.ids().length));
    const sections = createSectionSet((section, fault) => {
        counters.sectionFaults++;
        options.onSectionFault?.(section, fault);
    });
    const listeners = new Set<(peer: PeerUpdate) => void>();
    const cleanUps: (() => void)[] = [];
    let ownStatus: codec.VmStatus = { incarnation, documentVersion: 0, documentDigest: "" };
    let lastActiveMs = clock.nowMs();
    let lastSentMs = Number.NEGATIVE_INFINITY;

    // Without this, every peer would be reported as unreachable after a long pause of this process.
    const compensatePause = (): void => {
        const nowMs = clock.nowMs();
        if (nowMs - lastActiveMs > constants.suspectAfterMs) {
            table.compensatePause(nowMs - lastActiveMs);
        }
        lastActiveMs = nowMs;
    };

    const chargeBudget = (bytes: number): void => {
        budget.spend(bytes);
        counters.bytesSent += bytes;
    };

    const recordMessage = (from: core.VmId, peerStatus: codec.VmStatus): boolean => {
        if (!table.recordMessage(from, peerStatus)) {
            counters.messagesIgnored++;
            return false;
        }
        liveness.mark(from);
        const view = table.view(from) ?? viewOfUnlistedPeer(from, peerStatus, clock.nowMs());
        listeners.forEach(listener => listener({ ...view, documentDigest: peerStatus.documentDigest }));
        return true;
    };

    const receive = async (from: core.VmId, payload: Uint8Array): Promise<Result<Uint8Array, string>> => {
        compensatePause();
        const heartbeat = codec.decodeHeartbeat(payload);
        counters.heartbeatsReceived++;
        if (!heartbeat) {
            counters.messagesIgnored++;
            return err("not a heartbeat");
        }
        if (!recordMessage(from, heartbeat)) {
            return err("sent by an earlier run of the sender");
        }
        if (table.has(from)) {
            (heartbeat.heard ? liveness.merge(heartbeat.heard) : [])
                .forEach(relayed => table.recordRelayedMark(relayed.id, relayed.heardMs));
            sections.apply(from, heartbeat.incarnation, heartbeat.sections);
        }
        const ack = codec.encodeAck(ownStatus);
        chargeBudget(ack.length + constants.ackTransportBytes);
        return ok(ack);
    };

    const sendTo = async (to: core.VmId, payload: Uint8Array): Promise<void> => {
        counters.heartbeatsSent++;
        const reply = await endpoint.call(to, constants.membershipSlice, payload, constants.heartbeatTimeoutMs);
        const ack = reply.isOk() ? codec.decodeAck(reply.value) : undefined;
        if (ack) {
            recordMessage(to, ack);
            return;
        }
        counters.heartbeatsUnanswered++;
        table.recordFailure(to);
    };

    const chooseTargets = (): readonly core.VmId[] => {
        const ids = table.ids();
        const sendToAll = ids.length < constants.maxFullGossipVms;
        return sendToAll ? ids : core.shuffle(ids, random).slice(0, options.fanout ?? constants.defaultFanout);
    };

    const exchange = (urgent: boolean): void => {
        compensatePause();
        const targets = chooseTargets();
        if (targets.length === 0) {
            return;
        }
        const sendsToAllPeers = targets.length === table.ids().length;
        const livenessBits = sendsToAllPeers ? undefined : liveness.encode();
        const baseBytes = codec.encodeHeartbeat({ ...ownStatus, sections: [], heard: livenessBits }).length
            + constants.heartbeatTransportBytes;
        const sectionBudgetBytes = Math.floor(budget.available() / targets.length - baseBytes);
        if (sectionBudgetBytes < constants.minSectionBytes && !(urgent && budget.mayOverdraw())) {
            counters.heartbeatsDeferred++;
            return;
        }
        const limitBytes = Math.min(Math.max(sectionBudgetBytes, constants.minSectionBytes), constants.maxSectionBytes);
        const encoded = sections.encode(limitBytes);
        const hasNothingNew = sendsToAllPeers && !urgent && sections.isRoutine(encoded);
        if (hasNothingNew && clock.nowMs() - lastSentMs < constants.maxQuietIntervalMs) {
            return;
        }
        lastSentMs = clock.nowMs();
        const size = baseBytes + encoded.reduce((sum, section) => sum + sizeOfSection(section), 0);
        chargeBudget(size * targets.length);
        const payload = codec.encodeHeartbeat({ ...ownStatus, sections: encoded, heard: livenessBits });
        targets.forEach(to => void sendTo(to, payload));
    };

    const timer = createExchangeTimer({
        clock,
        random,
        periodMs: () => document.read()?.fleet.exchangePeriodMs ?? constants.defaultExchangePeriodMs,
        exchange,
    });

    const applyDocument = (value: documents.FleetDocument | undefined): void => {
        const ids = (value?.vms ?? []).filter(vm => vm.state !== "retired").map(vm => vm.id);
        table.setVms(ids);
        liveness.setVms(ids);
    };

    return {
        registerSection: section => sections.register(section),
        requestExchange: () => timer.request(),
        peers() {
            compensatePause();
            return table.views();
        },
        registerPeerListener(listener) {
            listeners.add(listener);
            return () => {
                listeners.delete(listener);
            };
        },
        setDocument(version, digest) {
            const newer = version > ownStatus.documentVersion;
            ownStatus = { incarnation, documentVersion: version, documentDigest: digest };
            if (newer) {
                timer.request();
            }
        },
        counters: () => ({ ...counters }),
        start() {
            const subscription = document.changes.subscribe(applyDocument);
            cleanUps.push(
                () => subscription.unsubscribe(),
                endpoint.registerSlice(constants.membershipSlice, receive),
                timer.start(),
            );
        },
        dispose() {
            cleanUps.splice(0).forEach(cleanUp => cleanUp());
        },
    };
}

function createCounters(): MembershipCounters {
    return {
        heartbeatsSent: 0,
        heartbeatsUnanswered: 0,
        heartbeatsReceived: 0,
        heartbeatsDeferred: 0,
        messagesIgnored: 0,
        sectionFaults: 0,
        bytesSent: 0,
    };
}

// A VM that joins in a newer document may send before this VM has that document.
function viewOfUnlistedPeer(id: core.VmId, status: codec.VmStatus, nowMs: number): core.PeerView {
    const { incarnation, documentVersion } = status;
    return { id, health: "alive", incarnation, documentVersion, lastHeardMs: nowMs };
}
