import { err, ok, type Result } from "neverthrow";

/** JSON text from the configuration service, or a message for the operator. */
export type PlatformAnswer = Result<string, string>;

const timeoutMs = 5_000;

/** Reads the published document. */
export function fetchDocument(platformUrl: string | undefined): Promise<PlatformAnswer> {
    return call(platformUrl, { method: "GET" });
}

/** Submits a document. The platform refuses a version that does not grow. */
export function submitDocument(platformUrl: string | undefined, text: string): Promise<PlatformAnswer> {
    return call(platformUrl, { method: "PUT", body: text, headers: { "content-type": "application/json" } });
}

async function call(platformUrl: string | undefined, init: RequestInit): Promise<PlatformAnswer> {
    if (platformUrl === undefined) {
        return err("No platform is configured. Start the console with --platform URL, or open and download files.");
    }
    try {
        const response = await fetch(`${platformUrl}/v1/document`, { ...init, signal: AbortSignal.timeout(timeoutMs) });
        const text = await response.text();
        return response.ok ? ok(text || "{}") : err(`The platform answered ${response.status}: ${text}`);
    }
    catch (error) {
        return err(`The platform at ${platformUrl} does not answer: ${(error as Error).message}`);
    }
}
