import { err, ok, type Result } from "neverthrow";
import * as http from "node:http";
import { gunzipSync } from "node:zlib";

export interface HttpAnswer {
    readonly status: number;
    /** Header names are in lower case. */
    readonly headers: Readonly<Record<string, string | undefined>>;
    readonly body: string;
}

/**
 * Sends a GET request. Never rejects; the error says what went wrong. When `signal` is aborted, the connection must not
 * be used again. A body of more than `maxBytes` bytes is an error.
 */
export type HttpGet = (url: string, maxBytes: number, signal: AbortSignal) => Promise<Result<HttpAnswer, string>>;

/** Requests over Node's `http`, with connections that are kept open between calls. */
export function createHttpGet(): HttpGet {
    let agent = new http.Agent({ keepAlive: true });
    return (url, maxBytes, signal) =>
        new Promise(resolve => {
            const used = agent;
            const fail = (error: Error): void => resolve(err(`GET ${url}: ${error.message}`));
            const request = http.get(url, { agent, signal, headers: { "accept-encoding": "gzip" } }, response => {
                readBody(response, maxBytes).then(body => resolve(ok({ ...headOf(response), body })), fail);
            });
            request.on("error", fail);
            signal.addEventListener("abort", () => {
                // The idle connections may be as silent as the one that was given up.
                used.destroy();
                agent = agent === used ? new http.Agent({ keepAlive: true }) : agent;
            }, { once: true });
        });
}

function headOf(response: http.IncomingMessage): Omit<HttpAnswer, "body"> {
    const headers = Object.fromEntries(
        Object.entries(response.headers).map(([name, value]) => [name, Array.isArray(value) ? value[0] : value]),
    );
    return { status: response.statusCode ?? 0, headers };
}

async function readBody(response: http.IncomingMessage, maxBytes: number): Promise<string> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of response) {
        bytes += (chunk as Buffer).length;
        if (bytes > maxBytes) {
            response.destroy();
            throw new Error(`answer is larger than ${maxBytes} bytes`);
        }
        chunks.push(chunk as Buffer);
    }
    const body = Buffer.concat(chunks);
    const plain = response.headers["content-encoding"] === "gzip"
        ? gunzipSync(body, { maxOutputLength: maxBytes })
        : body;
    return plain.toString();
}
