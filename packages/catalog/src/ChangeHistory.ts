import { initialPosition, isAfter, type Position, type PositionedChange } from "./Catalog.js";

/** The latest changes of the catalog, from which other VMs that read it here are updated. */
export interface ChangeHistory {
    append(changes: readonly PositionedChange[]): void;
    /** Starts anew after a listing: the individual changes before its position are unknown. */
    restart(position: Position): void;
    /** The changes after a position; undefined if some of them are not retained. */
    changesAfter(position: Position): readonly PositionedChange[] | undefined;
}

/** @param maxLength number of changes that are retained. */
export function createChangeHistory(maxLength: number): ChangeHistory {
    /** Changes in the order in which they were applied, without gaps after the position `start`. */
    let changes: readonly PositionedChange[] = [];
    let start = initialPosition;

    return {
        append(added) {
            const all = withoutOlderConfigs([...changes, ...added]);
            const dropped = all.slice(0, Math.max(0, all.length - maxLength));
            changes = all.slice(dropped.length);
            start = dropped.reduce((latest, { position }) => isAfter(position, latest) ? position : latest, start);
        },
        restart(position) {
            changes = [];
            start = position;
        },
        changesAfter: position =>
            position.era !== start.era || position.revision < start.revision
                ? undefined
                : changes.filter(({ position: at }) => isAfter(at, position)),
    };
}

/** Other VMs need only the newest configuration, and the documents are too large to retain several hundred of them. */
function withoutOlderConfigs(changes: readonly PositionedChange[]): readonly PositionedChange[] {
    const versionOf = ({ change }: PositionedChange): number | undefined =>
        change.kind === "config" ? change.config.version : undefined;
    const newest = changes.reduce<PositionedChange | undefined>((last, change) => {
        const version = versionOf(change);
        return version !== undefined && version >= ((last && versionOf(last)) ?? version) ? change : last;
    }, undefined);
    return changes.filter(change => change === newest || versionOf(change) === undefined);
}
