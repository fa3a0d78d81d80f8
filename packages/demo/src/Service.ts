import { delay, readJson, readText, sendJson, serveStandIn } from "./StandInServer.js";

/** Settings of a stand-in plain service. */
export interface ServiceOptions {
    readonly port: number;
    /** Duration of an execution in ms. */
    readonly delayMs: number;
}

/**
 * Runs a stand-in plain service:
 *
 * - `POST /holds` and `POST /register` execute once per request, and repeat the body in the response.
 * - `GET /register` lists the registrations.
 * - `PUT /admin/delay` with `{"delayMs":N}`; `GET /admin/executions` counts executions by body, so that a test
 *   detects duplicate executions. `completed` counts executions whose connection was still open at their end.
 */
export function runService(options: ServiceOptions): void {
    const executions = new Map<string, number>();
    const completed = new Map<string, number>();
    const registrations: unknown[] = [];
    let delayMs = options.delayMs;
    let withKey = 0;

    serveStandIn(options.port, async (request, response, url) => {
        const action = `${request.method} ${url.pathname}`;
        withKey += request.headers.authorization === undefined ? 0 : 1;
        switch (action) {
            case "POST /holds":
            case "POST /register": {
                const body = await readText(request);
                executions.set(body, (executions.get(body) ?? 0) + 1);
                await delay(delayMs);
                if (action === "POST /register") {
                    registrations.push(body);
                }
                if (!response.destroyed) {
                    completed.set(body, (completed.get(body) ?? 0) + 1);
                }
                return sendJson(response, 201, { number: executions.size, body });
            }
            case "GET /register":
                await delay(delayMs);
                return sendJson(response, 200, { registrations });
            case "PUT /admin/delay":
                delayMs = (await readJson<{ delayMs: number; }>(request)).delayMs;
                return sendJson(response, 200, { delayMs });
            case "GET /admin/executions":
                return sendJson(response, 200, {
                    executions: Object.fromEntries(executions),
                    completed: Object.fromEntries(completed),
                    withKey,
                });
            default:
                return sendJson(response, 404, { error: { message: "no such resource" } });
        }
    });
}
