import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { type RequestFailure, unwrittenFailure } from "./RequestFailure.js";
import * as constants from "./RouterConstants.js";

/** Reads request bodies into memory, limited in size per request and in total. */
export interface BodyReader {
    /** Reads a whole body. `release` must be called when the bytes are no longer needed. */
    read(request: IncomingMessage, maxBytes: number): Promise<Result<BufferedBody, RequestFailure>>;
}

export interface BufferedBody {
    readonly bytes: Buffer;
    release(): void;
}

export function createBodyReader(maxBufferedBytes: number = constants.maxBufferedBodyBytes): BodyReader {
    let bufferedBytes = 0;
    return {
        async read(request, maxBytes) {
            if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
                return err(tooLarge(maxBytes));
            }
            const chunks: Buffer[] = [];
            let sizeBytes = 0;
            const release = (): void => {
                bufferedBytes -= sizeBytes;
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
                    bufferedBytes += chunk.length;
                    if (sizeBytes > maxBytes) {
                        return fail(tooLarge(maxBytes));
                    }
                    if (bufferedBytes > maxBufferedBytes) {
                        return fail(unwrittenFailure("memory-full"));
                    }
                }
            }
            catch {
                return fail(unwrittenFailure("caller-left"));
            }
            return ok({ bytes: Buffer.concat(chunks), release });
        },
    };
}

function tooLarge(maxBytes: number): RequestFailure {
    return unwrittenFailure("body-too-large", { message: `the request body is larger than ${maxBytes} bytes` });
}
