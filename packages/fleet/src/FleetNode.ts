import * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";
import type { Announcement, CustomerCost, EarlierRun } from "./Announcement.js";
import {
    type CrashEvidenceHandler,
    type CrashMark,
    createCrashEvidenceExchange,
    type QuarantineMark,
    type ResponseMark,
} from "./CrashEvidence.js";
import { type Datagram, decodeDatagram, encodeDatagram } from "./Datagram.js";
import type { DatagramSocket } from "./DatagramSocket.js";
import { createStreamOriginLink } from "./StreamOriginLink.js";
import type {
    StreamOriginAnswer,
    StreamOriginHolder,
    StreamOriginQuestion,
    StreamOriginRecord,
} from "./StreamOriginMessages.js";
import { createTrackerLink } from "./TrackerLink.js";
import type { AttemptReport, LimitReport, Tracker, TrackerQuestion, TrackerReply } from "./TrackerMessages.js";
import { createUsageExchange, type UsageSource } from "./UsageExchange.js";
import type { UsageAmount } from "./UsageMessages.js";

export interface FleetNodeOptions {
    /** IPv4 address of this VM. */
    readonly address: string;
    readonly zone: core.ZoneId;
    /** IPv4 addresses of some VMs for bootstrapping; they may be stale or unreachable. */
    readonly seeds: readonly string[];
    readonly incarnation: bigint;
    readonly socket: DatagramSocket;
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly log: telemetry.EventLog;
    readonly metrics: telemetry.Metrics;
    /** Bandwidth limit in bytes/s of this VM's datagrams, headers included; announcements use what the others leave. */
    readonly budgetBytesPerS?: number;
    /** Returns the share of new connections that this VM refuses for lack of processor time, 0 to 1; 1 only while it drains. */
    readonly refusedShare?: () => number;
    /** Returns the processor time in cores that this VM can spare for connections that other VMs pass on. */
    readonly spareCores?: () => number;
}

/** What another VM announced last about its load. */
export interface PeerLoad {
    /** Its IPv4 address. */
    readonly address: string;
    /** Whether it is in the availability zone of this VM. */
    readonly isSameZone: boolean;
    /** Share of new connections that it refuses for lack of processor time, 0 to 1. */
    readonly refusedShare: number;
    /** Processor time in cores that it can spare for connections that other VMs pass on; 0 if it takes none. */
    readonly spareCores: number;
    /** Age of the announcement in ms. */
    readonly ageMs: number;
}

/** Called with the usage of a customer at another VM. `weight` scales it, since only a sample of the VMs receives it. */
export type UsageListener = (usage: CustomerCost, weight: number) => void;

/** Membership, trackers of upstreams and usage of customers in the fleet. All data from other VMs is a hint. */
export interface FleetNode {
    /** Number of VMs that are considered alive, including this one. */
    vmCount(): number;
    /** IPv4 addresses of the VMs that are considered alive, without this one. */
    peers(): readonly string[];
    /**
     * IPv4 addresses of the VMs of this zone that read the store on behalf of the others; may include this VM. VMs with
     * the same view of the membership choose the same ones without further messages.
     */
    storeReaders(): readonly string[];
    /** The loads of the other VMs that are considered alive and have announced theirs. */
    peerLoads(): readonly PeerLoad[];
    /** Adds bootstrap addresses. */
    addSeeds(addresses: readonly string[]): void;
    /**
     * Announces the usage of a customer to other VMs, within 500 ms as long as the bandwidth suffices. Without effect while
     * there are `usageTotals`.
     */
    announceUsage(usage: CustomerCost): void;
    /**
     * Asks the tracker of an upstream; undefined if it does not answer within 40 ms.
     *
     * @param onLateAnswer called with an answer that arrives later.
     */
    askTracker(
        question: TrackerQuestion,
        onLateAnswer?: (answer: TrackerReply) => void,
    ): Promise<TrackerReply | undefined>;
    /**
     * Reports the outcome of an attempt to the VM that admitted it, or else to the tracker of its upstream.
     *
     * @param admittedBy IPv4 address of the VM that admitted it; undefined if no tracker answered.
     */
    reportAttempt(report: AttemptReport, admittedBy: string | undefined): void;
    /** Reports a change of the limit that an upstream states to the upstream's tracker. */
    reportLimit(report: LimitReport): void;
    /** Sets the handler for the upstreams that this VM tracks; returns a function that removes it. */
    registerTracker(tracker: Tracker): () => void;
    /** Records the origins of streams at the VMs that hold them. */
    announceStreamOrigins(records: readonly StreamOriginRecord[]): void;
    /** Asks the VMs that may hold the origin of a stream; resolves within about 150 ms with the answers that arrived by then. */
    askStreamOrigin(question: StreamOriginQuestion): Promise<readonly StreamOriginAnswer[]>;
    /** Sets the holder of the origins that other VMs record here; returns a function that removes it. */
    registerStreamOriginHolder(holder: StreamOriginHolder): () => void;
    /** Calls `listener` for the usage that other VMs announce; returns a function that removes it. */
    registerUsageListener(listener: UsageListener): () => void;
    /** Sets the source of the usage that this VM recorded itself; returns a function that removes it. */
    registerUsageSource(source: UsageSource): () => void;
    /**
     * Usage of the customers with the largest usage, summed over all VMs, by customer hash. Undefined in a small fleet, whose VMs
     * announce usage to each other.
     */
    usageTotals(): ReadonlyMap<number, UsageAmount> | undefined;
    /** Announces to all other VMs that a request or part was in flight at an upstream when the upstream crashed. */
    announceCrash(mark: CrashMark): void;
    /** Announces to all other VMs a response that contradicts a crash mark. */
    announceResponse(mark: ResponseMark): void;
    /** Announces a new quarantine without delay; every announcement carries the quarantines of the handler anyway. */
    announceQuarantine(mark: QuarantineMark): void;
    /** Sets the handler for the evidence that other VMs announce; returns a function that removes it. */
    registerCrashEvidence(handler: CrashEvidenceHandler): () => void;
    start(): void;
    dispose(): void;
}

/** Limit on the control traffic of a VM at the target size of 360 VMs and 21 requests/s. */
const defaultBudgetBytesPerS = 5_000;
/**
 * Part of this limit that is reserved for announcements. At the target size questions, answers and reports use about 3,900
 * bytes/s.
 */
const minAnnouncementBytesPerS = 800;
/** Bandwidth in bytes/s, in addition to the limit, for announcements with new evidence on crashes. Crashes are rare. */
const evidenceBytesPerS = 2_000;
/** Interval in ms at which the node decides whether to send an announcement. */
const tickIntervalMs = 100;
/** Minimum time in ms between announcements of usage: usage changes slowly, and headers account for most of the bytes. */
const usageIntervalMs = 400;
/** Interval in ms of heartbeats, which are announcements without usage. */
const heartbeatIntervalMs = 500;
/** Bytes for greetings, in addition to the limit and once per run: enough for each VM of the target size. */
const greetingBytes = 32_000;
/** Bandwidth in bytes/s, in addition to the limit, for welcomes to VMs that have started, and the most at once in bytes. */
const welcomeBytesPerS = 2_000;
const maxWelcomeBytes = 8_000;
/** Addresses of other VMs in a welcome. */
const membersPerWelcome = 60;
/** Minimum time in ms after which an unresponsive VM counts as dead. Tolerates six lost heartbeats in a small fleet. */
const minPeerTimeoutMs = 3_000;
/** The peer timeout is this multiple of the interval between two announcements to a peer under the bandwidth limit. */
const peerTimeoutIntervals = 2.5;
/** Bytes of a heartbeat, datagram headers included. */
const heartbeatBytes = 80;
/** Time in ms after which an unresponsive VM is removed from the peers, so that no datagrams are sent to it. */
const peerRemovalMs = 30_000;
/** Bytes of the Ethernet, IP and UDP headers of a datagram. */
const datagramOverheadBytes = 42;
/** Maximum number of customers whose usage one datagram carries. */
const maxUsages = 40;
/** Number of VMs of each zone that read the store; two, so that the zone stays up to date if one of them fails. */
const readersPerZone = 2;
/** Addresses of other VMs in an announcement; one announcement per heartbeat interval carries them. */
const membersPerAnnouncement = 8;
/**
 * A VM from which no datagram has arrived yet, but which another VM lists as a member, counts as alive for this share
 * of the peer timeout. Without this rule, a VM in a fleet of 360 takes more than a minute to discover most others, and VMs
 * disagree on trackers in the meantime.
 */
const listedTimeoutShare = 0.5;

interface Peer {
    lastDatagramMs: number;
    /** Time in ms at which another VM last listed this one as a member. */
    lastListedMs: number;
    /** Whether a datagram has been sent to its current run. */
    isGreeted: boolean;
    incarnation: bigint;
    /** The run before its current one; undefined if none was heard of. */
    earlierRun: EarlierRun | undefined;
    zoneHash: number;
    refusedShare: number;
    spareCores: number;
    /** Time in ms at which its last announcement arrived. */
    lastAnnouncementMs: number;
}

export function createFleetNode(options: FleetNodeOptions): FleetNode {
    const { clock, random, socket, log, metrics } = options;
    // Answers that have arrived in a long turn of the event loop are read before their questions time out.
    const polledClock = core.createPolledClock(clock);
    const zoneHash = core.hash32(options.zone);
    const budgetBytesPerS = options.budgetBytesPerS ?? defaultBudgetBytesPerS;
    const seeds = new Set(options.seeds);
    const peers = new Map<string, Peer>();
    const usageListeners = new Set<UsageListener>();
    const crashEvidence = createCrashEvidenceExchange();
    const pendingCosts = new Map<number, number>();
    let remainingInRound: string[] = [];
    let availableBytes = budgetBytesPerS;
    /** Bytes beyond the limit that were sent before; only in fleets that add up usage. */
    let owedBytes = 0;
    /** Part of the available bytes that is reserved for announcements. */
    let reservedBytes = 0;
    /** Bytes of questions, answers and reports since the previous tick. */
    let trackerTrafficBytes = 0;
    /** Bytes available for new evidence in addition to the others. */
    let evidenceBytes = evidenceBytesPerS;
    let availableGreetingBytes = greetingBytes;
    let availableWelcomeBytes = maxWelcomeBytes;
    let lastMembersSentMs = Number.NEGATIVE_INFINITY;
    let lastTickMs = clock.nowMs();
    let lastSentMs = Number.NEGATIVE_INFINITY;
    let stopTicking: (() => void) | undefined;
    let hasEarlierRun = false;

    const peerTimeoutMs = (): number =>
        Math.max(
            minPeerTimeoutMs,
            ((peers.size * heartbeatBytes) / minAnnouncementBytesPerS) * 1_000 * peerTimeoutIntervals,
        );
    const isDirectlyAlive = ({ lastDatagramMs }: Peer): boolean => clock.nowMs() - lastDatagramMs <= peerTimeoutMs();
    const isAlive = (peer: Peer): boolean =>
        isDirectlyAlive(peer)
        || (!Number.isFinite(peer.lastDatagramMs)
            && clock.nowMs() - peer.lastListedMs <= peerTimeoutMs() * listedTimeoutShare);

    function addPeer(address: string): void {
        if (address !== options.address && !peers.has(address)) {
            peers.set(address, {
                lastDatagramMs: Number.NEGATIVE_INFINITY,
                lastListedMs: Number.NEGATIVE_INFINITY,
                isGreeted: false,
                incarnation: 0n,
                earlierRun: undefined,
                zoneHash: 0,
                refusedShare: 0,
                spareCores: 0,
                lastAnnouncementMs: Number.NEGATIVE_INFINITY,
            });
        }
    }

    function recordListedMember(address: string): void {
        addPeer(address);
        const peer = peers.get(address);
        if (peer) {
            peer.lastListedMs = clock.nowMs();
        }
    }

    const trackerLink = createTrackerLink({
        address: options.address,
        clock: polledClock,
        log,
        metrics,
        alivePeers,
        send: sendToPeer,
    });

    const streamOriginLink = createStreamOriginLink({
        address: options.address,
        clock: polledClock,
        alivePeers,
        send: sendToPeer,
    });

    const usageExchange = createUsageExchange({
        address: options.address,
        incarnation: options.incarnation,
        clock,
        random,
        log,
        metrics,
        alivePeers,
        send: sendToPeer,
    });

    function sendToPeer(datagram: Datagram, address: string): void {
        const bytes = encodeDatagram(datagram, clock.nowMs());
        trackerTrafficBytes += bytes.length + datagramOverheadBytes;
        metrics.count("peerMessages", { direction: "sent" });
        socket.send(bytes, address);
    }

    function receive(bytes: Uint8Array, from: string): void {
        const datagram = decodeDatagram(bytes, clock.nowMs());
        if (!datagram) {
            metrics.count("peerMessages", { direction: "malformed" });
            return;
        }
        metrics.count("peerMessages", { direction: "received" });
        // Any datagram shows that its sender is alive; the next announcement supplies its incarnation and zone.
        addPeer(from);
        const sender = peers.get(from);
        if (sender) {
            sender.lastDatagramMs = clock.nowMs();
        }
        trackerLink.recordDatagramFrom(from);
        switch (datagram.kind) {
            case "announcement":
                return handleAnnouncement(datagram.announcement, from);
            case "question":
                return trackerLink.handleQuestion(datagram.number, datagram.question, from);
            case "answer":
                return trackerLink.handleAnswer(datagram.number, datagram.answer);
            case "report":
                return trackerLink.handleReport(datagram.report);
            case "limit-report":
                return trackerLink.handleLimitReport(datagram.report);
            case "stream-origins":
                return streamOriginLink.handleRecords(datagram.records);
            case "stream-origin-question":
                return streamOriginLink.handleQuestion(datagram.number, datagram.question, from);
            case "stream-origin-answer":
                return streamOriginLink.handleAnswer(datagram.number, datagram.answer, from);
            case "usage-report":
                return usageExchange.handleReport(datagram.report, from);
            case "usage-table":
                return usageExchange.handleTable(datagram.table, datagram.until);
            case "usage-table-question":
                return usageExchange.handleTableQuestion(datagram.question, from);
        }
    }

    function handleAnnouncement(announcement: Announcement, from: string): void {
        announcement.members.forEach(recordListedMember);
        updatePeer(from, announcement);
        const weight = 1 / announcement.sampling;
        announcement.usages.forEach(usage => usageListeners.forEach(listener => listener(usage, weight)));
        crashEvidence.receive(announcement.crashEvidence);
        if (announcement.earlierRun && !hasEarlierRun) {
            hasEarlierRun = true;
            log.state("earlier-run", { peer: from, ...fieldsOf(announcement.earlierRun) });
        }
    }

    function updatePeer(from: string, { incarnation, zoneHash, refusedShare, spareCores }: Announcement): void {
        const peer = peers.get(from);
        // An announcement of the run before was delayed, and says nothing of the current one.
        if (!peer || peer.earlierRun?.incarnation === incarnation) {
            return;
        }
        if (peer.incarnation !== incarnation) {
            log.state("peer-heard", { peer: from, incarnation: String(incarnation), vmCount: vmCount() });
            if (peer.incarnation !== 0n) {
                recordRestart(from, peer);
            }
        }
        peer.incarnation = incarnation;
        peer.zoneHash = zoneHash;
        peer.refusedShare = refusedShare;
        peer.spareCores = spareCores;
        peer.lastAnnouncementMs = clock.nowMs();
        if (!peer.isGreeted) {
            welcome(from, peer);
        }
    }

    function recordRestart(address: string, peer: Peer): void {
        const earlierRun = {
            incarnation: peer.incarnation,
            silentMs: Math.round(clock.nowMs() - peer.lastAnnouncementMs),
            wasDraining: peer.refusedShare === 1,
        };
        peer.earlierRun = earlierRun;
        peer.isGreeted = false;
        log.state("peer-restarted", { peer: address, ...fieldsOf(earlierRun) });
        metrics.count("peerRestarts", { drained: String(earlierRun.wasDraining) });
    }

    function encodeAnnouncement(
        contents: Omit<Announcement, "incarnation" | "zoneHash" | "refusedShare" | "spareCores" | "earlierRun">,
        earlierRun?: EarlierRun,
    ): Uint8Array {
        const announcement = {
            incarnation: options.incarnation,
            zoneHash,
            refusedShare: options.refusedShare?.() ?? 0,
            spareCores: options.spareCores?.() ?? 0,
            earlierRun,
            ...contents,
        };
        return encodeDatagram({ kind: "announcement", announcement }, clock.nowMs());
    }

    /** Sends an announcement outside the rounds, if it takes no more than `maxBytes`. Returns the bytes that it took. */
    function sendDirectly(address: string, peer: Peer, members: readonly string[], maxBytes: number): number {
        const contents = { sampling: 1, crashEvidence: crashEvidence.next(), usages: [], members };
        const bytes = encodeAnnouncement(contents, peer.earlierRun);
        const sizeBytes = bytes.length + datagramOverheadBytes;
        if (sizeBytes > maxBytes) {
            return 0;
        }
        peer.isGreeted = true;
        metrics.count("peerMessages", { direction: "sent" });
        socket.send(bytes, address);
        return sizeBytes;
    }

    /**
     * Greets VMs to which nothing has been sent yet. The rounds reach a VM of a large fleet only after seconds, in which
     * the others would still choose other trackers in place of a VM that has restarted.
     */
    function greetPeers(): void {
        peers.forEach((peer, address) => {
            if (!peer.isGreeted) {
                availableGreetingBytes -= sendDirectly(address, peer, [], availableGreetingBytes);
            }
        });
    }

    /** Sends a VM that has started the addresses of the others. */
    function welcome(address: string, peer: Peer): void {
        const members = core.shuffle(directlyAlivePeers(), random).slice(0, membersPerWelcome);
        availableWelcomeBytes -= sendDirectly(address, peer, members, availableWelcomeBytes);
    }

    function alivePeers(): readonly string[] {
        return [...peers].filter(([, peer]) => isAlive(peer)).map(([address]) => address);
    }

    /** Announcements list only these VMs. Otherwise VMs would announce a dead VM to each other indefinitely. */
    function directlyAlivePeers(): readonly string[] {
        return [...peers].filter(([, peer]) => isDirectlyAlive(peer)).map(([address]) => address);
    }

    const vmCount = (): number => 1 + alivePeers().length;

    function storeReaders(): readonly string[] {
        const inZone = alivePeers().filter(address => peers.get(address)?.zoneHash === zoneHash);
        return [options.address, ...inZone]
            .map(address => ({ address, rank: core.hash32(address) }))
            .sort((left, right) => left.rank - right.rank)
            .slice(0, readersPerZone)
            .map(({ address }) => address);
    }

    function peerLoads(): readonly PeerLoad[] {
        const nowMs = clock.nowMs();
        return [...peers]
            .filter(([, peer]) => isDirectlyAlive(peer) && Number.isFinite(peer.lastAnnouncementMs))
            .map(([address, peer]) => ({
                address,
                isSameZone: peer.zoneHash === zoneHash,
                refusedShare: peer.refusedShare,
                spareCores: peer.spareCores,
                ageMs: nowMs - peer.lastAnnouncementMs,
            }));
    }

    function tick(): void {
        const nowMs = clock.nowMs();
        const periodS = (nowMs - lastTickMs) / 1_000;
        // Token bucket: the traffic of questions, answers and reports is deducted, down to the reserve of announcements.
        const earnedBytes = availableBytes + budgetBytesPerS * periodS - trackerTrafficBytes - owedBytes;
        // Tables of usage are sent in bursts, so what goes beyond the limit is deducted later.
        owedBytes = usageExchange.isActive() ? Math.min(budgetBytesPerS, Math.max(0, reservedBytes - earnedBytes)) : 0;
        availableBytes = Math.max(Math.min(budgetBytesPerS, earnedBytes), reservedBytes);
        reservedBytes = Math.min(minAnnouncementBytesPerS, reservedBytes + minAnnouncementBytesPerS * periodS);
        evidenceBytes = Math.min(evidenceBytesPerS, evidenceBytes + evidenceBytesPerS * periodS);
        availableWelcomeBytes = Math.min(maxWelcomeBytes, availableWelcomeBytes + welcomeBytesPerS * periodS);
        trackerTrafficBytes = 0;
        lastTickMs = nowMs;
        seeds.forEach(addPeer);
        [...peers]
            .filter(([, { lastDatagramMs }]) =>
                Number.isFinite(lastDatagramMs) && nowMs - lastDatagramMs > peerRemovalMs
            )
            .forEach(([address]) => {
                peers.delete(address);
                log.state("peer-forgotten", { peer: address, silentMs: peerRemovalMs });
            });
        greetPeers();
        usageExchange.tick();
        const minIntervalMs = crashEvidence.hasPending()
            ? 0
            : pendingCosts.size > 0
            ? usageIntervalMs
            : heartbeatIntervalMs;
        if (nowMs - lastSentMs >= minIntervalMs) {
            sendAnnouncement();
        }
    }

    /** Returns peers in rounds, each in random order, so that the time between two sends to the same peer is bounded. */
    function nextReceivers(count: number): readonly (readonly [string, Peer])[] {
        if (remainingInRound.length < count) {
            const stillInRound = new Set(remainingInRound);
            remainingInRound = [
                ...remainingInRound,
                ...core.shuffle([...peers.keys()].filter(address => !stillInRound.has(address)), random),
            ];
        }
        return remainingInRound.splice(0, count).flatMap(address => {
            const peer = peers.get(address);
            return peer ? [[address, peer] as const] : [];
        });
    }

    function sendAnnouncement(): void {
        const known = [...peers.keys()];
        if (known.length === 0) {
            pendingCosts.clear();
            return;
        }
        const evidence = crashEvidence.next();
        const usages = [...pendingCosts].slice(0, maxUsages).map(([customerHash, cost]) => ({ customerHash, cost }));
        const includesMembers = clock.nowMs() - lastMembersSentMs >= heartbeatIntervalMs;
        const members = includesMembers
            ? core.shuffle(directlyAlivePeers(), random).slice(0, membersPerAnnouncement)
            : [];
        const encode = (sampling: number): Uint8Array =>
            encodeAnnouncement({ sampling, crashEvidence: evidence, usages, members });
        const sizeBytes = encode(1).length + datagramOverheadBytes;
        const extraBytes = crashEvidence.hasPending() ? evidenceBytes : 0;
        const count = Math.min(known.length, Math.floor((availableBytes + extraBytes) / sizeBytes));
        if (count <= 0) {
            return;
        }
        const bytes = encode(count / known.length);
        nextReceivers(count).forEach(([address, peer]) => {
            peer.isGreeted = true;
            socket.send(bytes, address);
        });
        usages.forEach(({ customerHash }) => pendingCosts.delete(customerHash));
        lastMembersSentMs = includesMembers ? clock.nowMs() : lastMembersSentMs;
        metrics.count("peerMessages", { direction: "sent" }, count);
        crashEvidence.recordSent(count / known.length);
        evidenceBytes -= Math.max(0, count * sizeBytes - availableBytes);
        availableBytes = Math.max(0, availableBytes - count * sizeBytes);
        reservedBytes = Math.max(0, reservedBytes - count * sizeBytes);
        lastSentMs = clock.nowMs();
    }

    return {
        vmCount,
        peers: alivePeers,
        storeReaders,
        peerLoads,
        addSeeds: addresses => addresses.forEach(address => seeds.add(address)),
        announceUsage({ customerHash, cost }) {
            if (!usageExchange.isActive()) {
                pendingCosts.set(customerHash, (pendingCosts.get(customerHash) ?? 0) + cost);
            }
        },
        askTracker: trackerLink.ask,
        reportAttempt: trackerLink.report,
        reportLimit: trackerLink.reportLimit,
        registerTracker: trackerLink.registerTracker,
        announceStreamOrigins: streamOriginLink.announce,
        askStreamOrigin: streamOriginLink.ask,
        registerStreamOriginHolder: streamOriginLink.registerHolder,
        registerUsageListener(listener) {
            usageListeners.add(listener);
            return () => void usageListeners.delete(listener);
        },
        registerUsageSource: usageExchange.registerSource,
        usageTotals: usageExchange.totals,
        announceCrash: crashEvidence.announceCrash,
        announceResponse: crashEvidence.announceResponse,
        announceQuarantine: crashEvidence.announceQuarantine,
        registerCrashEvidence: crashEvidence.registerHandler,
        start() {
            socket.onMessage(receive);
            stopTicking = core.setRepeatingTimer(clock, tickIntervalMs, tick);
        },
        dispose() {
            stopTicking?.();
            trackerLink.dispose();
            streamOriginLink.dispose();
            socket.close();
        },
    };
}

const fieldsOf = ({ incarnation, silentMs, wasDraining }: EarlierRun): telemetry.LogFields => ({
    earlierIncarnation: String(incarnation),
    silentMs,
    wasDraining,
});
