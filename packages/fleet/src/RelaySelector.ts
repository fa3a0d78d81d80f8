import * as core from "@peridotloft/core";
import type { FleetNode } from "./FleetNode.js";

/**
 * Selects the VM that relays the contents of the store to this one.
 *
 * @param createSource creates the client of a VM; called once per address.
 * @returns a function that returns a client, or undefined if this VM should read the store itself.
 */
export function createRelaySelector<Source>(
    fleet: Pick<FleetNode, "peers" | "storeReaders">,
    ownAddress: string,
    createSource: (address: string) => Source,
    random: core.Random,
): (isStoreUnreachable: boolean) => Source | undefined {
    const sourcesByAddress = new Map<string, Source>();
    const sourceOf = (address: string): Source => {
        const source = sourcesByAddress.get(address) ?? createSource(address);
        sourcesByAddress.set(address, source);
        return source;
    };

    return isStoreUnreachable => {
        const readers = fleet.storeReaders();
        if (!isStoreUnreachable && readers.includes(ownAddress)) {
            return undefined;
        }
        // If the store is unreachable, any VM may relay: the store may be unreachable for the readers of this zone as well.
        const candidates = (isStoreUnreachable ? fleet.peers() : readers).filter(address => address !== ownAddress);
        const address = candidates[Math.floor(random() * candidates.length)];
        return address === undefined ? undefined : sourceOf(address);
    };
}
