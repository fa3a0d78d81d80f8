import { err, ok, type Result } from "neverthrow";
import * as constants from "./RouterConstants.js";

/** Watches a stream of server-sent events, and cuts it at the ends of events. */
export interface EventScanner {
    /** Takes bytes and returns those that complete events; the rest is kept. Fails on an event that is too large. */
    push(chunk: Uint8Array): Result<Buffer, "event-too-large">;
    /** Events with data so far, without `[DONE]`. */
    readonly eventCount: number;
    /** Whether the `[DONE]` marker was seen and no part of an event is left over. */
    isComplete(): boolean;
    /** `total_tokens` of the last usage block, if there was one. */
    readonly totalTokens: number | undefined;
}

export function createEventScanner(): EventScanner {
    let rest: Buffer = Buffer.alloc(0);
    let eventCount = 0;
    let done = false;
    let totalTokens: number | undefined;

    function noteLine(line: string): void {
        if (!line.startsWith("data:")) {
            return;
        }
        const data = line.slice("data:".length).trim();
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
            const bytes = rest.length === 0 ? Buffer.from(chunk) : Buffer.concat([rest, chunk]);
            const end = endOfLastEvent(bytes);
            rest = bytes.subarray(end);
            if (rest.length > constants.maxEventBytes) {
                return err("event-too-large");
            }
            const complete = bytes.subarray(0, end);
            complete.toString("utf8").split("\n").forEach(noteLine);
            return ok(complete);
        },
        get eventCount() {
            return eventCount;
        },
        get totalTokens() {
            return totalTokens;
        },
        isComplete: () => done && rest.length === 0,
    };
}

function endOfLastEvent(bytes: Buffer): number {
    const plain = bytes.lastIndexOf("\n\n");
    const withReturn = bytes.lastIndexOf("\r\n\r\n");
    return Math.max(plain < 0 ? 0 : plain + 2, withReturn < 0 ? 0 : withReturn + 4);
}

/** Reads `usage.total_tokens` from a JSON text; undefined if it is not there. */
export function readTotalTokens(text: string): number | undefined {
    try {
        const total = (JSON.parse(text) as { usage?: { total_tokens?: unknown; }; }).usage?.total_tokens;
        return typeof total === "number" && Number.isFinite(total) && total >= 0 ? total : undefined;
    }
    catch {
        return undefined;
    }
}
