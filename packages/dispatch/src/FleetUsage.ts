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
    readonly fleet: Pick<FleetView, "registerUsageListener">;
    /** Called with the usage that another VM announced, scaled to the whole fleet. */
    readonly onAnnounced?: (usage: fleets.CustomerCost) => void;
}

export function createFleetUsage({ clock, fleet, onAnnounced }: FleetUsageOptions): FleetUsage {
    const usage = createCustomerUsage();
    const removeListener = fleet.registerUsageListener(({ customerHash, cost }, weight) => {
        usage.record(customerHash, cost * weight, clock.nowMs());
        onAnnounced?.({ customerHash, cost: cost * weight });
    });
    return { ...usage, dispose: removeListener };
}
