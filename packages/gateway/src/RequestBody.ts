import { err, ok, type Result } from "neverthrow";
import type * as http from "node:http";
import { type BodyMemory, type BodyMemoryFull, smallBodyBytes } from "./BodyMemory.js";

/** Why a body was not read: it is too large, its caller has left, it was released, or there is no memory for it. */
export type BodyFailure = "too-large" | "disconnected" | "released" | BodyMemoryFull;

/** The body of a request. What it holds counts in the memory for bodies until it is released. */
export interface RequestBody {
    /** Reads the body to its end. Nothing is read, and the caller has to wait, while there is no memory for it. */
    read(): Promise<Result<void, BodyFailure>>;
    /** The whole body; empty once it has been released. */
    bytes(): Buffer;
    /** Stops reading and drops what was read. */
    release(): void;
}

export interface RequestBodyOptions {
    readonly memory: BodyMemory;
    readonly maxBytes: number;
    /** Time in ms for which the caller may have to wait for memory now. */
    readonly maxWaitMs: () => number;
}

/** Sizes in bytes to which the memory of a body without a declared length grows before it may reach the maximum. */
const undeclaredSizes = [16 * 1024, smallBodyBytes];
const empty: Buffer = Buffer.alloc(0);

export function createRequestBody(
    request: http.IncomingMessage,
    { memory, maxBytes, maxWaitMs }: RequestBodyOptions,
): RequestBody {
    const reservation = memory.openReservation();
    const declaredBytes = declaredLengthOf(request);
    let buffer = empty;
    let sizeBytes = 0;
    let isReleased = false;
    let stop: (failure: BodyFailure) => void = () => undefined;

    /** Reserves memory for a body of this size. */
    async function grow(capacityBytes: number): Promise<Result<void, BodyFailure>> {
        const smallBytes = Math.min(capacityBytes, smallBodyBytes);
        // What arrives before the rest is reserved is in memory as well.
        let result = await reservation.reserve(Math.max(0, smallBytes - buffer.length), 0);
        if (result.isOk() && capacityBytes > smallBytes) {
            result = await reservation.reserve(capacityBytes - Math.max(smallBytes, buffer.length), maxWaitMs());
        }
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
        return new Promise(resolve => {
            const finish = (result: Result<void, BodyFailure>): void => {
                request.off("data", onData).off("end", onEnd).off("close", onBroken).off("error", onBroken);
                stop = () => undefined;
                resolve(result);
            };
            const growAndAppend = async (chunk: Buffer): Promise<void> => {
                request.pause();
                const neededBytes = sizeBytes + chunk.length;
                const capacityBytes = undeclaredSizes.find(size => size >= neededBytes) ?? maxBytes;
                const grown = await grow(Math.min(maxBytes, capacityBytes));
                if (grown.isErr()) {
                    finish(grown);
                    return;
                }
                append(chunk);
                request.resume();
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
                trim();
                finish(ok(undefined));
            };
            const onBroken = (): void => finish(err("disconnected"));
            stop = failure => finish(err(failure));
            request.on("data", onData).once("end", onEnd).once("close", onBroken).once("error", onBroken);
        });
    }

    function trim(): void {
        if (sizeBytes < buffer.length / 2) {
            const exact = Buffer.allocUnsafeSlow(sizeBytes);
            buffer.copy(exact, 0, 0, sizeBytes);
            buffer = exact;
            reservation.shrinkTo(sizeBytes);
        }
    }

    return {
        async read() {
            if (declaredBytes !== undefined && declaredBytes > maxBytes) {
                return err("too-large");
            }
            const reserved = await grow(declaredBytes ?? Math.min(maxBytes, undeclaredSizes[0] ?? 0));
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
            reservation.release();
        },
    };
}

/** Length in bytes that a request declares for its body; undefined if it declares none. */
function declaredLengthOf({ headers }: http.IncomingMessage): number | undefined {
    return headers["transfer-encoding"] === undefined ? Number(headers["content-length"] ?? 0) : undefined;
}
