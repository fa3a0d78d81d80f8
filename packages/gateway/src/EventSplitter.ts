/** Cuts a stream of server-sent events at the ends of events. */
export interface EventSplitter {
    /** Takes bytes and returns those that complete events; the rest is kept. */
    push(chunk: Buffer): Buffer;
    /** Id of the last complete event; undefined before the first. */
    lastEventId(): string | undefined;
    /** Bytes of an event that is not complete. */
    rest(): Buffer;
    /** Forgets an event that was cut, so that the stream can go on from another upstream. */
    dropRest(): void;
}

const empty: Buffer = Buffer.alloc(0);
const separators = ["\n\n", "\r\n\r\n"];
const idLine = /(?:^|\n)id: ?([^\r\n]*)/g;

export function createEventSplitter(): EventSplitter {
    let rest = empty;
    let lastId: string | undefined;

    return {
        push(chunk) {
            const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
            const end = Math.max(...separators.map(separator => {
                const at = bytes.lastIndexOf(separator);
                return at < 0 ? 0 : at + separator.length;
            }));
            rest = bytes.subarray(end);
            const complete = bytes.subarray(0, end);
            const ids = [...complete.toString("latin1").matchAll(idLine)];
            lastId = ids.at(-1)?.[1] ?? lastId;
            return complete;
        },
        lastEventId: () => lastId,
        rest: () => rest,
        dropRest() {
            rest = empty;
        },
    };
}
