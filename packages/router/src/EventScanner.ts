import { err, ok, type Result } from "neverthrow";
import * as constants from "./RouterConstants.js";

/** Splits a stream of server-sent events at event boundaries and counts the events. */
export interface EventScanner {
    /** Appends bytes and returns the events completed so far. Fails on an event that is too large. */
    push(chunk: Uint8Array): Result<Buffer, "event-too-large">;
    /** Events with data so far, not counting `[DONE]`. */
    readonly eventCount: number;
    /** Whether the `[DONE]` marker was seen and no incomplete event is buffered. */
    isComplete(): boolean;
    /** `total_tokens` of the last usage block, if there was one. */
    readonly totalTokens: number | undefined;
}

const lineFeed = 0x0a;
const dataField = Buffer.from("data:");
const doneMarker = Buffer.from("[DONE]");
const usageMarker = Buffer.from("\"usage\"");

export function createEventScanner(): EventScanner {
    let incompleteEvent: Buffer = Buffer.alloc(0);
    let eventCount = 0;
    let done = false;
    let totalTokens: number | undefined;

    // Lines are compared as bytes: decoding them to strings took a visible share of the relay's CPU time.
    function scan(events: Buffer): void {
        const hasOnlyPlainEvents = events.indexOf(usageMarker) < 0 && events.indexOf(doneMarker) < 0;
        for (let start = 0; start < events.length;) {
            const lineEnd = events.indexOf(lineFeed, start);
            const end = lineEnd < 0 ? events.length : lineEnd;
            if (startsWithData(events, start, end)) {
                if (hasOnlyPlainEvents) {
                    eventCount++;
                }
                else {
                    readEventData(events.toString("utf8", start + dataField.length, end).trim());
                }
            }
            start = end + 1;
        }
    }

    function readEventData(data: string): void {
        if (data === "[DONE]") {
            done = true;
            return;
        }
        eventCount++;
        if (data.includes("\"usage\"")) {
            totalTokens = readTotalTokens(data) ?? totalTokens;
        }
    }

    return {
        push(chunk) {
            const bytes = incompleteEvent.length === 0 ? asBuffer(chunk) : Buffer.concat([incompleteEvent, chunk]);
            const end = endOfLastEvent(bytes);
            incompleteEvent = bytes.subarray(end);
            if (incompleteEvent.length > constants.maxEventBytes) {
                return err("event-too-large");
            }
            const complete = end === bytes.length ? bytes : bytes.subarray(0, end);
            scan(complete);
            return ok(complete);
        },
        get eventCount() {
            return eventCount;
        },
        get totalTokens() {
            return totalTokens;
        },
        isComplete: () => done && incompleteEvent.length === 0,
    };
}

function asBuffer(chunk: Uint8Array): Buffer {
    return Buffer.isBuffer(chunk) ? chunk : Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
}

function startsWithData(bytes: Buffer, start: number, end: number): boolean {
    const fieldEnd = start + dataField.length;
    return fieldEnd <= end && bytes.compare(dataField, 0, dataField.length, start, fieldEnd) === 0;
}

function endOfLastEvent(bytes: Buffer): number {
    // Most chunks end at an event boundary, which makes the search unnecessary.
    if (bytes.at(-1) === lineFeed && bytes.at(-2) === lineFeed) {
        return bytes.length;
    }
    const plain = bytes.lastIndexOf("\n\n");
    const withReturn = bytes.lastIndexOf("\r\n\r\n");
    return Math.max(plain < 0 ? 0 : plain + 2, withReturn < 0 ? 0 : withReturn + 4);
}

/** Reads `usage.total_tokens` from a JSON text; undefined if there is none. */
export function readTotalTokens(text: string): number | undefined {
    try {
        const total = (JSON.parse(text) as { usage?: { total_tokens?: unknown; }; }).usage?.total_tokens;
        return typeof total === "number" && Number.isFinite(total) && total >= 0 ? total : undefined;
    }
    catch {
        return undefined;
    }
}
