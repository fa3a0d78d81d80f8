import type * as dispatch from "@peridotloft/dispatch";
import type { StreamPosition } from "./AttemptSequence.js";
import { createEventSplitter, type EventSplitter } from "./EventSplitter.js";

/** How far the stream to a caller has come. */
export interface StreamState {
    readonly splitter: EventSplitter;
    /** Where another upstream would go on; undefined as long as the caller has received no event. */
    position(): StreamPosition | undefined;
    /** Records the origin of the first event. Later upstreams have the same one. */
    recordBegun(origin: dispatch.StreamOrigin): void;
}

/** @param start position at which the caller resumes the stream; undefined for a new stream. */
export function createStreamState(start: StreamPosition | undefined): StreamState {
    const splitter = createEventSplitter();
    let origin = start?.origin;
    return {
        splitter,
        position() {
            const lastEventId = splitter.lastEventId() ?? start?.lastEventId;
            return lastEventId === undefined || !origin ? undefined : { lastEventId, origin };
        },
        recordBegun(begun) {
            origin ??= begun;
        },
    };
}
