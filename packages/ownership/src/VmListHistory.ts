import type * as core from "@peridotloft/core";
import type * as document from "@peridotloft/document";
import * as constants from "./OwnershipConstants.js";
import { type Candidate, createCandidate, findHighest } from "./RendezvousHash.js";

/** A VM as rendezvous hashing sees it. */
export interface Member {
    readonly id: core.VmId;
    readonly joinedVersion: number;
}

/** The VMs that were not retired, from `fromMs` on. */
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

/** Returns the history with `next` appended if its members differ, and without the lists that no longer matter. */
export function appendVmList(history: readonly VmList[], next: VmList): readonly VmList[] {
    const last = history.at(-1);
    if (last && haveSameMembers(last, next)) {
        return history;
    }
    const isRecent = (index: number): boolean => {
        const end = history[index + 1]?.fromMs ?? next.fromMs;
        return next.fromMs - end < constants.historyMs;
    };
    return [...history.filter((_list, index) => isRecent(index)), next];
}

/** Time in ms since which `self` has been the owner of `resource` without interruption. */
export function findOwnedSinceMs(history: readonly VmList[], resource: string, self: core.VmId): number {
    const isOther = (list: VmList): boolean => findHighest(resource, list.members)?.value.id !== self;
    const lastOther = history.findLastIndex(isOther);
    return history[lastOther + 1]?.fromMs ?? Number.POSITIVE_INFINITY;
}
