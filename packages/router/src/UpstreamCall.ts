import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import { err, ok, type Result } from "neverthrow";
import { type ClientRequest, type IncomingMessage, request as httpRequest } from "node:http";
import * as headers from "./HeaderUtils.js";
import { createIdleTimer } from "./IdleTimer.js";
import { abortKind } from "./InFlightRequests.js";
import type { FailureKind, RequestFailure } from "./RequestFailure.js";
import { createPartReader } from "./ResponseParts.js";
import * as constants from "./RouterConstants.js";
import type { UpstreamConnections } from "./UpstreamConnections.js";

/** One request to one upstream. Times in ms; `deadlineMs` is on the clock of this VM. */
export interface UpstreamRequest {
    readonly upstream: documents.Upstream;
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    readonly headers: headers.HeaderList;
    readonly body: Uint8Array;
    readonly requestId: string;
    readonly firstByteTimeoutMs: number;
    readonly idleTimeoutMs: number;
    readonly deadlineMs: number;
    /** Whether an idle connection may be used. On a new one, a refused connection proves that nothing ran. */
    readonly reuseConnection: boolean;
    /** Asked once when the connection stands, directly before the request is written; false cancels it unwritten. */
    mayWrite?(): boolean;
}

/** An answer whose head has been received. */
export interface UpstreamAnswer {
    readonly statusCode: number;
    readonly headers: headers.HeaderList;
    /** Whether HTTP itself shows the end of the body (length or chunks), and not only a closed connection. */
    readonly isFramed: boolean;
    /** Time in ms on the clock at which the request was written. */
    readonly writtenMs: number;
    /** Next bytes of the body; undefined after the last. A body that ends early is an error. */
    read(): Promise<Result<Uint8Array | undefined, RequestFailure>>;
    /** Closes the connection, which tells the upstream to stop. */
    cancel(): void;
}

/** Sends a request and waits for the head of the answer. Closes the connection on every failure and on `signal`. */
export function callUpstream(
    connections: UpstreamConnections,
    clock: core.Clock,
    call: UpstreamRequest,
    signal: AbortSignal,
): Promise<Result<UpstreamAnswer, RequestFailure>> {
    const timers = createTimers(clock);
    let writtenMs: number | undefined;
    let failure: RequestFailure | undefined;
    const failed = (kind: FailureKind): RequestFailure => ({ kind, written: writtenMs !== undefined });

    if (signal.aborted) {
        return Promise.resolve(err(failed(abortKind(signal))));
    }
    // A process that was paused may get here after the deadline.
    if (clock.nowMs() >= call.deadlineMs) {
        return Promise.resolve(err(failed("deadline")));
    }

    const request = openRequest(connections, call);
    let resolveAnswer: (result: Result<UpstreamAnswer, RequestFailure>) => void = () => undefined;
    const answered = new Promise<Result<UpstreamAnswer, RequestFailure>>(resolve => resolveAnswer = resolve);
    const conclude = (kind: FailureKind): void => {
        failure ??= failed(kind);
        settleConnections(connections, call.upstream, failure);
        finish();
        resolveAnswer(err(failure));
    };
    const stop = (kind: FailureKind): void => {
        conclude(kind);
        request.destroy();
    };
    const onAbort = (): void => stop(abortKind(signal));
    const finish = (): void => {
        timers.clear();
        signal.removeEventListener("abort", onAbort);
    };
    signal.addEventListener("abort", onAbort);
    timers.set("deadline", call.deadlineMs - clock.nowMs(), () => stop("deadline"));
    timers.set("connect", constants.connectTimeoutMs, () => stop("connect-failed"));

    const onConnected = (): void => {
        timers.cancel("connect");
        if (call.mayWrite?.() === false) {
            return stop("expired");
        }
        timers.set("answer", call.firstByteTimeoutMs, () => stop("first-byte-timeout"));
        writtenMs = clock.nowMs();
        request.end(call.body);
    };
    request.on("socket", socket => socket.connecting ? socket.once("connect", onConnected) : onConnected());
    request.on("error", error => conclude(kindOfError(error, writtenMs !== undefined)));
    // Node takes the connection from the request here, and reports neither an answer nor an error.
    request.on("upgrade", (_response, socket) => {
        socket.destroy();
        conclude("malformed");
    });
    request.on("response", response => {
        timers.cancel("answer");
        resolveAnswer(ok(createAnswer(response)));
    });
    return answered;

    function createAnswer(response: IncomingMessage): UpstreamAnswer {
        const nextPart = createPartReader(response);
        const idleTimer = createIdleTimer(clock, call.idleTimeoutMs, () => stop("idle-timeout"));
        const finishAnswer = (): void => {
            idleTimer.dispose();
            finish();
        };
        return {
            statusCode: response.statusCode ?? 0,
            headers: headers.pairHeaders(response.rawHeaders),
            isFramed: isFramed(response),
            writtenMs: writtenMs ?? clock.nowMs(),
            cancel() {
                finishAnswer();
                request.destroy();
            },
            async read() {
                idleTimer.begin();
                const part = await nextPart();
                idleTimer.end();
                if (part.kind === "bytes") {
                    return ok(part.bytes);
                }
                finishAnswer();
                if (part.kind === "end" && !failure) {
                    return ok(undefined);
                }
                failure ??= failed("connection-broken");
                settleConnections(connections, call.upstream, failure);
                return err(failure);
            },
        };
    }
}

function openRequest(connections: UpstreamConnections, call: UpstreamRequest): ClientRequest {
    const url = new URL(call.upstream.url);
    return httpRequest({
        host: url.hostname,
        port: url.port === "" ? 80 : Number(url.port),
        method: call.method,
        path: call.target,
        agent: call.reuseConnection ? connections.agentOf(call.upstream) : false,
        headers: {
            ...headers.groupHeaders(headers.headersForUpstream(call.headers)),
            "host": url.host,
            "content-length": call.body.length,
            "x-request-id": call.requestId,
        },
    });
}

function kindOfError(error: NodeJS.ErrnoException, written: boolean): FailureKind {
    if (!written) {
        return "connect-failed";
    }
    return error.code?.startsWith("HPE_") === true ? "malformed" : "connection-broken";
}

const keepsConnections: readonly FailureKind[] = ["caller-left", "key-withdrawn", "deadline", "expired"];

// After a timeout or a broken answer, other idle connections to the upstream may be dead as well.
function settleConnections(
    connections: UpstreamConnections,
    upstream: documents.Upstream,
    failure: RequestFailure,
): void {
    if (!keepsConnections.includes(failure.kind)) {
        connections.discard(upstream);
    }
}

function isFramed(response: IncomingMessage): boolean {
    return response.headers["content-length"] !== undefined
        || response.headers["transfer-encoding"]?.toLowerCase().includes("chunked") === true
        || response.statusCode === 204
        || response.statusCode === 304;
}

type TimerName = "deadline" | "connect" | "answer";

function createTimers(clock: core.Clock) {
    const cancels = new Map<TimerName, () => void>();
    const cancel = (name: TimerName): void => {
        cancels.get(name)?.();
        cancels.delete(name);
    };
    return {
        set(name: TimerName, delayMs: number, callback: () => void): void {
            cancel(name);
            cancels.set(name, clock.setTimer(delayMs, callback));
        },
        cancel,
        clear: () => [...cancels.keys()].forEach(cancel),
    };
}
