import * as core from "@peridotloft/core";
import type { FleetNode } from "./FleetNode.js";

/**
 * Chooses the VM from which this one learns what the store publishes.
 *
 * @param createSource makes the client of a VM; called once for each address.
 * @returns a function that gives a client, or undefined when this VM should read the store.
 */
export function createRelayChoice<Source>(
    fleet: Pick<FleetNode, "peers" | "storeReaders">,
    self: string,
    createSource: (address: string) => Source,
    random: core.Random,
): (storeIsLost: boolean) => Source | undefined {
    const sources = new Map<string, Source>();
    const sourceOf = (address: string): Source => {
        const source = sources.get(address) ?? createSource(address);
        sources.set(address, source);
        return source;
    };

    return storeIsLost => {
        const readers = fleet.storeReaders();
        if (!storeIsLost && readers.includes(self)) {
            return undefined;
        }
        // A VM that lost the store asks any other: the readers of its zone may be cut off with it.
        const choices = (storeIsLost ? fleet.peers() : readers).filter(address => address !== self);
        const address = choices[Math.floor(random() * choices.length)];
        return address === undefined ? undefined : sourceOf(address);
    };
}
