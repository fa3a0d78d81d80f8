import type * as core from "@peridotloft/core";

interface Confirmation {
    readonly documentVersion: number;
    readonly atMs: number;
}

/** The document versions that peers have confirmed, with the time of the first confirmation of each version. */
export interface ConfirmedVersions {
    /** Records that a peer holds a document version; ignored unless it is newer than the last one. */
    recordVersion(peer: core.VmId, documentVersion: number, nowMs: number): void;
    /** Time in ms at which `peer` first confirmed `documentVersion` or a later one; undefined if it has not. */
    findConfirmedMs(peer: core.VmId, documentVersion: number): number | undefined;
    /** Removes all confirmations but the latest of each peer and those needed to look up one of `versions`. */
    compact(versions: readonly number[]): void;
}

export function createConfirmedVersions(): ConfirmedVersions {
    const confirmations = new Map<core.VmId, readonly Confirmation[]>();
    return {
        recordVersion(peer, documentVersion, nowMs) {
            const known = confirmations.get(peer) ?? [];
            const newest = known.at(-1);
            if (!newest || newest.documentVersion < documentVersion) {
                confirmations.set(peer, [...known, { documentVersion, atMs: nowMs }]);
            }
        },
        findConfirmedMs: (peer, documentVersion) =>
            confirmations.get(peer)?.find(known => known.documentVersion >= documentVersion)?.atMs,
        compact(versions) {
            const needed = (list: readonly Confirmation[]): Set<Confirmation | undefined> =>
                new Set([
                    ...versions.map(version => list.find(known => known.documentVersion >= version)),
                    list.at(-1),
                ]);
            [...confirmations].forEach(([peer, list]) => {
                const kept = needed(list);
                confirmations.set(peer, list.filter(known => kept.has(known)));
            });
        },
    };
}
