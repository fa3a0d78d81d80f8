import * as core from "@peridotloft/core";
import { err, ok, type Result } from "neverthrow";
import type * as http from "node:http";
import { readChunks } from "./BodyChunks.js";
import type { CallerResponse } from "./CallerResponse.js";
import type { EventSplitter } from "./EventSplitter.js";
import { type BufferMemory, createWholeBody } from "./WholeBody.js";

/** How the relay of a stream ended: the upstream finished it or not, or the relay was stopped. */
export type RelayOutcome = "complete" | "broken" | "stopped";

/** The relay of one stream. */
export interface StreamRelay {
    readonly outcome: Promise<RelayOutcome>;
    /** Passes nothing more on, unless the stream has ended already. Resolves with the outcome. */
    stop(): Promise<RelayOutcome>;
}

/** Maximum size in bytes of a response that is read whole, and of an event. */
export const maxResponseBytes = 1_000_000;

/** Why a response was not read whole; `released` if its memory was released, or not granted in time. */
export type ResponseFailure = "broken" | "too-large" | "released";

/**
 * Reads a response to its end, or closes its connection if that fails. A body that is delimited by the close of its connection
 * counts as complete unless the connection was reset. Nothing is read, and the upstream has to wait, while there is no memory.
 *
 * @param memory by default, none is reserved.
 */
export async function readCompleteResponse(
    message: http.IncomingMessage,
    memory: BufferMemory = unlimitedMemory,
): Promise<Result<Buffer, ResponseFailure>> {
    const checkComplete = trackCompleteness(message);
    const body = createWholeBody(message, maxResponseBytes, memory);
    const read = await body.read();
    if (read.isOk()) {
        return await checkComplete() ? ok(body.bytes()) : err("broken");
    }
    message.destroy();
    return err(read.error === "too-large" ? "too-large" : read.error === "disconnected" ? "broken" : "released");
}

const unlimitedMemory: BufferMemory = {
    undeclaredSizes: [16 * 1024],
    grow: () => undefined,
    shrinkTo: () => undefined,
    release: () => undefined,
};

/** Reads and discards a response, so that its connection can be reused, unless the response exceeds the maximum size. */
export function discardResponse(message: http.IncomingMessage): void {
    readChunks(message, maxResponseBytes, { onTooLarge: () => void message.destroy() });
}

/** Responses are tracked from the first call on, since the connection may end before the relay begins. */
const completenessChecks = new WeakMap<http.IncomingMessage, () => Promise<boolean>>();

/**
 * Returns a function that reports whether a response is complete. Call it once the response has ended.
 *
 * Node.js reports a body without a declared length as complete even if its connection was reset, because libuv treats a
 * reset that arrives together with the last bytes as the end of the stream. A write distinguishes the two cases: it
 * fails only after a reset.
 */
function trackCompleteness(message: http.IncomingMessage): () => Promise<boolean> {
    const check = completenessChecks.get(message) ?? startTracking(message);
    completenessChecks.set(message, check);
    return check;
}

function startTracking(message: http.IncomingMessage): () => Promise<boolean> {
    const { socket } = message;
    if (core.hasFramedBody(message)) {
        return () => Promise.resolve(message.complete);
    }
    const ended = new Promise<boolean>(resolve => {
        socket.prependOnceListener("end", () => socket.write(resetProbe, error => resolve(!error)));
        socket.once("error", () => resolve(false));
        socket.once("close", () => resolve(false));
    });
    return async () => message.complete && await ended && !socket.errored;
}

/**
 * Bytes of the write that detects a reset. They are harmless: servers skip an empty line before a request, and an
 * upstream that has closed its side reads nothing more.
 */
const resetProbe = "\r\n";

export interface StreamTarget {
    readonly callerResponse: CallerResponse;
    /** Sends the head of the response; called once, before the first event. */
    begin(): void;
    onFirstEvent(): void;
    /** Watches the gaps between chunks. Undefined for no watch. */
    readonly stallWatch: StallWatch | undefined;
}

export interface StallWatch {
    readonly clock: core.Clock;
    readonly timeoutMs: number;
    /** Called each time that nothing has arrived for `timeoutMs` more, although the caller was ready to receive. */
    onStalled(): void;
    /** Called for each chunk. */
    onProgress(): void;
}

/**
 * Relays complete events to the caller as they arrive. A stream that ends within an event, or whose event exceeds the maximum
 * size, counts as broken, and so does an unframed one without any event.
 */
export function relayStream(
    message: http.IncomingMessage,
    splitter: EventSplitter,
    target: StreamTarget,
): StreamRelay {
    const { callerResponse } = target;
    const checkComplete = trackCompleteness(message);
    let awaitingFirstEvent = true;
    let hasSettled = false;
    let stop: () => void = () => undefined;
    const outcome = new Promise<RelayOutcome>(done => {
        const stallTimer = startStallTimer(target.stallWatch);
        const resolve = (result: RelayOutcome): void => {
            hasSettled = true;
            stallTimer.stop();
            done(result);
        };
        stop = () => {
            if (!message.readableEnded) {
                resolve("stopped");
            }
        };
        message.on("data", (chunk: Buffer) => {
            if (hasSettled) {
                return;
            }
            stallTimer.restart();
            target.stallWatch?.onProgress();
            const events = splitter.push(chunk);
            if (splitter.partialEvent().length > maxResponseBytes) {
                resolve("broken");
                message.destroy();
                return;
            }
            if (events.length === 0 || callerResponse.hasEnded()) {
                return;
            }
            if (awaitingFirstEvent) {
                awaitingFirstEvent = false;
                target.onFirstEvent();
            }
            if (!callerResponse.hasBegun()) {
                target.begin();
            }
            const resume = (): void => {
                if (!hasSettled) {
                    stallTimer.restart();
                }
                message.resume();
            };
            if (!callerResponse.write(events, resume)) {
                stallTimer.stop();
                message.pause();
            }
        });
        const finish = (isComplete: boolean): void => {
            if (hasSettled) {
                return;
            }
            // An upstream that crashes right after the head of an unframed response may end its connection without a reset.
            const isCutOff = !core.hasFramedBody(message) && !callerResponse.hasBegun();
            if (!isComplete || isCutOff || splitter.partialEvent().length > 0 || callerResponse.hasEnded()) {
                resolve("broken");
                return;
            }
            if (!callerResponse.hasBegun()) {
                target.begin();
            }
            callerResponse.end();
            resolve("complete");
        };
        message.once("end", () => void checkComplete().then(finish));
        message.once("error", () => resolve("broken"));
        message.once("close", () => message.readableEnded || resolve("broken"));
    });
    return {
        outcome,
        stop() {
            stop();
            return outcome;
        },
    };
}

/** Resolves once the first bytes of a body can be read, or the whole body is empty; with false if neither happens. */
export function awaitFirstBytes(message: http.IncomingMessage): Promise<boolean> {
    const checkComplete = trackCompleteness(message);
    return new Promise(resolve => {
        const onReadable = (): void => settle(message.readableLength > 0 || checkComplete());
        const onClose = (): void => settle(false);
        const settle = (hasBytes: boolean | Promise<boolean>): void => {
            message.off("readable", onReadable).off("close", onClose);
            resolve(hasBytes);
        };
        message.on("readable", onReadable).on("close", onClose);
    });
}

function startStallTimer(watch: StallWatch | undefined) {
    let stop: () => void = () => undefined;
    const restart = (): void => {
        stop();
        stop = watch
            ? watch.clock.setTimer(watch.timeoutMs, () => {
                restart();
                watch.onStalled();
            })
            : stop;
    };
    restart();
    return { restart, stop: () => stop() };
}
