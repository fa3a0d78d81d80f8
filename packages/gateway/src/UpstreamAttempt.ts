import type * as catalog from "@peridotloft/catalog";
import type * as core from "@peridotloft/core";
import type * as dispatch from "@peridotloft/dispatch";
import { err, ok, type Result } from "neverthrow";
import * as http from "node:http";

/** One request to one upstream. */
export interface AttemptPlan {
    readonly upstream: catalog.Upstream;
    readonly agent: http.Agent;
    readonly method: string;
    readonly path: string;
    /** Asked when the connection stands, since the time that is left has shrunk meanwhile. */
    headers(): string[];
    readonly body: Buffer;
    /** Asked directly before the request is written; false cancels it unwritten. */
    mayWrite(): boolean;
}

/** Why an attempt failed before an answer began. */
export interface AttemptFailure {
    readonly verdict: core.Verdict;
    readonly outcome: dispatch.AttemptOutcome;
    readonly cause: string;
    /** Whether any byte of the request was sent. */
    readonly sent: boolean;
}

/** A running attempt. */
export interface Attempt {
    /** Resolves with the head of the answer, or with a failure. */
    readonly answered: Promise<Result<http.IncomingMessage, AttemptFailure>>;
    /** Whether any byte of the request was sent. */
    isSent(): boolean;
    /** Whether it uses a connection that was kept from an earlier request. */
    isReused(): boolean;
    /** Gives the attempt up as one that gets no answer, and closes the connection. */
    giveUp(): void;
    /** Closes the connection, which tells the upstream to stop; settles `answered` as abandoned. */
    cancel(cause: string): void;
}

/** Time in ms in which a connection must open; within a region it takes a few ms, and dead machines do not answer. */
export const connectTimeoutMs = 500;

export function startAttempt(plan: AttemptPlan, clock: core.Clock): Attempt {
    let sent = false;
    let settled = false;
    let resolve: (result: Result<http.IncomingMessage, AttemptFailure>) => void = () => undefined;
    const answered = new Promise<Result<http.IncomingMessage, AttemptFailure>>(done => resolve = done);
    const { host, port } = plan.upstream;
    const request = new http.ClientRequest({
        agent: plan.agent,
        host,
        port,
        method: plan.method,
        path: plan.path,
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
        if (!plan.mayWrite()) {
            fail("abandoned", "upstream-left");
            request.destroy();
            return;
        }
        sent = true;
        setRawHeaders(request, plan.headers());
        request.end(plan.body);
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
    request.on("response", response => settle(ok(response)));
    return {
        answered,
        isSent: () => sent,
        isReused: () => request.reusedSocket,
        giveUp() {
            fail("silent", "no-answer");
            request.destroy();
        },
        cancel(cause) {
            fail("abandoned", cause);
            request.destroy();
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
