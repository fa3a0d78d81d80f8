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
    /** The document in force on this VM. Its version never falls while the process runs. */
    readonly document: core.SnapshotCell<document.FleetDocument>;
}

/** An ownership that follows the document until it is disposed. */
export interface DocumentOwnership extends Ownership {
    dispose(): void;
}

/** A VM that owned the resource before another joined, and the version with which it stops acting. */
interface Predecessor {
    readonly previousOwner: core.VmId;
    readonly stopsAtVersion: number;
}

/**
 * Derives ownership from the document in force (design page, section 4.1).
 *
 * At any moment at most one VM holds a resource, provided that no VM returns to an earlier document version and that
 * a VM whose retirement was published returns only with a new `joinedVersion`.
 */
export function createOwnership(options: OwnershipOptions): DocumentOwnership {
    const { self, clock } = options;
    const confirmed = createConfirmedVersions();
    let history: readonly VmList[] = [];
    let predecessorsOf = new Map<string, readonly Predecessor[]>();
    let ownerByResource = new Map<string, Member>();
    let ownedSinceMs = new Map<string, number>();

    const forgetCached = (): void => {
        predecessorsOf = new Map();
        ownerByResource = new Map();
        ownedSinceMs = new Map();
    };

    const adopt = (fleet: document.FleetDocument): void => {
        const next = appendVmList(history, createVmList(fleet, clock.nowMs()));
        if (next !== history) {
            history = next;
            forgetCached();
        }
        confirmed.compact([...new Set(fleet.vms.map(vm => vm.joinedVersion))]);
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
     * Every VM that a still older document version makes the owner must have stopped, not only the latest one: the
     * latest predecessor may itself still be waiting for a VM that is cut off.
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
            const confirmedMs = confirmed.findConfirmedMs(previousOwner, stopsAtVersion);
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
        peer === self || confirmed.findConfirmedMs(peer, documentVersion) !== undefined;

    /**
     * A VM that restarts reads the version of more than half of the VMs before it trusts a document. With this check,
     * a previous owner that confirmed a version and then restarted beside a stale platform meets that version again.
     */
    const isConfirmedByMajority = (documentVersion: number): boolean => {
        const count = members().filter(({ value }) => hasConfirmed(value.id, documentVersion)).length;
        return count > members().length / 2;
    };

    const subscription = options.document.changes.subscribe(adopt);
    return {
        holdingOf,
        ownerOf: resource => findOwner(resource).id,
        ranking: resource => rank(resource, members()).map(({ value }) => value.id),
        notePeerVersion: (peer, documentVersion) => confirmed.note(peer, documentVersion, clock.nowMs()),
        isConfirmedByAll: documentVersion => members().every(({ value }) => hasConfirmed(value.id, documentVersion)),
        dispose: () => subscription.unsubscribe(),
    };
}
