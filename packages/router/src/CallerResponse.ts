import * as core from "@peridotloft/core";
import type { ServerResponse } from "node:http";
import * as headers from "./HeaderUtils.js";
import type { FailureKind, Refusal } from "./RequestFailure.js";
import * as constants from "./RouterConstants.js";

/** The response to one caller. Once the headers are sent, status and headers can no longer change. */
export interface CallerResponse {
    readonly requestId: core.RequestId;
    headersSent(): boolean;
    writeHead(statusCode: number, headers: headers.HeaderList): void;
    /**
     * Sends bytes. Returns a promise if the send buffer is full: it resolves when the buffer drains, the connection
     * closes or the signal is aborted. The connection is closed if the buffer does not drain within 30 s.
     */
    write(bytes: Uint8Array): Promise<void> | undefined;
    /** Ends the response as complete. */
    end(): void;
    /** Sends a complete response. */
    send(statusCode: number, headers: headers.HeaderList, body: Uint8Array): void;
    sendJson(statusCode: number, value: unknown): void;
    /** Sends the refusal. A response that has started is aborted, so that the caller does not take it as complete. */
    refuse(refusal: Refusal): void;
}

// Refusals after which the connection is closed. Keeping it open would mean reading and discarding the rest of the body.
const connectionClosingCodes: readonly string[] = ["body-too-large", "memory-full"] satisfies FailureKind[];

export function createCallerResponse(
    requestId: core.RequestId,
    response: ServerResponse,
    signal: AbortSignal,
    closesConnections: () => boolean,
    clock: core.Clock,
): CallerResponse {
    let isEventStream = false;
    response.setHeader("x-request-id", requestId);
    // Writing to a closed connection is not an error of this process; the `close` event is handled instead.
    response.on("error", () => undefined);

    function writeHead(statusCode: number, list: headers.HeaderList): void {
        if (closesConnections()) {
            response.setHeader("connection", "close");
        }
        Object.entries(headers.groupHeaders(list))
            .forEach(([name, value]) => response.setHeader(name, value));
        isEventStream = isEventStreamType(headers.findHeader(list, "content-type"));
        response.writeHead(statusCode);
    }

    function send(statusCode: number, list: headers.HeaderList, body: Uint8Array): void {
        const others = list.filter(([name]) => name.toLowerCase() !== "content-length");
        writeHead(statusCode, [...others, ["content-length", String(body.length)]]);
        core.endResponse(response, body, response.getHeader("connection") === "close", clock);
    }

    function sendJson(statusCode: number, value: unknown): void {
        send(statusCode, [["content-type", "application/json"]], Buffer.from(JSON.stringify(value)));
    }

    return {
        requestId,
        headersSent: () => response.headersSent,
        writeHead,
        write: bytes => writeWithBackpressure(response, bytes, signal),
        end: () => void response.end(),
        send,
        sendJson,
        refuse(refusal) {
            if (response.writableEnded) {
                return;
            }
            const body = refusalBody(refusal, requestId);
            if (response.headersSent) {
                abortResponse(response, isEventStream ? `data: ${JSON.stringify(body)}\n\n` : "");
                return;
            }
            if (connectionClosingCodes.includes(refusal.code)) {
                response.setHeader("connection", "close");
            }
            refusalHeaders(refusal).forEach(([name, value]) => response.setHeader(name, value));
            sendJson(refusal.statusCode, body);
        },
    };
}

/** Whether a content type denotes server-sent events. */
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

function writeWithBackpressure(
    response: ServerResponse,
    bytes: Uint8Array,
    signal: AbortSignal,
): Promise<void> | undefined {
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

// Closes the connection without the final chunk or the full length, after the last event has been flushed.
function abortResponse(response: ServerResponse, lastEvent: string): void {
    if (lastEvent === "") {
        response.destroy();
        return;
    }
    const timer = setTimeout(() => response.destroy(), constants.abortGraceMs);
    response.once("close", () => clearTimeout(timer));
    response.write(lastEvent, () => response.destroy());
}
