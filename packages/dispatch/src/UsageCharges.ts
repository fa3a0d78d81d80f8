import type * as core from "@peridotloft/core";
import { customerHashOf, type CustomerUsage } from "./CustomerUsage.js";
import type { FleetView } from "./FleetView.js";
import type { Job, Lease, Prompt } from "./Job.js";
import type { BeginOutcome, UsageReport } from "./UsageReport.js";

/** Charges customers for the capacity that their requests use. */
export interface UsageCharges {
    /**
     * Returns a lease that charges the customer of a request: once, however many attempts are made, when a response begins or
     * an attempt ends without one for a reason that is not the upstream's.
     */
    createChargedLease(job: Job, lease: Lease): Lease;
    /** Records that a request was refused for want of capacity. It is not charged. */
    recordRefused(job: Job): void;
}

export interface UsageChargesOptions {
    readonly clock: core.Clock;
    readonly fleet: Pick<FleetView, "announceUsage">;
    readonly usage: CustomerUsage;
    readonly report: UsageReport;
}

/** How attempts without a response end that are not charged: nothing ran, or the upstream failed. */
const uncharged: ReadonlySet<BeginOutcome> = new Set(["connect-failed", "shed", "misdirected", "broken", "silent"]);

export function createUsageCharges({ clock, fleet, usage, report }: UsageChargesOptions): UsageCharges {
    const charged = new WeakSet<Job>();

    function charge(job: Job, cost: number): void {
        if (!charged.has(job)) {
            charged.add(job);
            const customerHash = customerHashOf(job.customer);
            usage.record(customerHash, cost, clock.nowMs());
            fleet.announceUsage({ customerHash, cost });
        }
    }

    return {
        recordRefused(job) {
            usage.recordRefused(customerHashOf(job.customer), tokenCost(job.prompt), clock.nowMs());
        },
        createChargedLease(job, lease) {
            const cost = tokenCost(job.prompt);
            if (cost === 0) {
                return lease;
            }
            report.recordSent(job.customer, cost);
            let isSettled = false;
            const settle = (outcome: BeginOutcome): void => {
                if (isSettled) {
                    return;
                }
                isSettled = true;
                report.recordOutcome(job.customer, cost, outcome);
                if (!uncharged.has(outcome)) {
                    charge(job, cost);
                }
            };
            return {
                ...lease,
                recordFirstByte() {
                    settle("begun");
                    lease.recordFirstByte();
                },
                end(outcome) {
                    settle(outcome);
                    lease.end(outcome);
                },
            };
        },
    };
}

/** Cost in tokens, weighted as in the platform's throughput: input tokens count once, generated tokens twice. */
function tokenCost(prompt: Prompt | undefined): number {
    return prompt ? prompt.inputTokens + 2 * prompt.maxOutputTokens : 0;
}
