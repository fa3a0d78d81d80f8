import { build, type Histogram } from "hdr-histogram-js";
import * as http from "node:http";

export interface ChatLoadOptions {
    /** Address of a router or an engine, such as `127.0.0.1:8080`. */
    readonly address: string;
    readonly apiKey: string;
    readonly model: string;
    readonly stream: boolean;
    readonly maxTokens: number;
    readonly concurrency: number;
    readonly requests: number;
}

export interface ChatLoadResult {
    /** Time from the request to the end of its response, in µs. */
    readonly latencyUs: Histogram;
    readonly durationS: number;
    readonly events: number;
    readonly failed: number;
}

const eventPrefix = Buffer.from("data:");

/** Sends a fixed number of chat requests, with `concurrency` requests in flight. */
export async function runChatLoad(options: ChatLoadOptions): Promise<ChatLoadResult> {
    const latencyUs = build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000 });
    const agent = new http.Agent({ keepAlive: true, maxSockets: options.concurrency });
    let started = 0;
    let events = 0;
    let failed = 0;
    const startMs = performance.now();
    const sendSequentially = async (): Promise<void> => {
        while (started < options.requests) {
            started++;
            const sentMs = performance.now();
            const eventCount = await sendChat(options, agent).catch(() => undefined);
            if (eventCount === undefined) {
                failed++;
                continue;
            }
            events += eventCount;
            latencyUs.recordValue(Math.round((performance.now() - sentMs) * 1_000));
        }
    };
    await Promise.all(Array.from({ length: options.concurrency }, sendSequentially));
    agent.destroy();
    return { latencyUs, durationS: (performance.now() - startMs) / 1_000, events, failed };
}

/** Resolves with the number of stream events; rejects if the response is an error or incomplete. */
function sendChat(options: ChatLoadOptions, agent: http.Agent): Promise<number> {
    const body = JSON.stringify({
        model: options.model,
        stream: options.stream,
        max_tokens: options.maxTokens,
        messages: [{ role: "user", content: "Summarise the night shift." }],
    });
    const [host, port] = options.address.split(":");
    return new Promise((resolve, reject) => {
        const request = http.request({
            agent,
            host,
            port,
            method: "POST",
            path: "/v1/chat/completions",
            headers: {
                "authorization": `Bearer ${options.apiKey}`,
                "content-type": "application/json",
                "content-length": Buffer.byteLength(body),
            },
        }, response => {
            let events = 0;
            response.on("data", (chunk: Buffer) => {
                events += countEvents(chunk);
            });
            response.on("error", reject);
            response.on("end", () => {
                if (response.statusCode === 200 && response.complete) {
                    resolve(events);
                }
                else {
                    reject(new Error(`response with status ${response.statusCode} is an error or incomplete`));
                }
            });
        });
        request.on("error", reject);
        request.end(body);
    });
}

function countEvents(chunk: Buffer): number {
    let count = 0;
    for (
        let index = chunk.indexOf(eventPrefix);
        index >= 0;
        index = chunk.indexOf(eventPrefix, index + eventPrefix.length)
    ) {
        count++;
    }
    return count;
}
