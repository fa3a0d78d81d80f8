import { err, ok, type Result } from "neverthrow";
import { inspect } from "node:util";
import { exitCodes, requestTimeoutMs } from "./CliConstants.js";
import { type CommandOutput, fail, succeed } from "./CommandOutput.js";

export interface AdminCommandOptions {
    /** URL of a router's admin port, such as `http://127.0.0.1:7201`. */
    readonly url: string;
    readonly page: "status" | "audit";
    /** Prints a JSON value instead of formatted text. */
    readonly json: boolean;
}

/** Fetches a page of a router's admin port and prints it. */
export async function showAdminPage(options: AdminCommandOptions): Promise<CommandOutput> {
    const url = resolvePageUrl(options.url, options.page);
    if (!url) {
        return fail(exitCodes.invalid, [`${options.url}: is not an http URL, such as http://127.0.0.1:7201`]);
    }
    const value = await fetchJson(url);
    return value.match(
        content => succeed(options.json ? JSON.stringify(content) : formatPage(content, options.page)),
        message => fail(exitCodes.unavailable, [`${url.href}: ${message}`]),
    );
}

function resolvePageUrl(base: string, page: string): URL | undefined {
    const url = URL.canParse(base) ? new URL(base) : undefined;
    return url?.protocol === "http:" ? new URL(page, url.href.endsWith("/") ? url : `${url.href}/`) : undefined;
}

async function fetchJson(url: URL): Promise<Result<unknown, string>> {
    try {
        const response = await fetch(url, { signal: AbortSignal.timeout(requestTimeoutMs) });
        const text = await response.text();
        return response.ok ? parseJson(text) : err(`responded with status ${response.status}`);
    }
    catch (error) {
        return err(`does not respond: ${describeFetchError(error as Error)}`);
    }
}

function parseJson(text: string): Result<unknown, string> {
    try {
        return ok(JSON.parse(text));
    }
    catch (error) {
        return err(`did not respond with JSON: ${(error as Error).message}`);
    }
}

function describeFetchError(error: Error): string {
    return error.cause instanceof Error && error.cause.message !== "" ? error.cause.message : error.message;
}

function formatPage(value: unknown, page: AdminCommandOptions["page"]): string {
    if (page === "audit" && Array.isArray(value)) {
        return value.length === 0 ? "no entries" : value.map(entry => formatValue(entry, Infinity)).join("\n");
    }
    return formatValue(value, 100);
}

function formatValue(value: unknown, breakLength: number): string {
    return inspect(value, { depth: 8, colors: process.stdout.isTTY && !process.env["NO_COLOR"], breakLength });
}
