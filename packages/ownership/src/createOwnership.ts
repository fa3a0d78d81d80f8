import * as core from "@peridotloft/core";
import type * as document from "@peridotloft/document";
import { createConfirmedVersions } from "./ConfirmedVersions.js";
import type { Holding, Ownership } from "./Ownership.js";
import * as constants from "./OwnershipConstants.js";
import { findHighest, rank } from "./RendezvousHash.js";
import { appendVmList, createVmList, findOwnedSinceMs, type Member, type VmList } from "./VmListHistory.js";

export interface OwnershipOptions {
    readonly self: core.VmId;
    readonly clock: core.Clock;
    /** The active document of this VM. Its version never decreases while the process runs. */
    readonly document: core.SnapshotCell<document.FleetDocument>;
}

/** Ownership that follows changes of the document until it is disposed. */
export interface DocumentOwnership extends Ownership {
    dispose(): void;
}

/** A VM that owned the resource before another VM joined, and the version from which on it no longer acts as owner. */
interface Predecessor {
    readonly previousOwner: core.VmId;
    readonly stopsAtVersion: number;
}

/**
 * Derives ownership from the active document (`docs/design.md`, section 4.1).
 *
 * At any moment at most one VM holds a resource, provided that no VM reverts to an earlier document version and that a VM
 * whose retirement was published rejoins only with a new `joinedVersion`.
 */
export function createOwnership(options: OwnershipOptions): DocumentOwnership {
    const { self, clock } = options;
    const confirmedVersions = createConfirmedVersions();
    let history: readonly VmList[] = [];
    let predecessorsOf = new Map<string, readonly Predecessor[]>();
    let ownerByResource = new Map<string, Member>();
    let ownedSinceMs = new Map<string, number>();

    const clearCaches = (): void => {
        predecessorsOf = new Map();
        ownerByResource = new Map();
        ownedSinceMs = new Map();
    };

    const adoptDocument = (fleet: document.FleetDocument): void => {
        const next = appendVmList(history, createVmList(fleet, clock.nowMs()));
        if (next !== history) {
            history = next;
            clearCaches();
        }
        confirmedVersions.compact([...new Set(fleet.vms.map(vm => vm.joinedVersion))]);
    };

    const members = (): VmList["members"] => {
        const list = history.at(-1);
        core.invariant(list, "a document was adopted");
        return list.members;
    };

    const cached = <T>(cache: Map<string, T>, resource: string, calculate: () => T): T => {
        const known = cache.get(resource);
        if (known !== undefined) {
            return known;
        }
        if (cache.size >= constants.maxCachedOwners) {
            cache.clear();
        }
        const value = calculate();
        cache.set(resource, value);
        return value;
    };

    const findOwner = (resource: string): Member =>
        cached(ownerByResource, resource, () => {
            const owner = findHighest(resource, members())?.value;
            core.invariant(owner, "the document has a VM that is not retired");
            return owner;
        });

    /**
     * Returns the previous owners of a resource, from the latest to the earliest. All of them must have stopped acting,
     * because the latest predecessor may itself still wait for a partitioned VM.
     */
    const findPredecessors = (resource: string, owner: Member): readonly Predecessor[] => {
        const older = members().filter(({ value }) => value.joinedVersion < owner.joinedVersion);
        const previous = findHighest(resource, older)?.value;
        return previous
            ? [
                { previousOwner: previous.id, stopsAtVersion: owner.joinedVersion },
                ...findPredecessors(resource, previous),
            ]
            : [];
    };

    const holdingOf = (resource: string): Holding => {
        const owner = findOwner(resource);
        if (owner.id !== self) {
            return { kind: "other", owner: owner.id };
        }
        const predecessors = cached(predecessorsOf, resource, () => findPredecessors(resource, owner));
        let sinceMs = cached(ownedSinceMs, resource, () => findOwnedSinceMs(history, resource, self));
        for (const { previousOwner, stopsAtVersion } of predecessors) {
            const confirmedMs = confirmedVersions.findConfirmedMs(previousOwner, stopsAtVersion);
            if (confirmedMs === undefined) {
                return { kind: "waiting", previousOwner };
            }
            sinceMs = Math.max(sinceMs, confirmedMs);
        }
        const [latest] = predecessors;
        return latest && !isConfirmedByMajority(latest.stopsAtVersion)
            ? { kind: "waiting", previousOwner: latest.previousOwner }
            : { kind: "held", sinceMs };
    };

    const hasConfirmed = (peer: core.VmId, documentVersion: number): boolean =>
        peer === self || confirmedVersions.findConfirmedMs(peer, documentVersion) !== undefined;

    /**
     * A restarting VM queries more than half of the VMs for their version before it adopts a document. With this check, a
     * previous owner that confirmed a version and restarts while its platform serves an older document learns of that
     * version again.
     */
    const isConfirmedByMajority = (documentVersion: number): boolean => {
        const count = members().filter(({ value }) => hasConfirmed(value.id, documentVersion)).length;
        return count > members().length / 2;
    };

    const subscription = options.document.changes.subscribe(adoptDocument);
    return {
        holdingOf,
        ownerOf: resource => findOwner(resource).id,
        ranking: resource => rank(resource, members()).map(({ value }) => value.id),
        recordPeerVersion: (peer, documentVersion) =>
            confirmedVersions.recordVersion(peer, documentVersion, clock.nowMs()),
        isConfirmedByAll: documentVersion => members().every(({ value }) => hasConfirmed(value.id, documentVersion)),
        dispose: () => subscription.unsubscribe(),
    };
}
