import * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import { err, ok, type Result } from "neverthrow";
import { type ClientRequest, type IncomingMessage, request as httpRequest } from "node:http";
import * as headers from "./HeaderUtils.js";
import { createIdleTimer } from "./IdleTimer.js";
import { abortReasonOf } from "./InFlightRequests.js";
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
    /** Whether an idle connection may be reused. With a new one, a connection error proves that nothing ran. */
    readonly reuseConnection: boolean;
    /** Called once, when the connection is established and before the request is written; false cancels the request. */
    mayWrite?(): boolean;
}

/** A response whose status and headers have been received. */
export interface UpstreamResponse {
    readonly statusCode: number;
    readonly headers: headers.HeaderList;
    /** Whether HTTP framing (length or chunks) marks the end of the body, as opposed to a closed connection. */
    readonly isFramed: boolean;
    /** Time in ms on the clock of this VM at which the request was written. */
    readonly writtenMs: number;
    /** Reads the next bytes of the body; undefined at the end. A body that ends early is an error. */
    read(): Promise<Result<Uint8Array | undefined, RequestFailure>>;
    /** Closes the connection, which cancels the request at the upstream. */
    cancel(): void;
}

/** Sends a request and waits for the response headers. Closes the connection on failure and when `signal` is aborted. */
export function callUpstream(
    connections: UpstreamConnections,
    clock: core.Clock,
    call: UpstreamRequest,
    signal: AbortSignal,
): Promise<Result<UpstreamResponse, RequestFailure>> {
    const timers = createTimers(clock);
    let writtenMs: number | undefined;
    let failure: RequestFailure | undefined;
    const failureOf = (kind: FailureKind): RequestFailure => ({ kind, written: writtenMs !== undefined });

    if (signal.aborted) {
        return Promise.resolve(err(failureOf(abortReasonOf(signal))));
    }
    // The deadline may have passed if the process was paused.
    if (clock.nowMs() >= call.deadlineMs) {
        return Promise.resolve(err(failureOf("deadline")));
    }

    const request = openRequest(connections, call);
    let resolveResponse: (result: Result<UpstreamResponse, RequestFailure>) => void = () => undefined;
    const responseReceived = new Promise<Result<UpstreamResponse, RequestFailure>>(resolve =>
        resolveResponse = resolve
    );
    const failWith = (kind: FailureKind): void => {
        failure ??= failureOf(kind);
        discardConnectionsAfter(connections, call.upstream, failure);
        cleanUp();
        resolveResponse(err(failure));
    };
    const abortWith = (kind: FailureKind): void => {
        failWith(kind);
        request.destroy();
    };
    const onAbort = (): void => abortWith(abortReasonOf(signal));
    const cleanUp = (): void => {
        timers.clear();
        signal.removeEventListener("abort", onAbort);
    };
    signal.addEventListener("abort", onAbort);
    timers.set("deadline", call.deadlineMs - clock.nowMs(), () => abortWith("deadline"));
    timers.set("connect", constants.connectTimeoutMs, () => abortWith("connect-failed"));

    const onConnected = (): void => {
        timers.cancel("connect");
        if (call.mayWrite?.() === false) {
            return abortWith("expired");
        }
        timers.set("first-byte", call.firstByteTimeoutMs, () => abortWith("first-byte-timeout"));
        writtenMs = clock.nowMs();
        request.end(call.body);
    };
    request.on("socket", socket => socket.connecting ? socket.once("connect", onConnected) : onConnected());
    request.on("error", error => failWith(kindOfError(error, writtenMs !== undefined)));
    // On an upgrade, Node detaches the socket from the request and emits neither `response` nor `error`.
    request.on("upgrade", (_response, socket) => {
        socket.destroy();
        failWith("malformed");
    });
    request.on("response", response => {
        timers.cancel("first-byte");
        if (core.findResponseHeadFault(response)) {
            return abortWith("malformed");
        }
        resolveResponse(ok(createUpstreamResponse(response)));
    });
    return responseReceived;

    function createUpstreamResponse(response: IncomingMessage): UpstreamResponse {
        const nextPart = createPartReader(response);
        const idleTimer = createIdleTimer(clock, call.idleTimeoutMs, () => abortWith("idle-timeout"));
        const finishResponse = (): void => {
            idleTimer.dispose();
            cleanUp();
        };
        return {
            statusCode: response.statusCode ?? 0,
            headers: headers.pairHeaders(response.rawHeaders),
            isFramed: core.hasFramedBody(response),
            writtenMs: writtenMs ?? clock.nowMs(),
            cancel() {
                finishResponse();
                request.destroy();
            },
            async read() {
                idleTimer.startWaiting();
                const part = await nextPart();
                idleTimer.stopWaiting();
                if (part.kind === "bytes") {
                    return ok(part.bytes);
                }
                finishResponse();
                if (part.kind === "end" && !failure) {
                    return ok(undefined);
                }
                failure ??= failureOf("connection-broken");
                discardConnectionsAfter(connections, call.upstream, failure);
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

const connectionPreservingKinds: readonly FailureKind[] = ["caller-left", "key-withdrawn", "deadline", "expired"];

// After a timeout or a broken connection, the idle connections to the upstream may be dead as well.
function discardConnectionsAfter(
    connections: UpstreamConnections,
    upstream: documents.Upstream,
    failure: RequestFailure,
): void {
    if (!connectionPreservingKinds.includes(failure.kind)) {
        connections.discard(upstream);
    }
}

type TimerName = "deadline" | "connect" | "first-byte";

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
