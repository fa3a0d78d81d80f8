import type * as core from "@peridotloft/core";
import type * as document from "@peridotloft/document";
import * as constants from "./OwnershipConstants.js";
import { type Candidate, createCandidate, findHighest } from "./RendezvousHash.js";

/** A candidate VM of rendezvous hashing. */
export interface Member {
    readonly id: core.VmId;
    readonly joinedVersion: number;
}

/** The VMs of a document that are not retired, valid from `fromMs` on. */
export interface VmList {
    readonly fromMs: number;
    readonly members: readonly Candidate<Member>[];
}

export function createVmList(fleet: document.FleetDocument, fromMs: number): VmList {
    const members = fleet.vms
        .filter(vm => vm.state !== "retired")
        .map(({ id, joinedVersion }) => createCandidate(id, { id, joinedVersion }));
    return { fromMs, members };
}

function haveSameMembers(left: VmList, right: VmList): boolean {
    const keys = new Set(left.members.map(({ value }) => `${value.id}\n${value.joinedVersion}`));
    return keys.size === right.members.length
        && right.members.every(({ value }) => keys.has(`${value.id}\n${value.joinedVersion}`));
}

/** Appends `next` and removes expired lists. Returns `history` itself if the members have not changed. */
export function appendVmList(history: readonly VmList[], next: VmList): readonly VmList[] {
    const last = history.at(-1);
    if (last && haveSameMembers(last, next)) {
        return history;
    }
    const isRecent = (index: number): boolean => {
        const replacedMs = history[index + 1]?.fromMs ?? next.fromMs;
        return next.fromMs - replacedMs < constants.vmListRetentionMs;
    };
    return [...history.filter((_list, index) => isRecent(index)), next];
}

/** Time in ms since which `self` has been the owner of `resource` without interruption. */
export function findOwnedSinceMs(history: readonly VmList[], resource: string, self: core.VmId): number {
    const hasOtherOwner = (list: VmList): boolean => findHighest(resource, list.members)?.value.id !== self;
    const lastOtherIndex = history.findLastIndex(hasOtherOwner);
    return history[lastOtherIndex + 1]?.fromMs ?? Number.POSITIVE_INFINITY;
}
