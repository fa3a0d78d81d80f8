import * as core from "@peridotloft/core";
import * as documents from "@peridotloft/document";
import { err, ok, type Result } from "neverthrow";
import type { HttpGet, HttpResponse } from "./HttpGet.js";
import * as constants from "./PlatformConstants.js";

export interface PublishedText {
    readonly text: string;
    readonly source: string;
}

/** States of VMs as listed by the configuration service; the list may be out of date. */
export type VmList = ReadonlyMap<core.VmId, "live" | "leaving">;

/** HTTP client of the configuration service. After a failed call the next call uses the next URL. */
export interface PlatformClient {
    /** Reads a document newer than `after`, waiting up to `waitMs` for one; ok with undefined if there is none. */
    readDocument(after: number, waitMs: number): Promise<Result<PublishedText | undefined, string>>;
    readVms(): Promise<Result<VmList, string>>;
    /** Aborts pending calls. */
    dispose(): void;
}

export interface PlatformClientOptions {
    readonly clock: core.Clock;
    readonly urls: readonly string[];
    readonly httpGet: HttpGet;
}

export function createPlatformClient({ clock, urls, httpGet }: PlatformClientOptions): PlatformClient {
    let urlIndex = 0;
    const pendingCalls = new Set<AbortController>();

    const get = async (path: string, maxBytes: number, timeoutMs: number): Promise<Result<SourcedResponse, string>> => {
        const url = urls[urlIndex % Math.max(1, urls.length)];
        if (url === undefined) {
            return err("no URL of the configuration service is set");
        }
        const source = `${url}${path}`;
        const abort = new AbortController();
        pendingCalls.add(abort);
        const response = await withTimeout(clock, abort, timeoutMs, source, httpGet(source, maxBytes, abort.signal));
        pendingCalls.delete(abort);
        const checked = response.andThen(value => checkStatus(value, url, source));
        urlIndex += checked.isErr() ? 1 : 0;
        return checked;
    };

    return {
        async readDocument(after, waitMs) {
            const query = after > 0 ? `?after=${after}&waitMs=${waitMs}` : "";
            const timeoutMs = waitMs > 0 ? waitMs + constants.watchGraceMs : constants.readTimeoutMs;
            const response = await get(`/v1/document${query}`, documents.maxDocumentBytes, timeoutMs);
            return response.map(({ status, headers, body, url }) => {
                const version = Number(headers["x-document-version"]);
                return status === 304 || version <= after ? undefined : { text: body, source: url };
            });
        },
        async readVms() {
            const response = await get("/v1/vms", constants.maxVmListBytes, constants.readTimeoutMs);
            return response.andThen(({ body }) => parseVmList(body));
        },
        dispose: () => pendingCalls.forEach(abort => abort.abort()),
    };
}

interface SourcedResponse extends HttpResponse {
    readonly url: string;
}

function withTimeout(
    clock: core.Clock,
    abort: AbortController,
    timeoutMs: number,
    url: string,
    response: Promise<Result<HttpResponse, string>>,
): Promise<Result<HttpResponse, string>> {
    return new Promise(resolve => {
        const finish = (result: Result<HttpResponse, string>): void => {
            cancel();
            resolve(result);
        };
        const cancel = clock.setTimer(timeoutMs, () => {
            finish(err(`GET ${url}: no response within ${timeoutMs} ms`));
            abort.abort();
        });
        abort.signal.addEventListener("abort", () => finish(err(`GET ${url}: aborted`)), { once: true });
        void response.then(finish);
    });
}

function checkStatus(response: HttpResponse, url: string, source: string): Result<SourcedResponse, string> {
    return response.status === 200 || response.status === 304
        ? ok({ ...response, url })
        : err(`GET ${source}: status ${response.status}`);
}

function parseVmList(body: string): Result<VmList, string> {
    try {
        const { vms } = JSON.parse(body) as { vms: { id: string; state: "live" | "leaving"; }[]; };
        return ok(new Map(vms.map(vm => [core.vmId(vm.id), vm.state])));
    }
    catch (error) {
        return err(`malformed list of VMs: ${(error as Error).message}`);
    }
}
