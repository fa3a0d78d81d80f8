import * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";
import {
    type BroadcastBranch,
    lastPosition,
    originBranches,
    passOnBranches,
    positionOf,
    splitBroadcast,
} from "./BroadcastTree.js";
import type { Datagram } from "./Datagram.js";
import type { UsageAmount, UsageReport, UsageTable, UsageTableQuestion } from "./UsageMessages.js";
import { maxProjectionMs } from "./UsageProjection.js";
import { createUsageReports, createUsageTables, isNewerTable, selectLargest } from "./UsageTables.js";

/** Returns the usage that this VM recorded itself. */
export type UsageSource = () => readonly UsageAmount[];

export interface UsageExchangeOptions {
    readonly address: string;
    readonly incarnation: bigint;
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly log: telemetry.EventLog;
    readonly metrics: telemetry.Metrics;
    /** IPv4 addresses of the other VMs that are alive. */
    readonly alivePeers: () => readonly string[];
    readonly send: (datagram: Datagram, address: string) => void;
}

/**
 * Sums the usage of customers over a fleet that is too large for its VMs to announce usage to each other. All VMs report to one
 * of them, the collector, which publishes the sums along a tree of VMs.
 */
export interface UsageExchange {
    /** Whether the fleet is large enough for a collector. */
    isActive(): boolean;
    /** Sums by customer hash; undefined while `isActive` is false. */
    totals(): ReadonlyMap<number, UsageAmount> | undefined;
    /** Sets the source of this VM's reports; returns a function that removes it. */
    registerSource(source: UsageSource): () => void;
    handleReport(report: UsageReport, from: string): void;
    handleTable(table: UsageTable, until: number): void;
    handleTableQuestion(question: UsageTableQuestion, from: string): void;
    /** Called every 100 ms. */
    tick(): void;
}

/** Number of VMs up to which announcements reach all of them within the bandwidth limit. */
const maxAnnouncingVms = 12;
/** Interval in ms of reports and tables. */
const minIntervalMs = 400;
/** Number of VMs above which the interval grows in proportion, since the collector receives a report from each VM. */
const fullRateVms = 150;
/** Number of intervals without a table after which another VM becomes the collector. */
const maxMissedIntervals = 3;
/** Number of intervals after a table from which a VM asks others for the next one. */
const questionIntervals = 1.25;
/** Time in ms for which a VM that published no table in response to reports is not chosen. */
const unresponsiveMs = 10_000;
/** Maximum number of customers in a report and in a table, which then has about 550 bytes. */
const maxReported = 40;
const maxPublished = 48;
/** Rendezvous key of the collector. */
const collectorKeyHash = core.hash32("usage-collector");
/** Time in ms for which the merged tables are cached. */
const totalsRefreshMs = 50;

const highest = <T>(items: readonly T[], rankOf: (item: T) => number): T | undefined =>
    items.reduce<T | undefined>(
        (best, item) => best === undefined || rankOf(item) > rankOf(best) ? item : best,
        undefined,
    );

export function createUsageExchange(options: UsageExchangeOptions): UsageExchange {
    const { address, incarnation, clock, random, log, metrics } = options;
    const ownHash = core.hash32(address);
    const reports = createUsageReports();
    const tables = createUsageTables();
    const unresponsiveUntilMs = new Map<string, number>();
    let source: UsageSource = () => [];
    let isActive = false;
    let intervalMs = minIntervalMs;
    let reportNumber = 0;
    let version = 0;
    let lastRoundMs = Number.NEGATIVE_INFINITY;
    let lastTableMs = Number.NEGATIVE_INFINITY;
    let collector: string | undefined;
    /** Time in ms since which this VM has reported to the collector. */
    let collectorSinceMs = 0;
    let totals: ReadonlyMap<number, UsageAmount> = new Map();
    let totalsMs = Number.NEGATIVE_INFINITY;

    const rankOf = (hash: number): number => core.mixHashes(hash, collectorKeyHash);
    const missedMs = (): number => maxMissedIntervals * intervalMs;

    /** Hash of the address of the VM that collects, as its recent tables show; undefined if there are none. */
    function publishingCollector(nowMs: number): number | undefined {
        const publishing = tables.collectorsSince(nowMs - missedMs());
        return highest(publishing, rankOf);
    }

    /** VMs follow the collector that publishes, so that a VM that starts does not take over. */
    function chooseCollector(candidates: readonly string[], nowMs: number): string {
        const publishing = publishingCollector(nowMs);
        const known = candidates.find(candidate => core.hash32(candidate) === publishing);
        if (known !== undefined) {
            return known;
        }
        if (collector !== undefined && collector !== address && nowMs - collectorSinceMs > missedMs()) {
            unresponsiveUntilMs.set(collector, nowMs + unresponsiveMs);
        }
        const responsive = candidates.filter(candidate => (unresponsiveUntilMs.get(candidate) ?? 0) <= nowMs);
        return highest(responsive, candidate => rankOf(core.hash32(candidate))) ?? address;
    }

    function followCollector(candidates: readonly string[], nowMs: number): string {
        const chosen = chooseCollector(candidates, nowMs);
        if (chosen !== collector) {
            metrics.count("usageCollectorChanges");
            log.state("usage-collector", { collector: chosen, earlier: collector, vmCount: candidates.length });
            collector = chosen;
            collectorSinceMs = nowMs;
        }
        return chosen;
    }

    function report(amounts: readonly UsageAmount[], to: string, nowMs: number): void {
        reportNumber++;
        const content = { incarnation, number: reportNumber, amounts };
        if (to === address) {
            reports.record(address, content, nowMs);
        }
        else {
            options.send({ kind: "usage-report", report: content }, to);
        }
    }

    /** Publishes the sums if VMs report here and no collector of a higher rank publishes. */
    function publish(peers: readonly string[], nowMs: number): void {
        const publishing = publishingCollector(nowMs);
        const isOutranked = publishing !== undefined && rankOf(publishing) > rankOf(ownHash);
        if (isOutranked || nowMs - reports.lastReportMs() > missedMs()) {
            return;
        }
        version++;
        const amounts = reports.sum(maxPublished, nowMs);
        const table = { collectorHash: ownHash, incarnation, version, atMs: nowMs, reporters: reports.size(), amounts };
        recordTable(table);
        sendTable(table, splitBroadcast(peers, version, -1, lastPosition, originBranches));
    }

    function sendTable(table: UsageTable, branches: readonly BroadcastBranch[]): void {
        branches.forEach(({ address: to, until }) => options.send({ kind: "usage-table", table, until }, to));
    }

    /** Asks any VM for the next table, if it should have arrived. */
    function askForMissedTable(nowMs: number): void {
        const publishing = publishingCollector(nowMs);
        const known = publishing === undefined ? undefined : tables.of(publishing);
        if (known && known.collectorHash !== ownHash && nowMs - known.atMs > questionIntervals * intervalMs) {
            const peers = options.alivePeers();
            const peer = peers[Math.floor(random() * peers.length)];
            const { collectorHash, version } = known;
            const question = { collectorHash, incarnation: known.incarnation, version };
            if (peer !== undefined) {
                options.send({ kind: "usage-table-question", question }, peer);
            }
        }
    }

    /** Returns whether the table is new. */
    function recordTable(table: UsageTable): boolean {
        const isNew = tables.record(table);
        if (isNew) {
            totalsMs = Number.NEGATIVE_INFINITY;
        }
        return isNew;
    }

    return {
        isActive: () => isActive,
        totals() {
            const nowMs = clock.nowMs();
            if (nowMs - totalsMs >= totalsRefreshMs) {
                totalsMs = nowMs;
                totals = tables.largest(nowMs);
            }
            return isActive ? totals : undefined;
        },
        registerSource(registered) {
            source = registered;
            return () => void (source = () => []);
        },
        handleReport: (content, from) => reports.record(from, content, clock.nowMs()),
        handleTable(table, until) {
            if (recordTable(table)) {
                lastTableMs = clock.nowMs();
                const peers = options.alivePeers().filter(peer => core.hash32(peer) !== table.collectorHash);
                const position = positionOf(ownHash, table.version);
                sendTable(table, splitBroadcast(peers, table.version, position, until, passOnBranches));
            }
        },
        handleTableQuestion(question, from) {
            const table = tables.of(question.collectorHash);
            if (table && isNewerTable(table, question)) {
                // The sender passes the table on to no VM.
                const until = positionOf(core.hash32(from), table.version);
                options.send({ kind: "usage-table", table, until }, from);
            }
        },
        tick() {
            const nowMs = clock.nowMs();
            askForMissedTable(nowMs);
            if (nowMs - lastRoundMs < intervalMs) {
                return;
            }
            lastRoundMs = nowMs;
            const peers = options.alivePeers();
            intervalMs = minIntervalMs * Math.max(1, (peers.length + 1) / fullRateVms);
            isActive = peers.length + 1 > maxAnnouncingVms || nowMs - lastTableMs <= maxProjectionMs;
            const amounts = selectLargest(source(), maxReported);
            if (!isActive || (amounts.length === 0 && nowMs - reports.lastReportMs() > missedMs())) {
                collector = undefined;
                return;
            }
            const chosen = followCollector([address, ...peers], nowMs);
            if (amounts.length > 0) {
                report(amounts, chosen, nowMs);
            }
            publish(peers, nowMs);
        },
    };
}
