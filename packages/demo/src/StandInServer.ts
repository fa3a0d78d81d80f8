import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { parseArgs } from "node:util";

/** Handles one request to a stand-in. A thrown error becomes a 400 response. */
export type StandInHandler = (request: IncomingMessage, response: ServerResponse, url: URL) => Promise<void> | void;

/** Reads the options of a stand-in process, given as `--options JSON`. */
export function readOptions<T extends object>(defaults: T): T {
    const { values } = parseArgs({ options: { options: { type: "string", default: "{}" } } });
    return { ...defaults, ...JSON.parse(values.options) as Partial<T> };
}

/** Listens on `127.0.0.1` and prints one JSON line with the address, which the parent process waits for. */
export function serveStandIn(port: number, handler: StandInHandler): void {
    const server = createServer((request, response) => {
        const url = new URL(request.url ?? "/", "http://127.0.0.1");
        Promise.resolve()
            .then(() => handler(request, response, url))
            .catch((error: unknown) => sendJson(response, 400, { error: { message: String(error) } }));
    });
    server.on("error", error => {
        process.stderr.write(`cannot listen on 127.0.0.1:${port}: ${error.message}\n`);
        process.exit(1);
    });
    server.listen(port, "127.0.0.1", () => {
        const { port: boundPort } = server.address() as AddressInfo;
        process.stdout.write(`${JSON.stringify({ message: "listening", listen: `127.0.0.1:${boundPort}` })}\n`);
    });
}

export async function readText(request: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}

export async function readJson<T>(request: IncomingMessage): Promise<T> {
    return JSON.parse(await readText(request)) as T;
}

export function sendJson(
    response: ServerResponse,
    statusCode: number,
    value: unknown,
    headers: Readonly<Record<string, string>> = {},
): void {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    const body = JSON.stringify(value);
    response.writeHead(statusCode, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        ...headers,
    });
    response.end(body);
}

/** Resolves when the response can be written to again, or is closed. */
export function waitUntilWritable(response: ServerResponse): Promise<void> {
    return new Promise(resolve => {
        const done = (): void => {
            response.removeListener("drain", done);
            response.removeListener("close", done);
            resolve();
        };
        response.on("drain", done);
        response.on("close", done);
    });
}

export function delay(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
