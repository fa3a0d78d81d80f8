import type { CatalogChange, Position, PositionedChange, Upstream } from "./Catalog.js";

/** The last change that was applied for each item of the store, which decides whether another change is newer. */
export interface CatalogItems {
    /**
     * Selects the changes that are newer than what is known of their items.
     *
     * @param isSettled whether entries that were lost with a restore of the store have been written again since, and
     * entries that should not be there have expired.
     */
    select(changes: readonly PositionedChange[], isSettled: boolean): SelectedChanges;
    /** The removals of the items that a complete listing does not contain. */
    missingFrom(listed: readonly PositionedChange[], position: Position): readonly PositionedChange[];
    /** The last change of each item, removals included. */
    all(): readonly PositionedChange[];
}

export interface SelectedChanges {
    readonly changes: readonly PositionedChange[];
    /** Records that these changes have been applied. */
    record(): void;
}

interface KnownItem {
    readonly last: PositionedChange;
    /** The last change other than a removal; undefined if there was none. */
    readonly lastWrite: PositionedChange | undefined;
}

export function createCatalogItems(): CatalogItems {
    const items = new Map<string, KnownItem>();

    return {
        select(changes, isSettled) {
            const selected = new Map<string, KnownItem>();
            const newChanges = changes.filter(change => {
                const known = selected.get(change.item) ?? items.get(change.item);
                const isNewer = supersedes(change, known, isSettled);
                if (isNewer) {
                    const lastWrite = isRemoval(change.change) ? known?.lastWrite : change;
                    selected.set(change.item, { last: change, lastWrite });
                }
                return isNewer;
            });
            return {
                changes: newChanges,
                record: () => selected.forEach((known, item) => items.set(item, known)),
            };
        },
        missingFrom(listed, position) {
            const names = new Set(listed.map(({ item }) => item));
            return [...items].filter(([item]) => !names.has(item)).flatMap(([item, { last }]) => {
                const removal = removalOf(last.change);
                return removal ? [{ item, position, change: removal }] : [];
            });
        },
        all: () => [...items.values()].map(({ last }) => last),
    };
}

function supersedes(change: PositionedChange, known: KnownItem | undefined, isSettled: boolean): boolean {
    if (!known) {
        return true;
    }
    const { position } = change;
    const { last } = known;
    if (position.era === last.position.era) {
        return position.revision > last.position.revision;
    }
    if (change.change.kind === "config" && last.change.kind === "config") {
        return change.change.config.version > last.change.config.version;
    }
    return position.era > last.position.era && !isRestoredCopy(change, known, isSettled);
}

/**
 * Whether a change of a later era repeats what this VM knew before, or something older: a store that is restored from a copy
 * returns entries as they were.
 */
function isRestoredCopy({ position, change }: PositionedChange, known: KnownItem, isSettled: boolean): boolean {
    const last = known.last.change;
    const write = known.lastWrite?.change;
    switch (change.kind) {
        case "upstream":
            return write?.kind === "upstream" && !isLaterStatement(change.upstream, write.upstream)
                && (!isSettled || last.kind !== "upstream-removed" || write.upstream.leaving);
        case "zone-evacuated":
            return !isSettled && last.kind === "zone-restored"
                && position.revision === known.lastWrite?.position.revision;
        default:
            return false;
    }
}

/** Whether one statement of an upstream is later than another; true if they cannot be compared. */
function isLaterStatement(statement: Upstream, other: Upstream): boolean {
    if (statement.startedWallMs !== other.startedWallMs) {
        return statement.startedWallMs === undefined || other.startedWallMs === undefined
            || statement.startedWallMs > other.startedWallMs;
    }
    return statement.sequence === undefined || other.sequence === undefined || statement.sequence > other.sequence;
}

function isRemoval({ kind }: CatalogChange): boolean {
    return kind === "upstream-removed" || kind === "zone-restored";
}

/** The change that removes an item; undefined for the configuration, which is never removed, and for removed items. */
function removalOf(change: CatalogChange): CatalogChange | undefined {
    switch (change.kind) {
        case "upstream":
            return { kind: "upstream-removed", id: change.upstream.id };
        case "zone-evacuated":
            return { kind: "zone-restored", zone: change.zone };
        default:
            return undefined;
    }
}
