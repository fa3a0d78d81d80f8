import * as core from "@peridotloft/core";
import * as dispatch from "@peridotloft/dispatch";
import type * as telemetry from "@peridotloft/telemetry";
import type { AcceptQueueMonitor } from "./AcceptQueueMonitor.js";
import type { ConnectionVerdict, OverloadGuard } from "./OverloadGuard.js";
import type { OverloadRetry } from "./OverloadRetry.js";
import type { RefusalReason } from "./Refusal.js";

/** The sender of a request and what it has in common with others. */
export interface RequestSubject {
    /** Undefined on routes that need no key, and before the key has been checked. */
    readonly customer: core.CustomerId | undefined;
    /** Undefined for plain services. */
    readonly prompt: dispatch.Prompt | undefined;
}

/**
 * Reports once per interval in which something was refused, in one line, how many requests of which customers and prompt
 * beginnings were refused and why. Unlike the lines of single requests, it is complete under any load.
 */
export interface RefusalReport {
    /** Records a request whose key has been checked. */
    recordRequest(subject: RequestSubject): void;
    recordRefusal(reason: RefusalReason, subject: RequestSubject): void;
    /** Records an accepted connection. The requests of refused ones are not decoded, so their subjects are unknown. */
    recordConnection(verdict: ConnectionVerdict): void;
    /** Records what the Retry-After of a refusal for lack of processor time was decided by. */
    recordOverloadRetry(retry: OverloadRetry): void;
    dispose(): void;
}

export interface RefusalReportOptions {
    readonly clock: core.Clock;
    readonly acceptQueue: Pick<AcceptQueueMonitor, "waitMs">;
    readonly overload: Pick<OverloadGuard, "utilization">;
    readonly log: telemetry.EventLog;
}

/** Interval in ms of the reports. */
const reportIntervalMs = 2_000;
/** Number of customers, and of prompt beginnings, whose requests are counted. */
const maxCounted = 128;
/** Number of customers, and of prompt beginnings, that a report names. */
const maxReported = 4;

export function createRefusalReport({ clock, acceptQueue, overload, log }: RefusalReportOptions): RefusalReport {
    const reasons = new Map<RefusalReason, number>();
    const customers = createTally();
    const beginnings = createTally();
    let connections = 0;
    let refusedConnections = 0;
    let maxAcceptWaitMs = 0;
    let maxUtilization = 0;
    let lastRetry: OverloadRetry | undefined;

    function sampleLoad(): void {
        maxAcceptWaitMs = Math.max(maxAcceptWaitMs, acceptQueue.waitMs());
        maxUtilization = Math.max(maxUtilization, overload.utilization());
    }

    function report(): void {
        if (reasons.size > 0 || refusedConnections > 0) {
            log.state("refusals", {
                reasons: formatReasons(reasons),
                customers: customers.format(),
                beginnings: beginnings.format(),
                connections,
                refusedConnections,
                acceptWaitMs: Math.round(maxAcceptWaitMs),
                utilization: maxUtilization,
                ...(lastRetry && {
                    knownPeers: lastRetry.knownPeers,
                    freePeers: lastRetry.freePeers,
                    oldestLoadMs: lastRetry.oldestLoadMs,
                }),
            });
        }
        reasons.clear();
        customers.clear();
        beginnings.clear();
        connections = 0;
        refusedConnections = 0;
        maxAcceptWaitMs = 0;
        maxUtilization = 0;
        lastRetry = undefined;
    }

    const cancelReports = core.setRepeatingTimer(clock, reportIntervalMs, report);

    return {
        recordRequest({ customer, prompt }) {
            customers.recordRequest(customer);
            beginnings.recordRequest(beginningOf(prompt));
        },
        recordRefusal(reason, { customer, prompt }) {
            increment(reasons, reason);
            customers.recordRefusal(customer, reason);
            beginnings.recordRefusal(beginningOf(prompt), reason);
            sampleLoad();
        },
        recordConnection(verdict) {
            connections++;
            if (verdict !== "serve") {
                refusedConnections++;
                sampleLoad();
            }
        },
        recordOverloadRetry(retry) {
            lastRetry = retry;
        },
        dispose() {
            cancelReports();
            report();
        },
    };
}

/** The first part of a prompt that other requests may share, hashed as in the lines about quarantines. */
function beginningOf(prompt: dispatch.Prompt | undefined): string | undefined {
    const [first] = dispatch.sharedPartsOf(prompt);
    return first && String(core.hash32(first.id));
}

interface RequestCounts {
    requests: number;
    refusals: number;
    readonly reasons: Map<RefusalReason, number>;
}

/** Counts requests and refusals by a key that callers may choose. Frequent keys are counted however many others there are. */
function createTally() {
    const counts = new Map<string, RequestCounts>();

    /** The first key with the fewest requests. Entries are not copied: with many keys, this runs for most requests. */
    function rarestKey(): string {
        let rarest = "";
        let least = Number.POSITIVE_INFINITY;
        counts.forEach(({ requests }, key) => {
            if (requests < least) {
                rarest = key;
                least = requests;
            }
        });
        return rarest;
    }

    function countsOf(key: string): RequestCounts {
        const found = counts.get(key);
        if (found) {
            return found;
        }
        if (counts.size >= maxCounted) {
            counts.delete(rarestKey());
        }
        const added = { requests: 0, refusals: 0, reasons: new Map<RefusalReason, number>() };
        counts.set(key, added);
        return added;
    }

    return {
        recordRequest(key: string | undefined) {
            if (key !== undefined) {
                countsOf(key).requests++;
            }
        },
        recordRefusal(key: string | undefined, reason: RefusalReason) {
            if (key !== undefined) {
                const entry = countsOf(key);
                entry.refusals++;
                increment(entry.reasons, reason);
            }
        },
        /** The keys with the most refusals, each with its refusals, its requests and its reasons. */
        format: () =>
            [...counts]
                .filter(([, { refusals }]) => refusals > 0)
                .sort(([, first], [, second]) => second.refusals - first.refusals)
                .slice(0, maxReported)
                .map(([key, { requests, refusals, reasons }]) =>
                    `${key}=${refusals}/${requests}(${formatReasons(reasons)})`
                )
                .join(),
        clear: () => counts.clear(),
    };
}

function increment(counts: Map<RefusalReason, number>, reason: RefusalReason): void {
    counts.set(reason, (counts.get(reason) ?? 0) + 1);
}

function formatReasons(counts: ReadonlyMap<RefusalReason, number>): string {
    return [...counts]
        .sort(([, first], [, second]) => second - first)
        .map(([reason, count]) => `${reason}:${count}`)
        .join();
}
