import * as documents from "@peridotloft/document";
import type { ServerResponse } from "node:http";
import { createCallLimit } from "./CallLimit.js";
import { readJson, readText, sendJson, serveStandIn } from "./StandInServer.js";

/** Settings of the stand-in for the platform's configuration service. */
export interface PlatformOptions {
    readonly port: number;
    /** The initial document; if undefined, the first submission sets it. */
    readonly document: unknown;
    readonly callsPerS: number;
    /** Lag of the list of VMs behind the document in ms. */
    readonly listLagMs: number;
}

interface Published {
    readonly document: documents.FleetDocument;
    readonly text: string;
    readonly atMs: number;
}

/** Behaviour of the service: `stale` serves the newest version of the time when the mode was set, `down` closes connections. */
type Mode = "up" | "stale" | "down";

const maxWaitMs = 60_000;

/**
 * Runs the stand-in platform:
 *
 * - `GET /v1/document` returns the document's text with its version in `x-document-version`. With `after=VERSION` and
 *   `waitMs=N` it waits for a higher version, and responds with 304 if none is published in time.
 * - `PUT /v1/document` submits a document, which is validated and checked against the previous one.
 * - `GET /v1/vms` returns the lagging list of VMs.
 * - `PUT /admin/mode` with `{"mode":"up"|"stale"|"down"}` sets the mode for tests. For `stale`, the optional
 *   `version` selects the version to serve.
 * - `GET /admin/stats` returns counters for tests.
 */
export function runPlatform(options: PlatformOptions): void {
    const history: Published[] = [];
    const limit = createCallLimit(options.callsPerS, () => performance.now());
    const waitingWatches = new Map<() => void, ServerResponse>();
    let mode: Mode = "up";
    let staleDocument: Published | undefined;
    let calls = 0;
    let refused = 0;

    const servedDocument = (): Published | undefined => mode === "stale" ? staleDocument : history.at(-1);

    function publish(text: string): readonly documents.DocumentError[] {
        return documents.parseDocument(text).match(document => {
            const previous = history.at(-1)?.document;
            const transitionErrors = previous ? documents.checkTransition(previous, document) : [];
            if (transitionErrors.length > 0) {
                return transitionErrors;
            }
            history.push({ document, text, atMs: performance.now() });
            [...waitingWatches.keys()].forEach(notify => notify());
            return [];
        }, errors => errors);
    }

    function sendDocument(response: ServerResponse, after: number): void {
        const published = servedDocument();
        if (!published) {
            return sendJson(response, 404, { error: { message: "no document has been published" } });
        }
        const headers = { "x-document-version": String(published.document.version) };
        if (published.document.version <= after) {
            response.writeHead(304, headers).end();
            return;
        }
        response.writeHead(200, { "content-type": "application/json", ...headers }).end(published.text);
    }

    function watch(response: ServerResponse, after: number, waitMs: number): void {
        const endWatch = limit.addWaitingWatch();
        const finish = (): void => {
            clearTimeout(timer);
            waitingWatches.delete(respondIfNewer);
            endWatch();
        };
        const respond = (): void => {
            finish();
            response.removeListener("close", finish);
            sendDocument(response, after);
        };
        const respondIfNewer = (): void => {
            if ((servedDocument()?.document.version ?? 0) > after) {
                respond();
            }
        };
        const timer = setTimeout(respond, Math.min(waitMs, maxWaitMs));
        response.once("close", finish);
        waitingWatches.set(respondIfNewer, response);
    }

    function listVms() {
        const listed = history.filter(({ atMs }) => atMs <= performance.now() - options.listLagMs).at(-1) ?? history[0];
        return (listed?.document.vms ?? [])
            .filter(vm => vm.state !== "retired")
            .map(({ id, zone, peerAddress, state }) => ({ id, zone, peerAddress, state }));
    }

    if (options.document !== undefined) {
        publish(JSON.stringify(options.document)).forEach(error => {
            throw new Error(`document ${error.path}: ${error.message}`);
        });
    }
    serveStandIn(options.port, async (request, response, url) => {
        const action = `${request.method} ${url.pathname}`;
        if (action === "PUT /admin/mode") {
            const change = await readJson<{ mode: Mode; version?: number; }>(request);
            mode = change.mode;
            staleDocument = history.find(({ document }) => document.version === change.version) ?? history.at(-1);
            if (mode === "down") {
                [...waitingWatches.values()].forEach(response => response.destroy());
            }
            return sendJson(response, 200, { mode });
        }
        if (action === "GET /admin/stats") {
            return sendJson(response, 200, { calls, refused, waiting: waitingWatches.size });
        }
        if (mode === "down") {
            request.socket.destroy();
            return;
        }
        calls++;
        if (!limit.tryCall()) {
            refused++;
            return sendJson(response, 429, { error: { message: "too many calls" } }, { "retry-after": "1" });
        }
        if (action === "GET /v1/document") {
            const after = Number(url.searchParams.get("after") ?? 0);
            const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
            const isNewer = (servedDocument()?.document.version ?? 0) > after;
            return waitMs > 0 && !isNewer ? watch(response, after, waitMs) : sendDocument(response, after);
        }
        if (action === "PUT /v1/document") {
            const errors = publish(await readText(request));
            return errors.length === 0
                ? sendJson(response, 200, { version: history.at(-1)?.document.version })
                : sendJson(response, 422, { errors });
        }
        if (action === "GET /v1/vms") {
            return sendJson(response, 200, { vms: listVms() });
        }
        return sendJson(response, 404, { error: { message: "no such resource" } });
    });
}
