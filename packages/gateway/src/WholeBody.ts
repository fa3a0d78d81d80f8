import { err, ok, type Result } from "neverthrow";
import type * as http from "node:http";
import type { BodyMemoryFull } from "./BodyMemory.js";

/** Why a body was not read: it is too large, its sender has left, it was released, or there is no memory for it. */
export type BodyFailure = "too-large" | "disconnected" | "released" | BodyMemoryFull;

/** A body that is read into one buffer. What it holds counts in the memory for bodies until it is released. */
export interface WholeBody {
    /** Reads the body to its end. Nothing is read, and the sender has to wait, while there is no memory for it. */
    read(): Promise<Result<void, BodyFailure>>;
    /** The whole body; empty once it has been released. */
    bytes(): Buffer;
    /** Stops reading and drops what was read. */
    release(): void;
}

/** The memory of one body, as its buffer grows. */
export interface BufferMemory {
    /** Sizes in bytes to which the buffer of a body without a declared length grows before it may reach the maximum. */
    readonly undeclaredSizes: readonly number[];
    /** Reserves memory for a buffer of `toBytes` in place of one of `fromBytes`. Undefined if it is reserved already. */
    grow(fromBytes: number, toBytes: number): Promise<Result<void, BodyMemoryFull>> | undefined;
    /** Returns the bytes beyond `bytes`. */
    shrinkTo(bytes: number): void;
    release(): void;
}

const empty: Buffer = Buffer.alloc(0);

export function createWholeBody(message: http.IncomingMessage, maxBytes: number, memory: BufferMemory): WholeBody {
    let buffer = empty;
    let sizeBytes = 0;
    let isReleased = false;
    let stop: (failure: BodyFailure) => void = () => undefined;

    async function grow(capacityBytes: number): Promise<Result<void, BodyFailure>> {
        const result = await (memory.grow(buffer.length, capacityBytes) ?? ok(undefined));
        if (isReleased) {
            return err("released");
        }
        if (result.isOk()) {
            const larger = Buffer.allocUnsafeSlow(capacityBytes);
            buffer.copy(larger, 0, 0, sizeBytes);
            buffer = larger;
        }
        return result;
    }

    function append(chunk: Buffer): void {
        chunk.copy(buffer, sizeBytes);
        sizeBytes += chunk.length;
    }

    function readToEnd(): Promise<Result<void, BodyFailure>> {
        // Its events may have passed while it waited for memory.
        if (message.destroyed && !message.readableEnded) {
            return Promise.resolve(err("disconnected"));
        }
        return new Promise(resolve => {
            let isGrowing = false;
            const finish = (result: Result<void, BodyFailure>): void => {
                message.off("data", onData).off("end", onEnd).off("close", onBroken).off("error", onBroken);
                stop = () => undefined;
                resolve(result);
            };
            const growAndAppend = async (chunk: Buffer): Promise<void> => {
                isGrowing = true;
                message.pause();
                const neededBytes = sizeBytes + chunk.length;
                const capacityBytes = memory.undeclaredSizes.find(size => size >= neededBytes) ?? maxBytes;
                const grown = await grow(Math.min(maxBytes, capacityBytes));
                if (grown.isErr()) {
                    finish(grown);
                    return;
                }
                append(chunk);
                isGrowing = false;
                if (message.readableEnded) {
                    onEnd();
                    return;
                }
                message.resume();
            };
            const onData = (chunk: Buffer): void => {
                const neededBytes = sizeBytes + chunk.length;
                if (neededBytes > maxBytes) {
                    finish(err("too-large"));
                }
                else if (neededBytes > buffer.length) {
                    void growAndAppend(chunk);
                }
                else {
                    append(chunk);
                }
            };
            const onEnd = (): void => {
                // Node.js ends a message right after its last chunk, even if that paused it.
                if (isGrowing) {
                    return;
                }
                trim();
                finish(ok(undefined));
            };
            const onBroken = (): void => message.readableEnded ? undefined : finish(err("disconnected"));
            stop = failure => finish(err(failure));
            message.on("data", onData).once("end", onEnd).once("close", onBroken).once("error", onBroken);
        });
    }

    function trim(): void {
        if (sizeBytes < buffer.length / 2) {
            const exact = Buffer.allocUnsafeSlow(sizeBytes);
            buffer.copy(exact, 0, 0, sizeBytes);
            buffer = exact;
        }
        memory.shrinkTo(buffer.length);
    }

    return {
        async read() {
            const knownBytes = knownLengthOf(message);
            if (knownBytes !== undefined && knownBytes > maxBytes) {
                return err("too-large");
            }
            const reserved = await grow(knownBytes ?? Math.min(maxBytes, memory.undeclaredSizes[0] ?? maxBytes));
            if (reserved.isErr()) {
                return reserved;
            }
            return readToEnd();
        },
        bytes: () => buffer.subarray(0, sizeBytes),
        release() {
            isReleased = true;
            stop("released");
            buffer = empty;
            sizeBytes = 0;
            memory.release();
        },
    };
}

/**
 * Length in bytes of a body that has arrived, or that its message declares; undefined if it declares none. A request without a
 * length has no body, a response without one ends with its connection.
 */
function knownLengthOf({ complete, readableLength, headers, statusCode }: http.IncomingMessage): number | undefined {
    if (complete) {
        return readableLength;
    }
    const declared = headers["content-length"];
    const isResponse = typeof statusCode === "number";
    return headers["transfer-encoding"] !== undefined || (isResponse && declared === undefined)
        ? undefined
        : Number(declared ?? 0);
}
