import { err, ok, type Result } from "neverthrow";
import { once } from "node:events";
import * as http from "node:http";
import { text as readText } from "node:stream/consumers";

/** JSON text from the configuration service, or an error message for the operator. */
export type PlatformResult = Result<string, string>;

const timeoutMs = 5_000;

/** Reads the published document. */
export function fetchDocument(platformUrl: string | undefined): Promise<PlatformResult> {
    return callPlatform(platformUrl, "GET");
}

/** Submits a document. The configuration service rejects a version that is not higher than the published one. */
export function submitDocument(platformUrl: string | undefined, text: string): Promise<PlatformResult> {
    return callPlatform(platformUrl, "PUT", text);
}

async function callPlatform(platformUrl: string | undefined, method: string, body?: string): Promise<PlatformResult> {
    if (platformUrl === undefined) {
        return err(
            "No platform is configured. Start the console with --platform URL, or open a file and download the result.",
        );
    }
    try {
        const { statusCode, text } = await sendRequest(new URL("/v1/document", platformUrl), method, body);
        const succeeded = statusCode >= 200 && statusCode < 300;
        return succeeded ? ok(text || "{}") : err(`The platform responded with status ${statusCode}: ${text}`);
    }
    catch (error) {
        return err(`Request to the platform at ${platformUrl} failed: ${(error as Error).message}`);
    }
}

async function sendRequest(
    url: URL,
    method: string,
    body: string | undefined,
): Promise<{ statusCode: number; text: string; }> {
    const request = http.request(url, {
        method,
        signal: AbortSignal.timeout(timeoutMs),
        ...(body === undefined ? {} : { headers: { "content-type": "application/json" } }),
    });
    request.end(body);
    const [response] = await once(request, "response") as [http.IncomingMessage];
    return { statusCode: response.statusCode ?? 0, text: await readText(response) };
}
