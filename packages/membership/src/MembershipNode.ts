import * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import { err, ok, type Result } from "neverthrow";
import { createByteBudget } from "./ByteBudget.js";
import { createExchangeTimer } from "./ExchangeTimer.js";
import { createHeardDigest } from "./HeardDigest.js";
import * as codec from "./HeartbeatCodec.js";
import type { HeardPeer, Membership, MembershipCounters } from "./Membership.js";
import * as constants from "./MembershipConstants.js";
import { createPeerTable } from "./PeerTable.js";
import { createSectionSet, sizeOfSection } from "./SectionSet.js";

export interface MembershipOptions {
    readonly self: core.VmId;
    /** Start number of this run; must be higher than that of every earlier run of this VM. */
    readonly incarnation: number;
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly endpoint: core.PeerEndpoint;
    /** The document whose VMs are the peers; undefined until one is held. */
    readonly document: core.SnapshotCell<documents.FleetDocument | undefined>;
    /** Bytes per second for heartbeats and acknowledgements, transport included. */
    readonly budgetBytesPerS?: number;
    /** Peers that a heartbeat goes to in fleets of more than {@link constants.allPeersUpTo} VMs. */
    readonly fanout?: number;
    /** Called when a section of this VM encodes too much, or throws. */
    readonly onSectionFault?: (section: string, fault: string) => void;
}

function defaultBudget(peers: number): number {
    return peers < constants.allPeersUpTo ? constants.smallFleetBudgetBytesPerS : constants.defaultBudgetBytesPerS;
}

/** Creates the gossip of one VM. It is silent until `start`. */
export function createMembership(options: MembershipOptions): Membership {
    const { self, incarnation, clock, random, endpoint, document } = options;
    const counters = createCounters();
    const table = createPeerTable(clock, self);
    const heard = createHeardDigest(clock, self);
    const budget = createByteBudget(clock, () => options.budgetBytesPerS ?? defaultBudget(table.ids().length));
    const sections = createSectionSet((section, fault) => {
        counters.sectionFaults++;
        options.onSectionFault?.(section, fault);
    });
    const listeners = new Set<(peer: HeardPeer) => void>();
    const cleanUps: (() => void)[] = [];
    let news: codec.SelfNews = { incarnation, documentVersion: 0, documentDigest: "" };
    let lastSeenRunningMs = clock.nowMs();
    let lastSentMs = Number.NEGATIVE_INFINITY;

    // The first reading after a pause would otherwise find every peer silent for as long as the pause was.
    const discountPause = (): void => {
        const nowMs = clock.nowMs();
        if (nowMs - lastSeenRunningMs > constants.suspectAfterMs) {
            table.discountPause(nowMs - lastSeenRunningMs);
        }
        lastSeenRunningMs = nowMs;
    };

    const spend = (bytes: number): void => {
        budget.spend(bytes);
        counters.bytesSent += bytes;
    };

    const noteHeard = (from: core.VmId, peerNews: codec.SelfNews): boolean => {
        if (!table.noteHeard(from, peerNews)) {
            counters.messagesIgnored++;
            return false;
        }
        heard.mark(from);
        const view = table.view(from) ?? viewOfStranger(from, peerNews, clock.nowMs());
        listeners.forEach(listener => listener({ ...view, documentDigest: peerNews.documentDigest }));
        return true;
    };

    const receive = async (from: core.VmId, payload: Uint8Array): Promise<Result<Uint8Array, string>> => {
        discountPause();
        const heartbeat = codec.decodeHeartbeat(payload);
        counters.heartbeatsReceived++;
        if (!heartbeat) {
            counters.messagesIgnored++;
            return err("not a heartbeat");
        }
        if (!noteHeard(from, heartbeat)) {
            return err("sent by an earlier run of this VM");
        }
        if (table.has(from)) {
            (heartbeat.heard ? heard.merge(heartbeat.heard) : [])
                .forEach(relayed => table.noteRelayed(relayed.id, relayed.heardMs));
            sections.apply(from, heartbeat.incarnation, heartbeat.sections);
        }
        const ack = codec.encodeAck(news);
        spend(ack.length + constants.ackTransportBytes);
        return ok(ack);
    };

    const sendTo = async (to: core.VmId, payload: Uint8Array): Promise<void> => {
        counters.heartbeatsSent++;
        const answer = await endpoint.call(to, constants.membershipSlice, payload, constants.heartbeatTimeoutMs);
        const ack = answer.isOk() ? codec.decodeAck(answer.value) : undefined;
        if (ack) {
            noteHeard(to, ack);
            return;
        }
        counters.heartbeatsUnanswered++;
        table.noteFailure(to);
    };

    const chooseTargets = (): readonly core.VmId[] => {
        const ids = table.ids();
        const all = ids.length < constants.allPeersUpTo;
        return all ? ids : core.shuffle(ids, random).slice(0, options.fanout ?? constants.defaultFanout);
    };

    const exchange = (urgent: boolean): void => {
        discountPause();
        const targets = chooseTargets();
        if (targets.length === 0) {
            return;
        }
        const small = targets.length === table.ids().length;
        const bits = small ? undefined : heard.encode();
        const bare = codec.encodeHeartbeat({ ...news, sections: [], heard: bits }).length
            + constants.heartbeatTransportBytes;
        const room = Math.floor(budget.available() / targets.length - bare);
        if (room < constants.minSectionBytes && !(urgent && budget.mayOverdraw())) {
            counters.heartbeatsDeferred++;
            return;
        }
        const limit = Math.min(Math.max(room, constants.minSectionBytes), constants.maxSectionBytes);
        const encoded = sections.encode(limit);
        const isQuiet = small && !urgent && sections.isRoutine(encoded);
        if (isQuiet && clock.nowMs() - lastSentMs < constants.quietPeriodMs) {
            return;
        }
        lastSentMs = clock.nowMs();
        const size = bare + encoded.reduce((sum, section) => sum + sizeOfSection(section), 0);
        spend(size * targets.length);
        const payload = codec.encodeHeartbeat({ ...news, sections: encoded, heard: bits });
        targets.forEach(to => void sendTo(to, payload));
    };

    const timer = createExchangeTimer({
        clock,
        random,
        periodMs: () => document.read()?.fleet.exchangePeriodMs ?? constants.defaultExchangePeriodMs,
        exchange,
    });

    const followDocument = (value: documents.FleetDocument | undefined): void => {
        const ids = (value?.vms ?? []).filter(vm => vm.state !== "retired").map(vm => vm.id);
        table.setVms(ids);
        heard.setVms(ids);
    };

    return {
        registerSection: section => sections.register(section),
        requestExchange: () => timer.request(),
        peers() {
            discountPause();
            return table.views();
        },
        registerPeerListener(listener) {
            listeners.add(listener);
            return () => {
                listeners.delete(listener);
            };
        },
        setDocument(version, digest) {
            const newer = version > news.documentVersion;
            news = { incarnation, documentVersion: version, documentDigest: digest };
            if (newer) {
                timer.request();
            }
        },
        counters: () => ({ ...counters }),
        start() {
            const subscription = document.changes.subscribe(followDocument);
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

// A VM that joins in a newer document is heard before this VM holds that document.
function viewOfStranger(id: core.VmId, news: codec.SelfNews, nowMs: number): core.PeerView {
    const { incarnation, documentVersion } = news;
    return { id, health: "alive", incarnation, documentVersion, lastHeardMs: nowMs };
}
