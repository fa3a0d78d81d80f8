import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { notWritten, type RequestFailure } from "./RequestFailure.js";
import * as constants from "./RouterConstants.js";

/** Reads request bodies into memory within a bound for each and one for all together. */
export interface BodyReader {
    /** Reads a whole body; call `release` when the bytes are no longer needed. */
    read(request: IncomingMessage, maxBytes: number): Promise<Result<HeldBody, RequestFailure>>;
}

export interface HeldBody {
    readonly bytes: Buffer;
    release(): void;
}

export function createBodyReader(maxHeldBytes: number = constants.maxHeldBodyBytes): BodyReader {
    let heldBytes = 0;
    return {
        async read(request, maxBytes) {
            if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
                return err(tooLarge(maxBytes));
            }
            const chunks: Buffer[] = [];
            let sizeBytes = 0;
            const release = (): void => {
                heldBytes -= sizeBytes;
                sizeBytes = 0;
            };
            const fail = (failure: RequestFailure) => {
                release();
                return err(failure);
            };
            try {
                for await (const chunk of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
                    chunks.push(chunk);
                    sizeBytes += chunk.length;
                    heldBytes += chunk.length;
                    if (sizeBytes > maxBytes) {
                        return fail(tooLarge(maxBytes));
                    }
                    if (heldBytes > maxHeldBytes) {
                        return fail(notWritten("memory-full"));
                    }
                }
            }
            catch {
                return fail(notWritten("caller-left"));
            }
            return ok({ bytes: Buffer.concat(chunks), release });
        },
    };
}

function tooLarge(maxBytes: number): RequestFailure {
    return notWritten("body-too-large", { message: `the request body is larger than ${maxBytes} bytes` });
}
