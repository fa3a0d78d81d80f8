import * as Rx from "rxjs";

/** Holds an immutable value: readers see snapshots, and one update function writes. */
export interface SnapshotCell<T> {
    /** The current snapshot. */
    read(): T;
    /** Replaces the snapshot by what `change` makes of it. Returning the same object is no change. */
    update(change: (current: T) => T): T;
    /** Emits each new snapshot, starting with the current one. */
    readonly changes: Rx.Observable<T>;
}

export function createSnapshotCell<T>(initial: T): SnapshotCell<T> {
    const subject = new Rx.BehaviorSubject(initial);
    return {
        read: () => subject.getValue(),
        update(change) {
            const current = subject.getValue();
            const next = change(current);
            if (next !== current) {
                subject.next(next);
            }
            return next;
        },
        changes: subject.asObservable(),
    };
}
