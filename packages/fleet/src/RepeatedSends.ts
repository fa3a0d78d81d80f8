import * as core from "@peridotloft/core";

/** A queue whose items are sent until each peer has probably received them, although single datagrams may be lost. */
export interface RepeatedSends<T> {
    /** Queues an item; it replaces a queued one with the same key. */
    add(item: T): void;
    hasPending(): boolean;
    /** The items for the next send. */
    next(): readonly T[];
    /**
     * Records that the items returned by `next` were sent.
     *
     * @param share of the peers to which they were sent, above 0 and at most 1.
     */
    recordSent(share: number): void;
}

export interface RepeatedSendsOptions<T> {
    readonly keyOf: (item: T) => string;
    /** Number of times that each item is sent to each peer, on average. */
    readonly sendsPerPeer: number;
    /** Maximum number of items in one send. */
    readonly maxPerSend: number;
    /** Maximum number of queued items; beyond it the oldest are dropped. */
    readonly maxPending: number;
}

export function createRepeatedSends<T>(options: RepeatedSendsOptions<T>): RepeatedSends<T> {
    const { keyOf, sendsPerPeer, maxPerSend, maxPending } = options;
    const pending = new Map<string, { readonly item: T; sendsLeft: number; }>();
    const nextEntries = () => [...pending].slice(0, maxPerSend);
    return {
        add(item) {
            const key = keyOf(item);
            pending.delete(key);
            pending.set(key, { item, sendsLeft: sendsPerPeer });
            core.evictOldest(pending, maxPending);
        },
        hasPending: () => pending.size > 0,
        next: () => nextEntries().map(([, { item }]) => item),
        recordSent(share) {
            // Items that were sent move to the end, so that the others are sent first.
            nextEntries().forEach(([key, entry]) => {
                entry.sendsLeft -= share;
                pending.delete(key);
                if (entry.sendsLeft > 0) {
                    pending.set(key, entry);
                }
            });
        },
    };
}
