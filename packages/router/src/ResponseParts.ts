import type { IncomingMessage } from "node:http";

/** How the body of a response goes on. */
export type ResponsePart =
    | { readonly kind: "bytes"; readonly bytes: Uint8Array; }
    /** The body is complete as far as HTTP shows. */
    | { readonly kind: "end"; }
    /** The connection ended before the body did. */
    | { readonly kind: "broken"; };

/**
 * Returns a function that waits for the next part of a response's body. It is called again only after it has resolved.
 * The connection is read no faster than parts are taken. An async iterator does the same at several times the cost.
 */
export function createPartReader(response: IncomingMessage): () => Promise<ResponsePart> {
    const waiting: Uint8Array[] = [];
    let last: ResponsePart | undefined;
    let resolveNext: ((part: ResponsePart) => void) | undefined;

    function deliver(part: ResponsePart): void {
        const resolve = resolveNext;
        resolveNext = undefined;
        resolve?.(part);
    }

    function finish(part: ResponsePart): void {
        last ??= part;
        deliver(last);
    }

    response.on("data", (bytes: Buffer) => {
        if (resolveNext) {
            deliver({ kind: "bytes", bytes });
            return;
        }
        waiting.push(bytes);
        response.pause();
    });
    response.on("end", () => finish(response.complete ? { kind: "end" } : { kind: "broken" }));
    response.on("error", () => finish({ kind: "broken" }));
    response.on("close", () => finish({ kind: "broken" }));

    return () => {
        const bytes = waiting.shift();
        if (bytes) {
            return Promise.resolve({ kind: "bytes", bytes });
        }
        if (last) {
            return Promise.resolve(last);
        }
        response.resume();
        return new Promise(resolve => resolveNext = resolve);
    };
}
