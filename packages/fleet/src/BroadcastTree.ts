import * as core from "@peridotloft/core";

/** A VM to which a message is passed on, and the last position to which that VM passes it on in turn. */
export interface BroadcastBranch {
    readonly address: string;
    readonly until: number;
}

/** Number of VMs to which a VM passes a message on. */
export const passOnBranches = 4;
/** Number of VMs to which the origin of messages sends each; few, since it is the origin of all of them. */
export const originBranches = 2;
export const lastPosition = 0xffffffff;

/** Position of a VM in the order of a message. Each message has another order, so that VMs take turns at passing it on. */
export const positionOf = (addressHash: number, messageNumber: number): number =>
    core.mixHashes(addressHash, messageNumber);

/**
 * Splits the VMs at positions above `after`, up to `until`, into branches of about equal size. Each VM splits its range by its own
 * view of the membership, so VMs that its sender does not know get the message as well.
 */
export function splitBroadcast(
    addresses: readonly string[],
    messageNumber: number,
    after: number,
    until: number,
    branches: number,
): readonly BroadcastBranch[] {
    const inRange = addresses
        .map(address => ({ address, position: positionOf(core.hash32(address), messageNumber) }))
        .filter(({ position }) => position > after && position <= until)
        .sort((left, right) => left.position - right.position);
    const branchSize = Math.ceil(inRange.length / branches);
    return inRange.flatMap(({ address }, index) => {
        const next = inRange[index + branchSize];
        return index % branchSize === 0 ? [{ address, until: next ? next.position - 1 : until }] : [];
    });
}
