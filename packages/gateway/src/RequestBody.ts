import { err, ok, type Result } from "neverthrow";
import type * as http from "node:http";
import { readChunks } from "./BodyChunks.js";

/** Reads a body to its end; fails with `disconnected` if the caller disconnects first. */
export function readBody(
    request: http.IncomingMessage,
    maxBytes: number,
): Promise<Result<Buffer, "too-large" | "disconnected">> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        readChunks(request, maxBytes, {
            onChunk: chunk => void chunks.push(chunk),
            onTooLarge: () => resolve(err("too-large")),
        });
        request.once("end", () => resolve(ok(chunks.length === 1 && chunks[0] ? chunks[0] : Buffer.concat(chunks))));
        request.once("close", () => resolve(err("disconnected")));
        request.once("error", () => resolve(err("disconnected")));
    });
}
