import * as Rx from "rxjs";

/** Holds an immutable value that readers see as a snapshot and that only `update` replaces. */
export interface SnapshotCell<T> {
    /** The current snapshot. */
    read(): T;
    /** Replaces the snapshot with the result of `change` and returns it. If that is the same object, nothing is emitted. */
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
