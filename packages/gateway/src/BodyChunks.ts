import type * as http from "node:http";

/** What happens to the chunks of a body. */
export interface BodyConsumer {
    readonly onChunk?: (chunk: Buffer) => void;
    /** Called for each chunk that lies beyond the maximum size, in place of `onChunk`. */
    readonly onTooLarge: () => void;
}

/** Reads a body and passes its chunks on until it exceeds `maxBytes`. */
export function readChunks(message: http.IncomingMessage, maxBytes: number, consumer: BodyConsumer): void {
    let sizeBytes = 0;
    message.on("data", (chunk: Buffer) => {
        sizeBytes += chunk.length;
        if (sizeBytes > maxBytes) {
            consumer.onTooLarge();
        }
        else {
            consumer.onChunk?.(chunk);
        }
    });
}
