import type * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";
import type * as dispatch from "@peridotloft/dispatch";
import { err, ok, Result } from "neverthrow";
import * as http from "node:http";

/** A request to one upstream. */
export interface AttemptOptions {
    readonly upstream: catalog.Upstream;
    readonly agent: http.Agent;
    readonly method: string;
    readonly path: string;
    /** Called once the connection is established, since the remaining time has decreased by then. */
    headers(): string[];
    /** Called when the request is written. */
    body(): Buffer;
    /** Called immediately before the request is written; if it returns false, the request is cancelled unsent. */
    mayWrite(): boolean;
    /** Whether the request is sent only on a connection that the agent has used before. */
    readonly requiresReusedConnection: boolean;
}

/** Why an attempt failed before the head of a response arrived. */
export interface AttemptFailure {
    readonly verdict: core.Verdict;
    readonly outcome: dispatch.AttemptOutcome;
    readonly cause: string;
    /** Whether any byte of the request was sent. */
    readonly sent: boolean;
}

/** An attempt in progress. */
export interface Attempt {
    /** Resolves with a response whose head has arrived, or with a failure. */
    readonly response: Promise<Result<http.IncomingMessage, AttemptFailure>>;
    /** Whether any byte of the request was sent. */
    isSent(): boolean;
    /** Whether the attempt reuses the connection of an earlier request. */
    usesReusedConnection(): boolean;
    /** Fails the attempt for lack of a response and closes the connection. Does nothing once a response has arrived. */
    timeOut(): void;
    /** Closes the connection, which makes the upstream stop; settles the attempt as abandoned. */
    cancel(cause: string): void;
    /** Closes the connection if not all of the request has been written. */
    endWrite(): void;
}

/** Connect timeout in ms; within a region a connection opens in a few ms, and a VM that is down does not respond. */
export const connectTimeoutMs = 500;

export function startAttempt(options: AttemptOptions, clock: core.Clock): Attempt {
    let sent = false;
    let settled = false;
    let resolve: (result: Result<http.IncomingMessage, AttemptFailure>) => void = () => undefined;
    const response = new Promise<Result<http.IncomingMessage, AttemptFailure>>(done => resolve = done);
    const { host, port } = options.upstream;
    const request = new http.ClientRequest({
        agent: options.agent,
        host,
        port,
        method: options.method,
        path: options.path,
        setHost: false,
    });

    const settle = (result: Result<http.IncomingMessage, AttemptFailure>): void => {
        if (!settled) {
            settled = true;
            cancelTimer();
            resolve(result);
        }
    };
    const fail = (outcome: dispatch.AttemptOutcome, cause: string): void =>
        settle(err({ verdict: sent ? "may-have-run" : "not-run", outcome, cause, sent }));
    const cancelTimer = clock.setTimer(connectTimeoutMs, () => {
        fail("connect-failed", "connect-timeout");
        request.destroy();
    });

    const onConnected = (): void => {
        cancelTimer();
        if (settled) {
            return;
        }
        if (options.requiresReusedConnection && !request.reusedSocket) {
            fail("misdirected", "connection-of-verified-run-closed");
            request.destroy();
            return;
        }
        if (!options.mayWrite()) {
            fail("abandoned", "upstream-left");
            request.destroy();
            return;
        }
        const headers = Result.fromThrowable(() => setRawHeaders(request, options.headers()), String)();
        if (headers.isErr()) {
            fail("abandoned", headers.error);
            request.destroy();
            return;
        }
        sent = true;
        request.end(options.body());
    };
    request.on("socket", socket => {
        socket.setNoDelay(true);
        if (socket.connecting) {
            socket.once("connect", onConnected);
        }
        else {
            onConnected();
        }
    });
    request.on("error", (error: NodeJS.ErrnoException) => fail(sent ? "broken" : "connect-failed", causeOf(error)));
    request.on("upgrade", (_response, socket) => {
        socket.destroy();
        fail("broken", "unexpected-upgrade");
    });
    request.on("response", response => {
        const fault = core.findResponseHeadFault(response);
        if (!fault) {
            settle(ok(response));
            return;
        }
        fail("broken", fault);
        request.destroy();
    });
    return {
        response,
        isSent: () => sent,
        usesReusedConnection: () => request.reusedSocket,
        timeOut() {
            if (!settled) {
                fail("silent", "no-answer");
                request.destroy();
            }
        },
        cancel(cause) {
            fail("abandoned", cause);
            request.destroy();
        },
        endWrite() {
            if (!request.writableFinished) {
                fail("abandoned", "not-needed");
                request.destroy();
            }
        },
    };
}

function setRawHeaders(request: http.ClientRequest, headers: readonly string[]): void {
    const values = new Map<string, { name: string; values: string[]; }>();
    headers.forEach((name, index) => {
        if (index % 2 === 0) {
            const entry = values.get(name.toLowerCase()) ?? { name, values: [] };
            entry.values.push(headers[index + 1] ?? "");
            values.set(name.toLowerCase(), entry);
        }
    });
    values.forEach(entry =>
        request.setHeader(entry.name, entry.values.length === 1 ? entry.values[0] ?? "" : entry.values)
    );
}

function causeOf(error: NodeJS.ErrnoException): string {
    return error.code ?? error.message;
}
