import { err, ok, type Result } from "neverthrow";
import * as http from "node:http";
import { gunzipSync } from "node:zlib";

export interface HttpResponse {
    readonly status: number;
    /** Header names are in lower case; of repeated headers only the first value is kept. */
    readonly headers: Readonly<Record<string, string | undefined>>;
    readonly body: string;
}

/**
 * Sends a GET request. Never rejects: failures are returned as error messages. After `signal` is aborted, the connection
 * must not be reused. A body of more than `maxBytes` bytes is an error.
 */
export type HttpGet = (url: string, maxBytes: number, signal: AbortSignal) => Promise<Result<HttpResponse, string>>;

/** Creates an {@link HttpGet} over Node's `http` with keep-alive connections. */
export function createHttpGet(): HttpGet {
    let agent = new http.Agent({ keepAlive: true });
    return (url, maxBytes, signal) =>
        new Promise(resolve => {
            const currentAgent = agent;
            const fail = (error: Error): void => resolve(err(`GET ${url}: ${error.message}`));
            const request = http.get(url, { agent, signal, headers: { "accept-encoding": "gzip" } }, response => {
                readBody(response, maxBytes).then(body => resolve(ok({ ...statusAndHeadersOf(response), body })), fail);
            });
            request.on("error", fail);
            signal.addEventListener("abort", () => {
                // The agent's idle connections may be as unresponsive as the aborted one.
                currentAgent.destroy();
                agent = agent === currentAgent ? new http.Agent({ keepAlive: true }) : agent;
            }, { once: true });
        });
}

function statusAndHeadersOf(response: http.IncomingMessage): Omit<HttpResponse, "body"> {
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
            throw new Error(`response is larger than ${maxBytes} bytes`);
        }
        chunks.push(chunk as Buffer);
    }
    const body = Buffer.concat(chunks);
    const decoded = response.headers["content-encoding"] === "gzip"
        ? gunzipSync(body, { maxOutputLength: maxBytes })
        : body;
    return decoded.toString();
}
