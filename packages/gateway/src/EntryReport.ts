import * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";
import type { CallerConnections } from "./CallerConnections.js";
import type { ConnectionVerdict, OverloadGuard } from "./OverloadGuard.js";

/** A request whose key has been checked. */
export interface EnteredRequest {
    /** Undefined on routes that need no key. */
    readonly customer: core.CustomerId | undefined;
    /** Whether it is the first request on its connection; the guard judges connections, not later requests. */
    readonly isFirst: boolean;
}

/**
 * Reports once per interval, in one line, what entered at this VM: connections, requests on new and on open ones, and the
 * customers with the most requests. The requests of refused connections are not decoded, so their customers are unknown.
 */
export interface EntryReport {
    recordConnection(verdict: ConnectionVerdict): void;
    recordRequest(request: EnteredRequest): void;
    /** Records that a request was refused after its key had been checked. */
    recordRefusal(customer: core.CustomerId): void;
    dispose(): void;
}

export interface EntryReportOptions {
    readonly clock: core.Clock;
    readonly connections: Pick<CallerConnections, "openCount">;
    readonly overload: Pick<OverloadGuard, "utilization">;
    readonly log: telemetry.EventLog;
}

interface CustomerRequests {
    readonly first: number;
    readonly later: number;
    readonly refused: number;
}

/** Interval in ms of the reports. */
const reportIntervalMs = 2_000;
/** Number of customers that a report names. */
const maxReported = 6;

const noRequests: CustomerRequests = { first: 0, later: 0, refused: 0 };
const totalOf = ({ first, later }: CustomerRequests): number => first + later;

export function createEntryReport({ clock, connections, overload, log }: EntryReportOptions): EntryReport {
    const requests = new Map<string, CustomerRequests>();
    let accepted = 0;
    let refusedConnections = 0;
    let maxUtilization = 0;

    function update(customer: core.CustomerId | undefined, change: Partial<CustomerRequests>): void {
        const before = requests.get(customer ?? "") ?? noRequests;
        requests.set(customer ?? "", {
            first: before.first + (change.first ?? 0),
            later: before.later + (change.later ?? 0),
            refused: before.refused + (change.refused ?? 0),
        });
        maxUtilization = Math.max(maxUtilization, overload.utilization());
    }

    function report(): void {
        if (accepted > 0 || requests.size > 0) {
            const byCustomer = [...requests].sort(([, left], [, right]) => totalOf(right) - totalOf(left));
            log.state("requests-entered", {
                connections: accepted,
                refusedConnections,
                openConnections: connections.openCount(),
                firstRequests: byCustomer.reduce((sum, [, { first }]) => sum + first, 0),
                laterRequests: byCustomer.reduce((sum, [, { later }]) => sum + later, 0),
                customers: byCustomer.slice(0, maxReported).map(([customer, counts]) =>
                    `${customer}=${totalOf(counts)}(later:${counts.later},refused:${counts.refused})`
                ).join(),
                counted: requests.size,
                utilization: maxUtilization,
            });
        }
        requests.clear();
        accepted = 0;
        refusedConnections = 0;
        maxUtilization = 0;
    }

    const cancelReports = core.setRepeatingTimer(clock, reportIntervalMs, report);

    return {
        recordConnection(verdict) {
            accepted++;
            refusedConnections += verdict === "serve" ? 0 : 1;
        },
        recordRequest: ({ customer, isFirst }) => update(customer, isFirst ? { first: 1 } : { later: 1 }),
        recordRefusal: customer => update(customer, { refused: 1 }),
        dispose() {
            cancelReports();
            report();
        },
    };
}
