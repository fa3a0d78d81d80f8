import * as documents from "@peridotloft/document";
import * as keys from "@peridotloft/keys";
import { readFile } from "node:fs/promises";
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import * as z from "zod";
import { applyAction, type DocumentAction } from "./DocumentActions.js";
import { reviewDraft } from "./DraftReview.js";
import { consolePageHtml } from "./page/PageHtml.js";
import { fetchDocument, type PlatformResult, submitDocument } from "./PlatformDocument.js";

export interface ConsoleOptions {
    /** IPv4 address to listen on. Should be a loopback address, because the console has no log-in. */
    readonly host: string;
    /** TCP port; 0 selects a free port. */
    readonly port: number;
    /** Base URL of the configuration service; if undefined, documents can only be downloaded. */
    readonly platformUrl: string | undefined;
}

export interface ConsoleServer {
    readonly url: string;
    close(): Promise<void>;
}

interface ConsoleResponse {
    readonly statusCode: number;
    readonly contentType: string;
    readonly body: string | Buffer;
}

// A request body holds the draft and the loaded document.
const maxBodyBytes = 2 * documents.maxDocumentBytes + 10_000;

const actionSchema = z.discriminatedUnion("kind", [
    z.strictObject({
        kind: z.literal("set-zone-state"),
        zone: z.string(),
        state: z.enum(["in-service", "leaving", "out"]),
    }),
    z.strictObject({
        kind: z.literal("set-vm-state"),
        vm: z.string(),
        state: z.enum(["in-service", "leaving", "out", "retired"]),
    }),
    z.strictObject({ kind: z.literal("add-key"), id: z.string(), customer: z.string(), sha256: z.string() }),
    z.strictObject({ kind: z.literal("withdraw-key"), id: z.string() }),
]);

const jsonResponse = (statusCode: number, value: unknown): ConsoleResponse => ({
    statusCode,
    contentType: "application/json",
    body: JSON.stringify(value),
});

/** Starts the console. The server is stateless: the page sends the draft and the loaded document with each request. */
export async function startConsole(options: ConsoleOptions): Promise<ConsoleServer> {
    const server = http.createServer((request, response) => {
        void handleRequest(request, options)
            .catch((error: unknown) => jsonResponse(400, { message: String(error) }))
            .then(consoleResponse => sendResponse(response, consoleResponse));
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(options.port, options.host, resolve);
    });
    const { port } = server.address() as AddressInfo;
    return {
        url: `http://${options.host}:${port}/`,
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
}

async function handleRequest(request: http.IncomingMessage, options: ConsoleOptions): Promise<ConsoleResponse> {
    if (!isFromOwnPage(request)) {
        return jsonResponse(403, { message: "The console only accepts requests from its own page." });
    }
    switch (`${request.method} ${request.url}`) {
        case "GET /":
            return { statusCode: 200, contentType: "text/html; charset=utf-8", body: consolePageHtml };
        case "GET /ConsolePage.js":
            return {
                statusCode: 200,
                contentType: "text/javascript",
                body: await readFile(new URL("./page/ConsolePage.js", import.meta.url)),
            };
        case "GET /api/schema":
            return jsonResponse(200, z.toJSONSchema(documents.fleetDocumentSchema, { io: "input" }));
        case "GET /api/document":
            return platformResponse(await fetchDocument(options.platformUrl));
        case "POST /api/review": {
            const { draft, loaded } = await readJson(request);
            return jsonResponse(200, reviewDraft(draft, loaded));
        }
        case "POST /api/action":
            return applyRequestedAction(await readJson(request));
        case "POST /api/issue-key":
            return issueKey(await readJson(request));
        case "POST /api/submit": {
            const { draft, loaded } = await readJson(request);
            const review = reviewDraft(draft, loaded);
            return review.text === undefined
                ? jsonResponse(422, review)
                : platformResponse(await submitDocument(options.platformUrl, review.text));
        }
        default:
            return jsonResponse(404, { message: "Page not found." });
    }
}

function applyRequestedAction(body: Record<string, unknown>): ConsoleResponse {
    const action = actionSchema.safeParse(body["action"]);
    if (!action.success) {
        return jsonResponse(400, { message: z.prettifyError(action.error) });
    }
    return actionResponse(body["draft"], action.data);
}

function actionResponse(draft: unknown, action: DocumentAction, extraFields: object = {}): ConsoleResponse {
    return applyAction(draft as documents.FleetDocumentInput, action).match(
        changedDraft => jsonResponse(200, { draft: changedDraft, ...extraFields }),
        error => jsonResponse(422, { message: `${error.path}: ${error.message}` }),
    );
}

/** Adds a new key to the draft. Only this response contains the key itself; the draft holds its hash. */
function issueKey(body: Record<string, unknown>): ConsoleResponse {
    const apiKey = keys.generateKey();
    const action: DocumentAction = {
        kind: "add-key",
        id: String(body["id"]),
        customer: String(body["customer"]),
        sha256: keys.hashKey(apiKey),
    };
    return actionResponse(body["draft"], action, { apiKey });
}

function platformResponse(result: PlatformResult): ConsoleResponse {
    return result.match(
        text => ({ statusCode: 200, contentType: "application/json", body: text }),
        message => jsonResponse(502, { message }),
    );
}

/**
 * Whether the request comes from the console's own page. Without this check, a page of another site could send requests
 * to loopback through the operator's browser, also after rebinding its host name to loopback.
 */
function isFromOwnPage(request: http.IncomingMessage): boolean {
    const { host = "", origin } = request.headers;
    const isAddress = /^(127\.0\.0\.1|localhost|\d{1,3}(\.\d{1,3}){3})(:\d+)?$/.test(host);
    return isAddress && (origin === undefined || origin === `http://${host}`);
}

async function readJson(request: http.IncomingMessage): Promise<Record<string, unknown>> {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    for await (const chunk of request) {
        sizeBytes += (chunk as Buffer).length;
        if (sizeBytes > maxBodyBytes) {
            throw new Error(`the request is larger than ${maxBodyBytes} bytes`);
        }
        chunks.push(chunk as Buffer);
    }
    const value: unknown = JSON.parse(Buffer.concat(chunks).toString("utf8"));
    if (typeof value !== "object" || !value) {
        throw new Error("the request is not a JSON object");
    }
    return value as Record<string, unknown>;
}

function sendResponse(response: http.ServerResponse, consoleResponse: ConsoleResponse): void {
    response.writeHead(consoleResponse.statusCode, {
        "content-type": consoleResponse.contentType,
        "cache-control": "no-store",
        "content-security-policy": "default-src 'self'; style-src 'self' 'unsafe-inline'; frame-ancestors 'none'",
        "x-content-type-options": "nosniff",
    });
    response.end(consoleResponse.body);
}
