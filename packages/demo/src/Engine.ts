import type { IncomingMessage, ServerResponse } from "node:http";
import { createEngineBatch, type EngineBatch, type EngineLoad } from "./EngineBatch.js";
import type { EngineFaults, EngineOptions } from "./EngineOptions.js";
import { delay, readJson, readText, sendJson, serveStandIn, waitUntilWritable } from "./StandInServer.js";

interface ChatRequest {
    readonly model: string;
    readonly stream?: boolean;
    readonly stream_options?: { readonly include_usage?: boolean; };
    readonly max_tokens?: number;
    readonly max_completion_tokens?: number;
    readonly messages?: readonly { readonly content?: unknown; }[];
}

interface EngineStats {
    requests: number;
    completed: number;
    cancelled: number;
    refused: number;
    /** Requests with a header that can carry a caller's API key. */
    withKey: number;
}

const credentialHeaders = ["authorization", "x-api-key", "cookie"];
const promptBytesPerToken = 4;
const loadSamplePeriodMs = 100;

/**
 * Runs a stand-in engine:
 *
 * - `POST /v1/chat/completions`, with and without streaming. The first token repeats the last message, so that a test
 *   can tell which request a response belongs to.
 * - `GET /load` reports the phase and the numbers of running and queued requests, with a lag.
 * - `PUT /admin/faults` with `EngineFaults`, `POST /admin/cold`, `GET /admin/stats`: controls and counters for tests.
 */
export function runEngine(options: EngineOptions): void {
    const batch = createEngineBatch(options);
    const laggingLoad = createLaggingLoad(batch, options.loadLagMs);
    const stats: EngineStats = { requests: 0, completed: 0, cancelled: 0, refused: 0, withKey: 0 };
    let faults: EngineFaults = {};

    async function handleChat(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const text = await readText(request);
        stats.requests++;
        stats.withKey += credentialHeaders.some(name => request.headers[name] !== undefined) ? 1 : 0;
        if (faults.crashMarker !== undefined && text.includes(faults.crashMarker)) {
            process.exit(1);
        }
        const releaseSlot = await batch.acquireSlot();
        if (!releaseSlot) {
            if (options.coldOverload === "crash") {
                process.exit(1);
            }
            stats.refused++;
            return sendJson(response, 503, { error: { message: "cold start" } }, { "x-not-run": "1" });
        }
        const completed = await sendCompletion(JSON.parse(text) as ChatRequest, text, response);
        releaseSlot(completed);
        stats.completed += completed ? 1 : 0;
        stats.cancelled += response.destroyed && !completed ? 1 : 0;
    }

    /** Returns whether the complete response was sent. */
    async function sendCompletion(chat: ChatRequest, text: string, response: ServerResponse): Promise<boolean> {
        const tokens = createTokens(chat, options.defaultTokens);
        const promptTokens = Math.ceil(text.length / promptBytesPerToken);
        const usage = {
            prompt_tokens: promptTokens,
            completion_tokens: tokens.length,
            total_tokens: promptTokens + tokens.length,
        };
        const id = "chatcmpl-demo";
        const sent: string[] = [];
        for (const token of tokens) {
            await delay(options.tokenPaceMs);
            if (response.destroyed) {
                return false;
            }
            if (faults.silentAfter !== undefined && sent.length >= faults.silentAfter) {
                await new Promise(resolve => response.once("close", resolve));
                return false;
            }
            if (faults.truncateAfter !== undefined && sent.length >= faults.truncateAfter) {
                sendTruncated(chat, sent, response);
                return false;
            }
            sent.push(token);
            if (chat.stream === true) {
                const choice = { index: 0, delta: { role: "assistant", content: token }, finish_reason: undefined };
                await sendEvent(response, {
                    id,
                    object: "chat.completion.chunk",
                    model: chat.model,
                    choices: [choice],
                });
            }
        }
        if (chat.stream === true) {
            const choices = [{ index: 0, delta: {}, finish_reason: "stop" }];
            await sendEvent(response, { id, object: "chat.completion.chunk", model: chat.model, choices });
            if (chat.stream_options?.include_usage === true) {
                const last = { id, object: "chat.completion.chunk", model: chat.model, choices: [], usage };
                await sendEvent(response, last);
            }
            response.end("data: [DONE]\n\n");
        }
        else {
            const choices = [{
                index: 0,
                message: { role: "assistant", content: sent.join("") },
                finish_reason: "stop",
            }];
            sendJson(response, 200, { id, object: "chat.completion", created: 0, model: chat.model, choices, usage });
        }
        return !response.destroyed;
    }

    function sendTruncated(chat: ChatRequest, sent: readonly string[], response: ServerResponse): void {
        if (chat.stream !== true) {
            response.writeHead(200, { "content-type": "application/json", "content-length": 10_000 });
            response.write(`{"choices":[{"message":{"content":"${sent.join("")}`, () => response.destroy());
            return;
        }
        startEventStream(response);
        return faults.truncateBy === "end" ? void response.end() : void response.write("", () => response.destroy());
    }

    serveStandIn(options.port, async (request, response, url) => {
        switch (`${request.method} ${url.pathname}`) {
            case "POST /v1/chat/completions":
                return handleChat(request, response);
            case "GET /load":
                return sendJson(response, 200, laggingLoad());
            case "PUT /admin/faults":
                faults = await readJson<EngineFaults>(request);
                return sendJson(response, 200, faults);
            case "POST /admin/cold":
                batch.resetToCold();
                return sendJson(response, 200, batch.load());
            case "GET /admin/stats":
                return sendJson(response, 200, { ...stats, ...batch.load(), maxRunning: batch.maxRunning() });
            default:
                return sendJson(response, 404, { error: { message: "no such resource" } });
        }
    });
}

function createTokens(chat: ChatRequest, defaultTokens: number): string[] {
    const count = chat.max_completion_tokens ?? chat.max_tokens ?? defaultTokens;
    const last = chat.messages?.at(-1)?.content;
    const echo = `echo:${typeof last === "string" ? last : JSON.stringify(last ?? "")}`;
    return Array.from({ length: count }, (_, index) => index === 0 ? echo : ` w${index}`);
}

function startEventStream(response: ServerResponse): void {
    if (!response.headersSent) {
        response.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-cache" });
    }
}

async function sendEvent(response: ServerResponse, event: unknown): Promise<void> {
    startEventStream(response);
    if (!response.write(`data: ${JSON.stringify(event)}\n\n`) && !response.destroyed) {
        await waitUntilWritable(response);
    }
}

function createLaggingLoad(batch: EngineBatch, lagMs: number): () => EngineLoad {
    const samples: { readonly atMs: number; readonly load: EngineLoad; }[] = [];
    const sample = (): void => {
        const nowMs = performance.now();
        samples.push({ atMs: nowMs, load: batch.load() });
        // Keeps the newest sample that is at least `lagMs` old, and all later ones.
        const reportedIndex = samples.findLastIndex(({ atMs }) => atMs <= nowMs - lagMs);
        samples.splice(0, Math.max(0, reportedIndex));
    };
    sample();
    setInterval(sample, loadSamplePeriodMs).unref();
    return () => samples[0]?.load ?? batch.load();
}
