import * as demo from "@peridotloft/demo";
import { once } from "node:events";
import { type ClientRequest, type IncomingMessage, request as httpRequest } from "node:http";

/** A response as received by the client. */
export interface Received {
    readonly statusCode: number;
    readonly headers: IncomingMessage["headers"];
    readonly text: string;
    /** Whether the response is complete according to HTTP framing. */
    readonly complete: boolean;
}

export interface RequestOptions {
    readonly method?: string;
    readonly key?: string | undefined;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string | Buffer;
}

/** A request whose response headers have been received. */
export interface OpenStream {
    readonly request: ClientRequest;
    readonly response: IncomingMessage;
    /** Resolves when the response ends or its connection breaks. */
    readonly received: Promise<Received>;
    /** Resolves when the response contains the text. */
    contains(text: string): Promise<void>;
}

export function chatBody(content: string, fields: Readonly<Record<string, unknown>> = {}): string {
    return JSON.stringify({ model: demo.demoModel, messages: [{ role: "user", content }], ...fields });
}

/** Sends a request and resolves when the response headers have been received. */
export async function open(listen: string, path: string, options: RequestOptions = {}): Promise<OpenStream> {
    const key = "key" in options ? options.key : demo.demoKey;
    const request = httpRequest(`http://${listen}${path}`, {
        method: options.method ?? "POST",
        agent: false,
        // Without `connection: keep-alive`, a request without an agent asks the router to close the connection.
        headers: {
            connection: "keep-alive",
            ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
            ...options.headers,
        },
    });
    request.end(options.body);
    const [response] = await once(request, "response") as [IncomingMessage];
    request.on("error", () => undefined);
    let text = "";
    const waiters = new Set<() => void>();
    response.setEncoding("utf8");
    response.on("data", (part: string) => {
        text += part;
        waiters.forEach(check => check());
    });
    response.on("error", () => undefined);
    const received = new Promise<void>(resolve => response.once("close", resolve)).then(() => ({
        statusCode: response.statusCode ?? 0,
        headers: response.headers,
        text,
        complete: response.complete,
    }));
    const contains = (wanted: string) =>
        new Promise<void>((resolve, reject) => {
            const check = (): void => {
                if (text.includes(wanted)) {
                    waiters.delete(check);
                    resolve();
                }
            };
            waiters.add(check);
            check();
            void received.then(() => reject(new Error(`the response ended without '${wanted}': ${text}`)));
        });
    return { request, response, received, contains };
}

export async function send(listen: string, path: string, options: RequestOptions = {}): Promise<Received> {
    return (await open(listen, path, options)).received;
}

export function chat(listen: string, content: string, fields: Readonly<Record<string, unknown>> = {}) {
    return send(listen, "/v1/chat/completions", { body: chatBody(content, fields) });
}

/** Requests a streamed response of at most `maxTokens` tokens. */
export function openChat(listen: string, content: string, maxTokens: number, key: string = demo.demoKey) {
    const body = chatBody(content, { stream: true, max_tokens: maxTokens });
    return open(listen, "/v1/chat/completions", { body, key });
}

/** Calls the admin endpoint of a stand-in process, or any other endpoint that returns JSON. */
export async function control<T = unknown>(listen: string, path: string, method = "GET", value?: unknown): Promise<T> {
    const response = await fetch(`http://${listen}${path}`, {
        method,
        ...(value === undefined ? {} : { body: JSON.stringify(value) }),
    });
    return await response.json() as T;
}

/** Polls until `check` returns true; for state of another process that emits no event. Rejects after 5 s. */
export async function eventually(what: string, check: () => Promise<boolean>): Promise<void> {
    const endMs = performance.now() + 5_000;
    while (!await check()) {
        if (performance.now() > endMs) {
            throw new Error(`not within 5 s: ${what}`);
        }
        await new Promise(resolve => setTimeout(resolve, 20));
    }
}
