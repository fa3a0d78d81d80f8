import * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";
import { customerHashOf, type CustomerUsage } from "./CustomerUsage.js";
import type { AttemptOutcome } from "./Job.js";

/** Whether the response of an attempt began, and how the attempt ended if not. */
export type BeginOutcome = "begun" | AttemptOutcome;

/**
 * Reports once per interval, in one line, the attempts that the usage of the heaviest customers comes from: the cost in tokens
 * of those that this VM sent, by whether their responses began, and of those that other VMs announced.
 */
export interface UsageReport {
    /** Records an attempt that is being sent. */
    recordSent(customer: core.CustomerId | undefined, cost: number): void;
    /** Records once for each such attempt whether its response began. */
    recordOutcome(customer: core.CustomerId | undefined, cost: number, outcome: BeginOutcome): void;
    /** Records the usage that another VM announced. */
    recordAnnounced(customerHash: number, cost: number): void;
    dispose(): void;
}

export interface UsageReportOptions {
    readonly clock: core.Clock;
    readonly log: telemetry.EventLog;
    readonly usage: Pick<CustomerUsage, "relative" | "tokens">;
}

type CostKind = "sent" | "announced" | BeginOutcome;

/** Interval in ms of the reports. */
const reportIntervalMs = 2_000;
/** Number of customers that a report names. */
const maxReported = 4;

export function createUsageReport({ clock, log, usage }: UsageReportOptions): UsageReport {
    const costs = new Map<number, Map<CostKind, number>>();
    const names = new Map<number, string>();

    function record(customerHash: number, kind: CostKind, cost: number): void {
        const ofCustomer = costs.get(customerHash) ?? new Map<CostKind, number>();
        costs.set(customerHash, ofCustomer);
        ofCustomer.set(kind, (ofCustomer.get(kind) ?? 0) + cost);
    }

    function recordOwn(customer: core.CustomerId | undefined, kind: CostKind, cost: number): void {
        const customerHash = customerHashOf(customer);
        names.set(customerHash, customer ?? "");
        record(customerHash, kind, cost);
    }

    function report(): void {
        const nowMs = clock.nowMs();
        const heaviest = [...costs]
            .map(([customerHash, ofCustomer]) => ({
                // Other VMs know the customer by its hash only.
                name: `${names.get(customerHash) ?? ""}#${customerHash}`,
                relative: usage.relative(customerHash, nowMs),
                tokens: usage.tokens(customerHash, nowMs),
                ofCustomer,
            }))
            .sort((left, right) => right.relative - left.relative)
            .slice(0, maxReported);
        if (heaviest.length > 0) {
            log.state("customer-usage", {
                customers: heaviest.map(({ name, relative, ofCustomer }) =>
                    `${name}=${relative.toFixed(2)}(${formatCosts(ofCustomer)})`
                ).join(),
                believedTokens: heaviest.map(({ tokens }) => Math.round(tokens)).join(),
                counted: costs.size,
            });
        }
        costs.clear();
        names.clear();
    }

    const cancelReports = core.setRepeatingTimer(clock, reportIntervalMs, report);

    return {
        recordSent: (customer, cost) => recordOwn(customer, "sent", cost),
        recordOutcome: (customer, cost, outcome) => recordOwn(customer, outcome, cost),
        recordAnnounced: (customerHash, cost) => record(customerHash, "announced", cost),
        dispose() {
            cancelReports();
            report();
        },
    };
}

function formatCosts(costs: ReadonlyMap<CostKind, number>): string {
    return [...costs].map(([kind, cost]) => `${kind}:${Math.round(cost)}`).join();
}
