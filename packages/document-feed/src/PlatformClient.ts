import * as core from "@peridotloft/core";
import * as documents from "@peridotloft/document";
import { err, ok, type Result } from "neverthrow";
import type { HttpAnswer, HttpGet } from "./HttpGet.js";
import * as constants from "./PlatformConstants.js";

export interface PublishedText {
    readonly text: string;
    readonly source: string;
}

/** State of VMs as the platform's lagging list has it. */
export type VmList = ReadonlyMap<core.VmId, "live" | "leaving">;

/** Calls to the configuration service. A failed call makes the next one go to the next URL. */
export interface PlatformClient {
    /** Reads the document if it is newer than `after`; waits up to `waitMs` for one. Ok with undefined when none is. */
    readDocument(after: number, waitMs: number): Promise<Result<PublishedText | undefined, string>>;
    readVms(): Promise<Result<VmList, string>>;
    /** Ends running calls. */
    dispose(): void;
}

export interface PlatformClientOptions {
    readonly clock: core.Clock;
    readonly urls: readonly string[];
    readonly httpGet: HttpGet;
}

export function createPlatformClient({ clock, urls, httpGet }: PlatformClientOptions): PlatformClient {
    let turn = 0;
    const running = new Set<AbortController>();

    const get = async (path: string, maxBytes: number, timeoutMs: number): Promise<Result<SourcedAnswer, string>> => {
        const url = urls[turn % Math.max(1, urls.length)];
        if (url === undefined) {
            return err("no URL of the configuration service is set");
        }
        const source = `${url}${path}`;
        const abort = new AbortController();
        running.add(abort);
        const answer = await getWithin(clock, abort, timeoutMs, source, httpGet(source, maxBytes, abort.signal));
        running.delete(abort);
        const checked = answer.andThen(value => checkStatus(value, url, source));
        turn += checked.isErr() ? 1 : 0;
        return checked;
    };

    return {
        async readDocument(after, waitMs) {
            const query = after > 0 ? `?after=${after}&waitMs=${waitMs}` : "";
            const timeoutMs = waitMs > 0 ? waitMs + constants.watchGraceMs : constants.readTimeoutMs;
            const answer = await get(`/v1/document${query}`, documents.maxDocumentBytes, timeoutMs);
            return answer.map(({ status, headers, body, url }) => {
                const version = Number(headers["x-document-version"]);
                return status === 304 || version <= after ? undefined : { text: body, source: url };
            });
        },
        async readVms() {
            const answer = await get("/v1/vms", constants.maxVmListBytes, constants.readTimeoutMs);
            return answer.andThen(({ body }) => parseVmList(body));
        },
        dispose: () => running.forEach(abort => abort.abort()),
    };
}

interface SourcedAnswer extends HttpAnswer {
    readonly url: string;
}

function getWithin(
    clock: core.Clock,
    abort: AbortController,
    timeoutMs: number,
    url: string,
    answer: Promise<Result<HttpAnswer, string>>,
): Promise<Result<HttpAnswer, string>> {
    return new Promise(resolve => {
        const finish = (result: Result<HttpAnswer, string>): void => {
            cancel();
            resolve(result);
        };
        const cancel = clock.setTimer(timeoutMs, () => {
            finish(err(`GET ${url}: no answer within ${timeoutMs} ms`));
            abort.abort();
        });
        abort.signal.addEventListener("abort", () => finish(err(`GET ${url}: given up`)), { once: true });
        void answer.then(finish);
    });
}

function checkStatus(answer: HttpAnswer, url: string, source: string): Result<SourcedAnswer, string> {
    return answer.status === 200 || answer.status === 304
        ? ok({ ...answer, url })
        : err(`GET ${source}: status ${answer.status}`);
}

function parseVmList(body: string): Result<VmList, string> {
    try {
        const { vms } = JSON.parse(body) as { vms: { id: string; state: "live" | "leaving"; }[]; };
        return ok(new Map(vms.map(vm => [core.vmId(vm.id), vm.state])));
    }
    catch (error) {
        return err(`list of VMs: ${(error as Error).message}`);
    }
}
