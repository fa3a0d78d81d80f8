import { err, ok, type Result } from "neverthrow";
import { type CallerResponse, isEventStreamType } from "./CallerResponse.js";
import { createEventScanner, readTotalTokens } from "./EventScanner.js";
import { findHeader, headersForCaller } from "./HeaderUtils.js";
import type { RequestFailure } from "./RequestFailure.js";
import * as constants from "./RouterConstants.js";
import type { UpstreamResponse } from "./UpstreamCall.js";

/** Outcome of relaying one response. */
export interface RelayResult {
    /** An error when the response is incomplete; the response to the caller has then not been ended. */
    readonly result: Result<void, RequestFailure>;
    /** Prompt and completion tokens of the usage block, if there was one. */
    readonly totalTokens: number | undefined;
    /** Completion tokens as counted or estimated by the router. */
    readonly countedTokens: number;
}

/**
 * Streams a response to the caller, with backpressure from the caller to the upstream.
 *
 * @param isEngine whether an event stream must end with `[DONE]`.
 * @param onFirstByte called when the body begins.
 */
export function relayResponse(
    response: UpstreamResponse,
    caller: CallerResponse,
    isEngine: boolean,
    onFirstByte: () => void,
): Promise<RelayResult> {
    const isEventStream = isEventStreamType(findHeader(response.headers, "content-type"));
    return isEventStream && isEngine
        ? relayEvents(response, caller, onFirstByte)
        : relayBody(response, caller, isEventStream ? 0 : constants.maxBufferedResponseBytes, onFirstByte);
}

async function relayEvents(
    response: UpstreamResponse,
    caller: CallerResponse,
    onFirstByte: () => void,
): Promise<RelayResult> {
    const scanner = createEventScanner();
    const finish = (result: Result<void, RequestFailure>): RelayResult => ({
        result,
        totalTokens: scanner.totalTokens,
        countedTokens: scanner.eventCount,
    });
    for (;;) {
        const chunk = await response.read();
        if (chunk.isErr()) {
            return finish(err(chunk.error));
        }
        if (chunk.value === undefined) {
            if (!scanner.isComplete()) {
                return finish(err({ kind: "truncated", written: true }));
            }
            caller.end();
            return finish(ok());
        }
        const events = scanner.push(chunk.value);
        if (events.isErr()) {
            response.cancel();
            return finish(err({ kind: "answer-too-large", written: true }));
        }
        if (events.value.length > 0) {
            if (!caller.headersSent()) {
                onFirstByte();
                caller.writeHead(response.statusCode, headersForCaller(response.headers));
            }
            const drained = caller.write(events.value);
            if (drained) {
                await drained;
            }
        }
    }
}

async function relayBody(
    response: UpstreamResponse,
    caller: CallerResponse,
    maxBufferedBytes: number,
    onFirstByte: () => void,
): Promise<RelayResult> {
    const bufferedChunks: Uint8Array[] = [];
    let sizeBytes = 0;
    const finish = (result: Result<void, RequestFailure>, totalTokens?: number): RelayResult => ({
        result,
        totalTokens,
        countedTokens: Math.ceil(sizeBytes / constants.bytesPerToken),
    });
    for (;;) {
        const chunk = await response.read();
        if (chunk.isErr()) {
            return finish(err(chunk.error));
        }
        if (chunk.value === undefined) {
            break;
        }
        if (sizeBytes === 0) {
            onFirstByte();
        }
        sizeBytes += chunk.value.length;
        bufferedChunks.push(chunk.value);
        if (sizeBytes > maxBufferedBytes) {
            if (!caller.headersSent()) {
                caller.writeHead(response.statusCode, headersForCaller(response.headers));
            }
            await caller.write(Buffer.concat(bufferedChunks.splice(0)));
        }
    }
    // Without a length or chunks, the end of the body is indistinguishable from a broken connection.
    if (!response.isFramed) {
        return finish(err({ kind: "truncated", written: true }));
    }
    if (caller.headersSent()) {
        caller.end();
        return finish(ok());
    }
    const body = Buffer.concat(bufferedChunks);
    caller.send(response.statusCode, headersForCaller(response.headers), body);
    return finish(ok(), readTotalTokens(body.toString("utf8")));
}
