import type * as core from "@peridotloft/core";

interface Confirmation {
    readonly documentVersion: number;
    readonly atMs: number;
}

/** The document versions that peers said they hold, and when each was first heard. */
export interface ConfirmedVersions {
    note(peer: core.VmId, documentVersion: number, nowMs: number): void;
    /** Time in ms at which `peer` first confirmed `documentVersion` or a later one; undefined if it has not. */
    findConfirmedMs(peer: core.VmId, documentVersion: number): number | undefined;
    /** Forgets when versions were first heard that lie between two successive `versions`. */
    compact(versions: readonly number[]): void;
}

export function createConfirmedVersions(): ConfirmedVersions {
    const confirmations = new Map<core.VmId, readonly Confirmation[]>();
    return {
        note(peer, documentVersion, nowMs) {
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
