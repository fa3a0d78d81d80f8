import type * as core from "@peridotloft/core";
import type * as fleets from "@peridotloft/fleet";
import { createCustomerUsage, type CustomerUsage } from "./CustomerUsage.js";
import type { FleetView } from "./FleetView.js";

/** Usage of customers from the requests of this VM and what other VMs tell. */
export interface FleetUsage extends CustomerUsage {
    dispose(): void;
}

export interface FleetUsageOptions {
    readonly clock: core.Clock;
    readonly fleet: Pick<FleetView, "registerUsageListener" | "registerUsageSource" | "usageTotals">;
    /** Called with the usage that another VM announced, scaled to the whole fleet. */
    readonly onAnnounced?: (usage: fleets.CustomerCost) => void;
}

export function createFleetUsage({ clock, fleet, onAnnounced }: FleetUsageOptions): FleetUsage {
    const usage = createCustomerUsage(fleet.usageTotals);
    const removeListener = fleet.registerUsageListener(({ customerHash, cost }, weight) => {
        // Sums of the whole fleet include what its VMs announce while they do not know its size yet.
        if (!fleet.usageTotals()) {
            usage.recordAnnounced(customerHash, cost * weight, clock.nowMs());
            onAnnounced?.({ customerHash, cost: cost * weight });
        }
    });
    const removeSource = fleet.registerUsageSource(() => usage.own(clock.nowMs()));
    return {
        ...usage,
        dispose() {
            removeListener();
            removeSource();
        },
    };
}
