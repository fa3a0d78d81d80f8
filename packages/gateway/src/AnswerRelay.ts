import type * as core from "@peridotloft/core";
import { err, ok, type Result } from "neverthrow";
import type * as http from "node:http";
import type { CallerAnswer } from "./CallerAnswer.js";
import type { EventSplitter } from "./EventSplitter.js";

/** How a relayed stream ended at the upstream's side. */
export type RelayEnd = "complete" | "broken";

/** Reads a whole answer. A body that ends with its connection counts as complete unless the connection was reset. */
export function relayWhole(message: http.IncomingMessage): Promise<Result<Buffer, "broken">> {
    const isWhole = watchEnd(message);
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        message.on("data", (chunk: Buffer) => chunks.push(chunk));
        message.once(
            "end",
            () => void isWhole().then(whole => resolve(whole ? ok(Buffer.concat(chunks)) : err("broken"))),
        );
        message.once("error", () => resolve(err("broken")));
        message.once("close", () => message.readableEnded || resolve(err("broken")));
    });
}

/**
 * Returns a function that tells, when an answer has ended, whether it is whole.
 *
 * Node.js reports a body without a length as complete also when its connection was reset: libuv takes a reset that comes
 * together with the last bytes for the end of the stream. A write tells them apart, since it fails only after a reset.
 */
function watchEnd(message: http.IncomingMessage): () => Promise<boolean> {
    const { socket, headers } = message;
    if (headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined) {
        return () => Promise.resolve(message.complete);
    }
    const ended = new Promise<boolean>(resolve => {
        socket.prependOnceListener("end", () => socket.write(emptyLine, error => resolve(!error)));
        socket.once("error", () => resolve(false));
        socket.once("close", () => resolve(false));
    });
    return async () => message.complete && await ended && !socket.errored;
}

/** Servers skip an empty line before a request; here the other side has closed and reads nothing more. */
const emptyLine = "\r\n";

export interface StreamTarget {
    readonly answer: CallerAnswer;
    /** Sends the head of the answer; called once, before the first event. */
    begin(): void;
    onFirstEvent(): void;
    /** Called when no event has come for too long; ends the relay as broken. Undefined to wait on. */
    readonly stall: StallWatch | undefined;
}

export interface StallWatch {
    readonly clock: core.Clock;
    readonly afterMs: number;
    onStalled(): void;
}

/** Passes complete events to the caller as they arrive. A stream that ends inside an event is broken. */
export function relayStream(
    message: http.IncomingMessage,
    splitter: EventSplitter,
    target: StreamTarget,
): Promise<RelayEnd> {
    const { answer } = target;
    const isWhole = watchEnd(message);
    let first = true;
    return new Promise(done => {
        const watch = startStallTimer(target.stall, () => resolve("broken"));
        const resolve = (end: RelayEnd): void => {
            watch.stop();
            done(end);
        };
        message.on("data", (chunk: Buffer) => {
            watch.restart();
            const events = splitter.push(chunk);
            if (events.length === 0 || answer.hasEnded()) {
                return;
            }
            if (first) {
                first = false;
                target.onFirstEvent();
            }
            if (!answer.hasBegun()) {
                target.begin();
            }
            if (!answer.write(events, () => message.resume())) {
                message.pause();
            }
        });
        const finish = (whole: boolean): void => {
            if (!whole || splitter.rest().length > 0 || answer.hasEnded()) {
                resolve("broken");
                return;
            }
            if (!answer.hasBegun()) {
                target.begin();
            }
            answer.end();
            resolve("complete");
        };
        message.once("end", () => void isWhole().then(finish));
        message.once("error", () => resolve("broken"));
        message.once("close", () => message.readableEnded || resolve("broken"));
    });
}

function startStallTimer(stall: StallWatch | undefined, onStalled: () => void) {
    let stop: () => void = () => undefined;
    const restart = (): void => {
        stop();
        stop = stall
            ? stall.clock.setTimer(stall.afterMs, () => {
                stall.onStalled();
                onStalled();
            })
            : stop;
    };
    restart();
    return { restart, stop: () => stop() };
}
