/** A queue whose items are each sent several times, since single datagrams may be lost. */
export interface RepeatedSends<T> {
    /** Queues an item; it replaces a queued one with the same key. */
    add(item: T): void;
    hasPending(): boolean;
    /** The items for the next send. */
    next(): readonly T[];
    /** Records that the items returned by `next` were sent. */
    recordSent(): void;
}

export interface RepeatedSendsOptions<T> {
    readonly keyOf: (item: T) => string;
    /** Number of times that each item is sent. */
    readonly sends: number;
    /** Maximum number of items in one send. */
    readonly maxPerSend: number;
    /** Maximum number of queued items; beyond it the oldest are dropped. */
    readonly maxPending: number;
}

export function createRepeatedSends<T>(options: RepeatedSendsOptions<T>): RepeatedSends<T> {
    const { keyOf, sends, maxPerSend, maxPending } = options;
    const pending = new Map<string, { readonly item: T; sendsLeft: number; }>();
    const nextEntries = () => [...pending].slice(0, maxPerSend);
    return {
        add(item) {
            const key = keyOf(item);
            pending.delete(key);
            pending.set(key, { item, sendsLeft: sends });
            const oldest = pending.keys().next().value;
            if (pending.size > maxPending && oldest !== undefined) {
                pending.delete(oldest);
            }
        },
        hasPending: () => pending.size > 0,
        next: () => nextEntries().map(([, { item }]) => item),
        recordSent() {
            // Items that were sent move to the end, so that the others are sent first.
            nextEntries().forEach(([key, entry]) => {
                entry.sendsLeft--;
                pending.delete(key);
                if (entry.sendsLeft > 0) {
                    pending.set(key, entry);
                }
            });
        },
    };
}
