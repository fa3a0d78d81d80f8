import { createServer, type Server, type ServerResponse } from "node:http";

/** Data served on the admin port. */
export interface AdminViews {
    isReady(): boolean;
    status(): unknown;
    audit(): unknown;
}

/** Serves health checks, status and the audit trail. */
export function createAdminServer(views: AdminViews): Server {
    const endpoints = new Map<string, (response: ServerResponse) => void>([
        ["/healthz/live", response => sendJson(response, 200, { live: true })],
        ["/healthz/ready", response => {
            const ready = views.isReady();
            sendJson(response, ready ? 200 : 503, { ready });
        }],
        ["/status", response => sendJson(response, 200, views.status())],
        ["/audit", response => sendJson(response, 200, views.audit())],
    ]);
    return createServer((request, response) => {
        const path = (request.url ?? "/").split("?", 1)[0] ?? "/";
        const endpoint = request.method === "GET" ? endpoints.get(path) : undefined;
        return endpoint ? endpoint(response) : sendJson(response, 404, { error: { message: "no such endpoint" } });
    });
}

function sendJson(response: ServerResponse, statusCode: number, value: unknown): void {
    response.writeHead(statusCode, { "content-type": "application/json" });
    response.end(`${JSON.stringify(value)}\n`);
}
