import * as http from "node:http";
import type { SiteCustomer } from "./FleetSites.js";

/** Outcome of one chat request. */
export interface ChatOutcome {
    readonly customer: SiteCustomer;
    readonly sentMs: number;
    readonly endMs: number;
    /** Time of the first event, or undefined if there was none. */
    readonly firstEventMs: number | undefined;
    readonly tokens: number;
    /** Status of the last attempt; 0 if its connection broke before a response. */
    readonly statusCode: number;
    /** Code of the refusal or failure; empty for a complete response. */
    readonly code: string;
    /** Whether the response was complete and belonged to this request. */
    readonly isComplete: boolean;
    readonly attempts: number;
}

export interface ChatCall {
    readonly customer: SiteCustomer;
    readonly text: string;
    readonly tokens: number;
    /** Chooses the address for one attempt. */
    pickRouter(): string;
    /** Receives the service in tokens as it arrives; the prompt counts with the first event. */
    onService(cost: number): void;
}

interface Attempt {
    readonly statusCode: number;
    readonly code: string;
    readonly isComplete: boolean;
    readonly firstEventMs: number | undefined;
}

export interface FleetCaller {
    /** Sends a request, and retries it through another router if the connection breaks. Never rejects. */
    send(call: ChatCall): Promise<ChatOutcome>;
    close(): void;
}

const maxAttempts = 4;
const bytesPerToken = 4;
const eventPrefix = "data:";

export function createFleetCaller(model: string): FleetCaller {
    const agent = new http.Agent({ keepAlive: true, maxFreeSockets: 1_024 });

    function attempt(call: ChatCall): Promise<Attempt> {
        const body = JSON.stringify({
            model,
            stream: true,
            max_tokens: call.tokens,
            messages: [{ role: "user", content: call.text }],
        });
        const [host, port] = call.pickRouter().split(":");
        const headers = {
            "authorization": `Bearer ${call.customer.apiKey}`,
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
        };
        return new Promise(resolve => {
            const request = http.request(
                { agent, host, port, method: "POST", path: "/v1/chat/completions", headers },
                response => {
                    let text = "";
                    let countedTokens = 0;
                    let firstEventMs: number | undefined;
                    const statusCode = response.statusCode ?? 0;
                    const finish = (code: string, isComplete: boolean): void =>
                        resolve({ statusCode, code, isComplete, firstEventMs });
                    response.setEncoding("utf8").on("data", (chunk: string) => {
                        text += chunk;
                        if (statusCode !== 200) {
                            return;
                        }
                        if (firstEventMs === undefined) {
                            firstEventMs = performance.now();
                            call.onService(Math.ceil(body.length / bytesPerToken));
                        }
                        const addedTokens = Math.min(call.tokens - countedTokens, chunk.split(eventPrefix).length - 1);
                        countedTokens += addedTokens;
                        call.onService(addedTokens);
                    });
                    response.on("error", () => finish("broken-answer", false));
                    response.on("end", () => {
                        const hasOwnEcho = text.includes(`"echo:${call.text}"`);
                        const isComplete = statusCode === 200 && text.trimEnd().endsWith("data: [DONE]")
                            && countedTokens === call.tokens && hasOwnEcho;
                        finish(isComplete ? "" : failureCodeOf(statusCode, text), isComplete);
                    });
                },
            );
            request.on(
                "error",
                () => resolve({ statusCode: 0, code: "broken-connection", isComplete: false, firstEventMs: undefined }),
            );
            request.end(body);
        });
    }

    return {
        async send(call) {
            const sentMs = performance.now();
            let last = await attempt(call);
            let attempts = 1;
            while (!last.isComplete && last.code.startsWith("broken") && attempts < maxAttempts) {
                last = await attempt(call);
                attempts++;
            }
            const { customer, tokens } = call;
            return { customer, tokens, sentMs, endMs: performance.now(), attempts, ...last };
        },
        close: () => agent.destroy(),
    };
}

function failureCodeOf(statusCode: number, text: string): string {
    const code = /"code":"([^"]+)"/.exec(text)?.[1];
    return code ?? (statusCode === 200 ? "incomplete-answer" : `status-${statusCode}`);
}
