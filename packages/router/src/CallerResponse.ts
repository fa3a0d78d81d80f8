import type * as core from "@peridotloft/core";
import type { ServerResponse } from "node:http";
import * as headers from "./HeaderUtils.js";
import type { FailureKind, Refusal } from "./RequestFailure.js";
import * as constants from "./RouterConstants.js";

/** The answer to one caller. Nothing can be taken back once it has begun. */
export interface CallerResponse {
    readonly requestId: core.RequestId;
    hasBegun(): boolean;
    begin(statusCode: number, headers: headers.HeaderList): void;
    /**
     * Sends bytes. Returns a promise if the caller is behind: it resolves when the caller takes more, has left or the
     * signal is aborted. A caller that takes nothing for 30 s counts as having left.
     */
    write(bytes: Uint8Array): Promise<void> | undefined;
    /** Ends the answer as complete. */
    end(): void;
    /** Sends a complete answer. */
    send(statusCode: number, headers: headers.HeaderList, body: Uint8Array): void;
    sendJson(statusCode: number, value: unknown): void;
    /** Refuses the request; an answer that has begun is broken off, so that it cannot pass for a complete one. */
    refuse(refusal: Refusal): void;
}

// The rest of the body would otherwise be read, only to find the next request behind it.
const stopsReading: readonly string[] = ["body-too-large", "memory-full"] satisfies FailureKind[];

export function createCallerResponse(
    requestId: core.RequestId,
    response: ServerResponse,
    signal: AbortSignal,
    isDraining: () => boolean,
): CallerResponse {
    let isEventStream = false;
    response.setHeader("x-request-id", requestId);
    // A write that meets a closed connection is no fault of this process; the close event tells of it.
    response.on("error", () => undefined);

    function begin(statusCode: number, list: headers.HeaderList): void {
        if (isDraining()) {
            response.setHeader("connection", "close");
        }
        Object.entries(headers.groupHeaders(list))
            .forEach(([name, value]) => response.setHeader(name, value));
        isEventStream = isEventStreamType(headers.findHeader(list, "content-type"));
        response.writeHead(statusCode);
    }

    function send(statusCode: number, list: headers.HeaderList, body: Uint8Array): void {
        const others = list.filter(([name]) => name.toLowerCase() !== "content-length");
        begin(statusCode, [...others, ["content-length", String(body.length)]]);
        response.end(body);
    }

    function sendJson(statusCode: number, value: unknown): void {
        send(statusCode, [["content-type", "application/json"]], Buffer.from(JSON.stringify(value)));
    }

    return {
        requestId,
        hasBegun: () => response.headersSent,
        begin,
        write: bytes => writeAndDrain(response, bytes, signal),
        end: () => void response.end(),
        send,
        sendJson,
        refuse(refusal) {
            if (response.writableEnded) {
                return;
            }
            const body = refusalBody(refusal, requestId);
            if (response.headersSent) {
                breakOff(response, isEventStream ? `data: ${JSON.stringify(body)}\n\n` : "");
                return;
            }
            if (stopsReading.includes(refusal.code)) {
                response.setHeader("connection", "close");
            }
            refusalHeaders(refusal).forEach(([name, value]) => response.setHeader(name, value));
            sendJson(refusal.statusCode, body);
        },
    };
}

/** Whether a content type stands for server-sent events. */
export function isEventStreamType(contentType: string | undefined): boolean {
    return contentType?.toLowerCase().startsWith("text/event-stream") === true;
}

export function refusalHeaders(refusal: Refusal): headers.HeaderList {
    return [
        ["x-peridotloft-verdict", refusal.verdict],
        ...(refusal.retryAfterMs === undefined
            ? []
            : [["retry-after", String(Math.max(1, Math.ceil(refusal.retryAfterMs / 1_000)))] as const]),
    ];
}

export function refusalBody(refusal: Refusal, requestId: string) {
    return {
        error: {
            message: refusal.message,
            type: refusal.type,
            code: refusal.code,
            verdict: refusal.verdict,
            request_id: requestId,
        },
    };
}

function writeAndDrain(response: ServerResponse, bytes: Uint8Array, signal: AbortSignal): Promise<void> | undefined {
    if (response.destroyed || signal.aborted || response.write(bytes)) {
        return undefined;
    }
    return new Promise(resolve => {
        const timer = setTimeout(() => response.destroy(), constants.callerStallTimeoutMs);
        const done = (): void => {
            clearTimeout(timer);
            response.removeListener("drain", done);
            response.removeListener("close", done);
            signal.removeEventListener("abort", done);
            resolve();
        };
        response.once("drain", done);
        response.once("close", done);
        signal.addEventListener("abort", done);
    });
}

// Closes without the final chunk or the announced length, after the caller had time to take the last event.
function breakOff(response: ServerResponse, lastEvent: string): void {
    if (lastEvent === "") {
        response.destroy();
        return;
    }
    const timer = setTimeout(() => response.destroy(), constants.abortGraceMs);
    response.once("close", () => clearTimeout(timer));
    response.write(lastEvent, () => response.destroy());
}
