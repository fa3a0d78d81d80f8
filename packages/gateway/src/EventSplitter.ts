/** Splits a byte stream of server-sent events at event boundaries. */
export interface EventSplitter {
    /** Appends bytes and returns all complete events; buffers the partial event that remains. */
    push(chunk: Buffer): Buffer;
    /** Id of the last complete event; undefined before the first. */
    lastEventId(): string | undefined;
    /** Buffered bytes of an incomplete event. */
    partialEvent(): Buffer;
    /** Discards a truncated event, so that the stream can be resumed from another upstream. */
    discardPartialEvent(): void;
}

const empty: Buffer = Buffer.alloc(0);
const separators = ["\n\n", "\r\n\r\n"];
const idLine = /(?:^|\n)id: ?([^\r\n]*)/g;

export function createEventSplitter(): EventSplitter {
    let partialEvent = empty;
    let lastEventId: string | undefined;

    return {
        push(chunk) {
            const bytes = partialEvent.length === 0 ? chunk : Buffer.concat([partialEvent, chunk]);
            const end = Math.max(...separators.map(separator => {
                const at = bytes.lastIndexOf(separator);
                return at < 0 ? 0 : at + separator.length;
            }));
            partialEvent = bytes.subarray(end);
            const complete = bytes.subarray(0, end);
            const ids = [...complete.toString("latin1").matchAll(idLine)];
            lastEventId = ids.at(-1)?.[1] ?? lastEventId;
            return complete;
        },
        lastEventId: () => lastEventId,
        partialEvent: () => partialEvent,
        discardPartialEvent() {
            partialEvent = empty;
        },
    };
}
