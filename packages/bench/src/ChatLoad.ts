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
    /** Time from the request to the end of its answer, in µs. */
    readonly latencyUs: Histogram;
    readonly durationS: number;
    readonly events: number;
    readonly failed: number;
}

const eventMark = Buffer.from("data:");

/** Sends a fixed number of chat requests from `concurrency` loops, each waiting for its answer. */
export async function runChatLoad(options: ChatLoadOptions): Promise<ChatLoadResult> {
    const latencyUs = build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000 });
    const agent = new http.Agent({ keepAlive: true, maxSockets: options.concurrency });
    let started = 0;
    let events = 0;
    let failed = 0;
    const startMs = performance.now();
    const loop = async (): Promise<void> => {
        while (started < options.requests) {
            started++;
            const sentMs = performance.now();
            const received = await sendChat(options, agent).catch(() => undefined);
            if (received === undefined) {
                failed++;
                continue;
            }
            events += received;
            latencyUs.recordValue(Math.round((performance.now() - sentMs) * 1_000));
        }
    };
    await Promise.all(Array.from({ length: options.concurrency }, loop));
    agent.destroy();
    return { latencyUs, durationS: (performance.now() - startMs) / 1_000, events, failed };
}

/** Resolves with the number of stream events; rejects when the answer is an error or breaks off. */
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
                events += countMarks(chunk);
            });
            response.on("error", reject);
            response.on("end", () => {
                if (response.statusCode === 200 && response.complete) {
                    resolve(events);
                }
                else {
                    reject(new Error(`status ${response.statusCode}`));
                }
            });
        });
        request.on("error", reject);
        request.end(body);
    });
}

function countMarks(chunk: Buffer): number {
    let count = 0;
    for (let at = chunk.indexOf(eventMark); at >= 0; at = chunk.indexOf(eventMark, at + eventMark.length)) {
        count++;
    }
    return count;
}
