import type * as core from "@peridotloft/core";
import type { DocumentView } from "./DocumentView.js";
import type { FairQueue } from "./FairQueue.js";
import type { Quarantine } from "./Quarantine.js";
import type { RunningLeases } from "./RunningLeases.js";
import type { SchedulerStatus, UpstreamStatus } from "./Scheduler.js";
import type { ServiceTotals } from "./ServiceTotals.js";
import type { SlotTable } from "./SlotTable.js";
import type { PhaseTable } from "./UpstreamPhase.js";

export interface SchedulerStatusOptions {
    readonly view: DocumentView;
    readonly table: SlotTable;
    readonly phases: PhaseTable;
    readonly leases: RunningLeases;
    readonly totals: ServiceTotals;
    readonly quarantine: Quarantine;
    readonly queues: ReadonlyMap<core.PoolId, FairQueue>;
}

/** Builds the status of the scheduler for the admin port. */
export function createSchedulerStatus(options: SchedulerStatusOptions): SchedulerStatus {
    const { view, table, phases, leases, totals, quarantine, queues } = options;
    const upstreams = [...view.upstreams.values()].map(({ upstream, pool }): UpstreamStatus => {
        const owned = table.ofUpstream(upstream.id);
        return {
            upstream: upstream.id,
            pool: pool.id,
            phase: phases.phaseOf(upstream),
            usableSlots: phases.usableSlots(upstream),
            ownedSlots: owned.length,
            ownedSlotsInUse: owned.filter(slot => slot.use).length,
            inFlight: leases.inFlight(upstream.id),
        };
    });
    return {
        upstreams,
        queues: [...queues].flatMap(([pool, queue]) =>
            queue.customers().map(customer => ({
                customer,
                pool,
                waiting: queue.lengthOf(customer),
                virtualTime: totals.virtualTime(pool, customer),
            }))
        ),
        quarantined: quarantine.quarantined(),
    };
}
