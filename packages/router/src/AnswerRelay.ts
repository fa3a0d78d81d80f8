import { err, ok, type Result } from "neverthrow";
import { type CallerResponse, isEventStreamType } from "./CallerResponse.js";
import { createEventScanner, readTotalTokens } from "./EventScanner.js";
import { findHeader, headersForCaller } from "./HeaderUtils.js";
import type { RequestFailure } from "./RequestFailure.js";
import * as constants from "./RouterConstants.js";
import type { UpstreamAnswer } from "./UpstreamCall.js";

/** What an answer turned out to be. */
export interface Relayed {
    /** Fails when the answer is not complete; then the caller's answer has not been ended. */
    readonly result: Result<void, RequestFailure>;
    /** Tokens of prompt and answer by the usage block, if there was one. */
    readonly totalTokens: number | undefined;
    /** Generated tokens as counted or estimated here. */
    readonly countedTokens: number;
}

/**
 * Passes an answer to the caller, no faster than the caller takes it.
 *
 * @param isEngine whether event streams must end with `[DONE]`.
 * @param onFirstByte called when the body begins.
 */
export function relayAnswer(
    answer: UpstreamAnswer,
    caller: CallerResponse,
    isEngine: boolean,
    onFirstByte: () => void,
): Promise<Relayed> {
    const isEventStream = isEventStreamType(findHeader(answer.headers, "content-type"));
    return isEventStream && isEngine
        ? relayEvents(answer, caller, onFirstByte)
        : relayWhole(answer, caller, isEventStream ? 0 : constants.maxHeldAnswerBytes, onFirstByte);
}

async function relayEvents(
    answer: UpstreamAnswer,
    caller: CallerResponse,
    onFirstByte: () => void,
): Promise<Relayed> {
    const scanner = createEventScanner();
    const finish = (result: Result<void, RequestFailure>): Relayed => ({
        result,
        totalTokens: scanner.totalTokens,
        countedTokens: scanner.eventCount,
    });
    for (;;) {
        const chunk = await answer.read();
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
            answer.cancel();
            return finish(err({ kind: "answer-too-large", written: true }));
        }
        if (events.value.length > 0) {
            if (!caller.hasBegun()) {
                onFirstByte();
                caller.begin(answer.statusCode, headersForCaller(answer.headers));
            }
            const drained = caller.write(events.value);
            if (drained) {
                await drained;
            }
        }
    }
}

async function relayWhole(
    answer: UpstreamAnswer,
    caller: CallerResponse,
    maxHeldBytes: number,
    onFirstByte: () => void,
): Promise<Relayed> {
    const held: Uint8Array[] = [];
    let sizeBytes = 0;
    const finish = (result: Result<void, RequestFailure>, totalTokens?: number): Relayed => ({
        result,
        totalTokens,
        countedTokens: Math.ceil(sizeBytes / constants.bytesPerToken),
    });
    for (;;) {
        const chunk = await answer.read();
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
        held.push(chunk.value);
        if (sizeBytes > maxHeldBytes) {
            if (!caller.hasBegun()) {
                caller.begin(answer.statusCode, headersForCaller(answer.headers));
            }
            await caller.write(Buffer.concat(held.splice(0)));
        }
    }
    // The end of such an answer cannot be told from a connection that broke.
    if (!answer.isFramed) {
        return finish(err({ kind: "truncated", written: true }));
    }
    if (caller.hasBegun()) {
        caller.end();
        return finish(ok());
    }
    const body = Buffer.concat(held);
    caller.send(answer.statusCode, headersForCaller(answer.headers), body);
    return finish(ok(), readTotalTokens(body.toString("utf8")));
}
