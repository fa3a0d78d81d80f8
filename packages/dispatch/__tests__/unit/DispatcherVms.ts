import type * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";
import * as fleets from "@peridotloft/fleet";
import type * as testing from "@peridotloft/testing";
import * as dispatch from "../../src/index.js";

export interface DispatcherVmsOptions extends Omit<dispatch.DispatcherOptions, "fleet" | "catalog" | "clock"> {
    readonly vms: number;
    readonly clock: testing.VirtualClock;
    readonly snapshot: core.SnapshotCell<catalog.CatalogSnapshot>;
    readonly network: ReturnType<typeof testing.createDatagramNetwork>;
}

/** Starts VMs with a dispatcher each, in three availability zones, and waits until they know each other. */
export async function startDispatcherVms({ vms, clock, snapshot, network, ...rest }: DispatcherVmsOptions) {
    const addresses = Array.from({ length: vms }, (_, index) => `10.0.0.${index + 1}`);
    const nodes = addresses.map((address, index) =>
        fleets.createFleetNode({
            address,
            zone: core.zoneId(`z${index % 3}`),
            seeds: addresses.slice(0, 2),
            incarnation: 1n,
            socket: network.openSocket(address),
            clock,
            ...rest,
        })
    );
    const dispatchers = nodes.map(fleet => dispatch.createDispatcher({ clock, catalog: snapshot, fleet, ...rest }));
    nodes.forEach(node => node.start());
    await clock.advance(6_000);
    return { nodes, dispatchers };
}
