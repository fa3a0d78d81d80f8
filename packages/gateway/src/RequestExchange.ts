import type * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";
import * as dispatch from "@peridotloft/dispatch";
import { ok, type Result } from "neverthrow";
import type * as http from "node:http";
import type * as net from "node:net";
import { type AllowedRequest, allowRequest, choosePool } from "./Admission.js";
import { createAttemptMemory } from "./AttemptMemory.js";
import {
    type AttemptSequence,
    createAttemptSequence,
    type StartedResponse,
    type StreamPosition,
} from "./AttemptSequence.js";
import type { BodyMemory } from "./BodyMemory.js";
import type { CallerConnections } from "./CallerConnections.js";
import { callerPatienceMs, isReadTooLate } from "./CallerPatience.js";
import { createCallerResponse, keepConnectionOpen } from "./CallerResponse.js";
import type { ConnectionAccounts } from "./ConnectionAccounts.js";
import type { EntryReport } from "./EntryReport.js";
import type { Freshness } from "./Freshness.js";
import type { GatewayContext } from "./GatewayContext.js";
import type { OverloadRetry } from "./OverloadRetry.js";
import {
    createRefusal,
    createUpstreamFailure,
    type Refusal,
    type RefusalReason,
    statesNotRun,
    type UpstreamFailureReason,
} from "./Refusal.js";
import type { RefusalReport } from "./RefusalReport.js";
import { createRequestBody } from "./RequestBody.js";
import { createRequestDeadline } from "./RequestDeadline.js";
import { connectionCloseOf, onceResponseClosed } from "./ResponseClose.js";
import type { ResponseMemory } from "./ResponseMemory.js";
import {
    discardResponse,
    readCompleteResponse,
    type RelayOutcome,
    relayStream,
    type ResponseFailure,
} from "./ResponseRelay.js";
import { createStreamState, type StreamState } from "./StreamState.js";
import type { BodyFailure, WholeBody } from "./WholeBody.js";

/** Serves the requests of callers. Never throws. */
export interface RequestHandler {
    handle(request: http.IncomingMessage, response: http.ServerResponse): void;
    /** Gives all requests whose responses have not begun their final answer, since this process exits. */
    endWaitingRequests(): void;
}

/**
 * Time in ms after the stop signal during which all requests are accepted. The platform allows requests that were sent
 * within 3 s of the signal to be aborted at the end of the grace period; later ones must be completed or refused.
 */
const acceptAllWhileDrainingMs = 2_800;
/** Minimum time in ms between the deadline of a request that is accepted after that and the end of the drain. */
const drainEndMarginMs = 200;
/** Another upstream is tried for a resumable stream after the route's objective for event gaps multiplied by this factor. */
const stallTimeoutFactor = 2.5;
/** Objective in ms for the gap between events if the route states none. */
const defaultEventGapMs = 1_000;
/** Time in ms for which a body may wait for memory: callers give up a request that is not read within 1 s, or a third of their time. */
const maxMemoryWaitMs = 700;
const maxMemoryWaitShare = 0.25;
/** Maximum number of upstreams that a log line names. */
const maxLoggedUpstreams = 4;

/** What the requests of a gateway share. */
export interface RequestHandlerOptions {
    readonly context: GatewayContext;
    readonly freshness: Freshness;
    readonly connections: CallerConnections;
    /** Whether a connection is closed after the response that begins now, if no later request has arrived on it. */
    readonly closesAfterResponse: (socket: net.Socket) => boolean;
    readonly refusalReport: RefusalReport;
    readonly entryReport: EntryReport;
    /** Decides when a caller that is refused for lack of processor time may retry. */
    readonly chooseRetry: () => OverloadRetry;
    readonly bodyMemory: BodyMemory;
    readonly recordBody: ConnectionAccounts["recordBody"];
    readonly responseMemory: ResponseMemory;
    /** Whether a request states an expectation that this VM does not know. */
    readonly hasUnknownExpectation: (request: http.IncomingMessage) => boolean;
}

export function createRequestHandler(options: RequestHandlerOptions): RequestHandler {
    const exchanges = new Set<RequestExchange>();
    return {
        handle(request, response) {
            const exchange = createExchange(options, request, response);
            exchanges.add(exchange);
            onceResponseClosed(response, () => exchanges.delete(exchange));
            exchange.run().catch((error: unknown) => {
                options.context.log.failure("request-failed-unexpectedly", { error: String(error) });
                exchange.refuse(createRefusal("internal"));
            }).finally(exchange.releaseBody);
        },
        endWaitingRequests: () => exchanges.forEach(exchange => exchange.endIfWaiting()),
    };
}

interface RequestExchange {
    run(): Promise<void>;
    refuse(refusal: Refusal): void;
    /** Drops the body, and stops sending it to an upstream that has not read it to its end. */
    releaseBody(): void;
    endIfWaiting(): void;
}

function createExchange(
    options: RequestHandlerOptions,
    request: http.IncomingMessage,
    response: http.ServerResponse,
): RequestExchange {
    const {
        context,
        freshness,
        connections,
        closesAfterResponse,
        chooseRetry,
        bodyMemory,
        recordBody,
        responseMemory,
    } = options;
    const { refusalReport, entryReport } = options;
    const { clock, codec, log, metrics } = context;
    // Its caller has waited since the connection was opened, not since the VM had the time to accept it.
    const { waitMs: acceptWaitMs, minWaitMs: minAcceptWaitMs } = connections.acceptWait(response);
    const returned = connections.returnedRequest(response);
    // No request ends before its deadline because an earlier connection waited longer.
    const arrivedMs = clock.nowMs() - minAcceptWaitMs - (returned?.waitedMs ?? 0);
    const mayHaveRunElsewhere = returned?.mayHaveRun === true;
    const path = request.url ?? "/";
    const requestHead = codec.readRequestHead(request.rawHeaders);
    const callerResponse = createCallerResponse(
        response,
        codec,
        // A connection that is closed after this response loses those of later requests.
        () =>
            connections.isLatest(response)
            && (context.drainElapsedMs() !== undefined || closesAfterResponse(request.socket)),
        context.clock,
        () => connections.recordEnded(response),
    );
    let kind = "unknown";
    let customer: core.CustomerId | undefined;
    let attemptSequence: AttemptSequence | undefined;
    let requestBody: WholeBody | undefined;
    const attemptMemory = createAttemptMemory(responseMemory, log);
    let fingerprintOf: () => number | undefined = () => undefined;
    let callerDisconnected = false;
    let hasBeenEnded = false;
    let stage: "admission" | "body" | "turn" | "origin" | "upstream" = "admission";

    onceResponseClosed(response, () => {
        deadline.cancel();
        attemptMemory.release();
        // Node.js reports a response as finished as well if its connection is destroyed while the kernel has not taken it.
        const isFinished = response.writableFinished && callerResponse.abortReason() === undefined;
        if (!isFinished) {
            callerDisconnected = true;
            attemptSequence?.cancel("caller-left");
            stopReading();
            logAbortedResponse();
        }
        const outcome = isFinished ? String(response.statusCode) : "cut";
        metrics.count("requests", { kind, outcome });
        metrics.observeMs("requestMs", clock.nowMs() - arrivedMs, { kind });
    });

    const activeConfig = (): catalog.ActiveConfig | undefined => context.follower.snapshot.read().activeConfig;
    const configVersion = (): number | undefined => activeConfig()?.config.version;
    // The deadline is read several times per request, and the active configuration rarely changes meanwhile.
    const currentRoute = memoizeLatest(activeConfig, active => active?.routes.find(requestHead.host, path));
    const arrivedConfigVersion = configVersion();
    keepConnectionOpen(response, activeConfig()?.config.limits.idleTimeoutMs ?? 0);
    const arrivedRoute = currentRoute();
    const deadline = createRequestDeadline({
        clock,
        arrivedMs,
        callerTimeoutMs: requestHead.callerTimeoutMs,
        currentRoute,
        latestMs: () => clock.nowMs() + (context.drainRemainingMs() ?? Number.POSITIVE_INFINITY) - drainEndMarginMs,
        onPassed: onDeadline,
    });

    /** What tells a request that ended early apart from others, in every log line about it. */
    function describeRequest() {
        return {
            requestId: requestHead.requestId,
            customer,
            stage,
            begun: callerResponse.hasBegun(),
            sentBytes: callerResponse.sentBytes(),
            heldMs: Math.round(clock.nowMs() - arrivedMs),
            callerTimeoutMs: requestHead.callerTimeoutMs,
            arrivedTimeoutMs: arrivedRoute?.timeoutMs,
            timeoutMs: currentRoute()?.timeoutMs,
            arrivedConfigVersion,
            configVersion: configVersion(),
            upstreams: attemptSequence?.upstreams().slice(-maxLoggedUpstreams).join(),
        };
    }

    function logAbortedResponse(): void {
        const abortReason = callerResponse.abortReason();
        const isDrainOver = (context.drainRemainingMs() ?? 1) <= 0;
        const close = connectionCloseOf(request.socket);
        log.failure("response-aborted", {
            ...describeRequest(),
            bodyComplete: request.complete,
            closedBy: abortReason ? "vm" : close.closedBy,
            cause: abortReason ?? (isDrainOver && close.closedBy === "vm" ? "drain-ended" : close.cause),
        });
    }

    /** Ends a request without a response, since its caller has left. */
    function abandon(cause: "disconnected" | "half-closed" | "response-closed-connection"): void {
        log.failure("request-abandoned", { ...describeRequest(), cause });
    }

    function releaseBody(): void {
        if (attemptSequence?.isInProgress()) {
            // Its outcome is recorded with the fingerprint.
            fingerprintOf();
        }
        attemptSequence?.endWrites();
        requestBody?.release();
    }

    /** Drops a body that has not been read to its end. */
    function stopReading(): void {
        if (stage === "body") {
            requestBody?.release();
        }
    }

    /** @param inputs what the refusal was decided by. */
    function refuse(decided: Refusal, inputs: Readonly<Record<string, number>> = {}): void {
        const refusal = mayHaveRunElsewhere && statesNotRun(decided) ? createUpstreamFailure("relay-lost") : decided;
        stopReading();
        if (callerDisconnected || callerResponse.hasEnded()) {
            return;
        }
        metrics.count("refusals", { reason: refusal.reason });
        refusalReport.recordRefusal(refusal.reason, { customer, prompt: requestHead.prompt });
        if (customer !== undefined) {
            entryReport.recordRefusal(customer);
        }
        log.failure("request-refused", {
            ...describeRequest(),
            reason: refusal.reason,
            decidedReason: refusal === decided ? undefined : decided.reason,
            statusCode: refusal.statusCode,
            retryAfterMs: refusal.retryAfterMs,
            configAgeMs: Math.round(context.follower.ageMs()),
            ...inputs,
        });
        callerResponse.sendRefusal(refusal, requestHead.requestId);
    }

    async function run(): Promise<void> {
        if (context.refusesNewRequests()) {
            return refuse(createRefusal("draining"));
        }
        if (options.hasUnknownExpectation(request)) {
            return refuse(createRefusal("unknown-expectation"));
        }
        if (requestHead.requestId === undefined) {
            return refuse(createRefusal("no-request-id"));
        }
        if (!core.areHeaderNamesValid(request.rawHeaders)) {
            return refuse(createRefusal("invalid-header"));
        }
        if (!core.isRequestTargetValid(path)) {
            return refuse(createRefusal("invalid-target"));
        }
        const allowed = await allowRequest(() => context.follower.snapshot.read(), freshness, requestHead, path);
        if (endsEarly()) {
            return;
        }
        if (allowed.isErr()) {
            return refuse(allowed.error);
        }
        deadline.setRoute(allowed.value.route);
        kind = allowed.value.route.kind;
        customer = allowed.value.customer?.id;
        refusalReport.recordRequest({ customer, prompt: requestHead.prompt });
        entryReport.recordRequest({ customer, isFirst: connections.isFirst(response) });
        if (!isAcceptedWhileDraining()) {
            return refuse(createRefusal("draining"));
        }
        if (context.overload.refusesRequest(context.dispatcher.relativeUsage(customer))) {
            const retry = chooseRetry();
            refusalReport.recordOverloadRetry(retry);
            return refuse(createRefusal("processor-overloaded", retry.retryAfterMs));
        }
        stage = "body";
        const maxBodyBytes = context.follower.snapshot.read().activeConfig?.config.limits.maxBodyBytes ?? 0;
        requestBody = createRequestBody(request, {
            memory: bodyMemory,
            maxBytes: Math.min(maxBodyBytes, bodyMemory.maxBodyBytes),
            maxWaitMs: maxMemoryWaitMsNow,
            onReserved: bytes => recordBody(request, bytes),
        });
        const read = await requestBody.read();
        if (endsEarly()) {
            return;
        }
        if (read.isErr()) {
            return refuseBody(read.error, maxBodyBytes);
        }
        stage = "turn";
        await earlierResponsesEnded(requestHead.requestId);
        stage = "origin";
        await nextSocketPoll();
        if (endsEarly()) {
            return;
        }
        // The end of what a caller sends cannot be told from a close until a write fails.
        if (request.socket.readableEnded) {
            return abandon("half-closed");
        }
        // An earlier response on the connection has closed it, as those without a length do.
        if (request.socket.writableEnded) {
            return abandon("response-closed-connection");
        }
        // The body, or the turn of the request, may have come late in the drain.
        if (!isAcceptedWhileDraining()) {
            return refuse(createRefusal("draining"));
        }
        return serve(requestHead.requestId, allowed.value, requestBody);
    }

    const maxMemoryWaitMsNow = (): number =>
        Math.min(maxMemoryWaitMs, (deadline.atMs() - clock.nowMs()) * maxMemoryWaitShare);

    function refuseBody(failure: BodyFailure, configuredMaxBytes: number): void {
        if (failure === "disconnected" || failure === "released") {
            abandon("disconnected");
        }
        else if (failure === "too-large") {
            refuse(createRefusal("body-too-large"), { configuredMaxBytes, maxBytes: bodyMemory.maxBodyBytes });
        }
        else {
            const { retryAfterMs, ...inputs } = failure;
            refuse(createRefusal("body-memory-full", retryAfterMs), inputs);
        }
    }

    /**
     * Waits for the responses to earlier requests on the connection. One that cannot be completed is ended by closing the
     * connection, and a request that runs by then loses its response.
     */
    async function earlierResponsesEnded(requestId: core.RequestId): Promise<void> {
        const earlier = connections.earlierResponses(response);
        if (earlier) {
            log.decision("request-pipelined", { requestId });
            await earlier;
        }
    }

    /** Whether the caller has left, which is logged, or the deadline has passed. */
    function endsEarly(): boolean {
        if (callerDisconnected) {
            abandon("disconnected");
        }
        return isCancelled();
    }

    /**
     * Whether a request is served while this VM drains. The load balancer sends requests to draining VMs when too few
     * others remain; those whose deadline lies before the end of the drain are served.
     */
    function isAcceptedWhileDraining(): boolean {
        const drainRemainingMs = context.drainRemainingMs();
        return drainRemainingMs === undefined || (context.drainElapsedMs() ?? 0) <= acceptAllWhileDrainingMs
            || latestEndMs() - clock.nowMs() + drainEndMarginMs <= drainRemainingMs;
    }

    /**
     * The latest time in ms at which a request that is accepted late in a drain can end. A newer configuration may give it more time, up to
     * its caller's timeout. Buffered requests are answered at the end of the drain even then, streams would be cut.
     */
    function latestEndMs(): number {
        return kind === "stream"
            ? arrivedMs + (requestHead.callerTimeoutMs ?? Number.POSITIVE_INFINITY)
            : deadline.atMs();
    }

    async function serve(requestId: core.RequestId, allowed: AllowedRequest, body: WholeBody): Promise<void> {
        const { route } = allowed;
        const found = await findPosition(requestId, route);
        if (endsEarly()) {
            return;
        }
        if (found.isErr()) {
            return refuse(createRefusal(found.error.reason, found.error.retryAfterMs));
        }
        const position = found.value;
        const pool = position?.origin.pool ?? choosePool(route, context.random);
        if (pool === undefined) {
            return refuse(createRefusal("no-upstream"));
        }
        let fingerprint: number | undefined;
        const job: dispatch.Job = {
            requestId,
            route,
            pool,
            customer,
            priority: allowed.customer?.priority ?? route.priority,
            prompt: requestHead.prompt,
            arrivedMs,
            deadlineMs: deadline.atMs,
            fingerprint: () => fingerprint ??= core.hash32Bytes(`${path} ${customer ?? ""} `, body.bytes()),
        };
        fingerprintOf = job.fingerprint;
        stage = "upstream";
        const isRetryable = route.kind === "stream" ? route.resumable : route.kind === "idempotent";
        if (mayHaveRunElsewhere && !(isRetryable && route.maxAttempts > 1 && returned.tryRunAgain())) {
            return refuse(createUpstreamFailure("relay-lost"));
        }
        const sequence = createAttemptSequence(context, {
            job,
            isRetryable,
            earlierAttempts: mayHaveRunElsewhere ? 1 : 0,
            method: request.method ?? "GET",
            path,
            body: body.bytes,
            rawHeaders: request.rawHeaders,
            // Streams are passed on as they arrive.
            // What is reserved after the response has closed would never be returned.
            reserveResponse: () =>
                route.kind === "stream" || isCancelled()
                    ? undefined
                    : attemptMemory.reserveNext(requestId, maxMemoryWaitMsNow()),
            isCancelled,
            hasBegun: callerResponse.hasBegun,
            isStillAllowed: () => isStillAllowed(job),
            hasCallerGivenUp: () =>
                !callerResponse.hasBegun()
                && (isReadTooLate(route, acceptWaitMs, requestHead.callerTimeoutMs)
                    || clock.nowMs() - arrivedMs >= callerPatienceMs(route)),
        });
        attemptSequence = sequence;
        return route.kind === "stream"
            ? serveStream(job, sequence, position)
            : serveBuffered(job, sequence);
    }

    /** Where a stream goes on that the caller resumes; undefined for a new request. */
    async function findPosition(
        requestId: core.RequestId,
        route: AllowedRequest["route"],
    ): Promise<Result<StreamPosition | undefined, dispatch.DispatchRefusal>> {
        const { lastEventId, resumes } = requestHead;
        if (lastEventId === undefined || route.kind !== "stream") {
            return ok(undefined);
        }
        const origin = await context.streamOrigins.find({
            requestId,
            streamKey: resumes && dispatch.streamKeyOf(resumes, customer, path),
            route,
            resumes,
            lastEventId,
        });
        return origin.map(found => ({ lastEventId, origin: found }));
    }

    /** Records the origin of this request's stream, unless the caller resumes an earlier one. */
    function recordOrigin({ requestId, route }: dispatch.Job, origin: dispatch.StreamOrigin): void {
        if (route.resumable && requestHead.lastEventId === undefined) {
            context.streamOrigins.recordBegun(dispatch.streamKeyOf(requestId, customer, path), origin, route);
        }
    }

    /** Gives the request its final answer now, which depends on whether an upstream may have run it. */
    function end(ifNotRun: RefusalReason, ifMayHaveRun: UpstreamFailureReason): void {
        hasBeenEnded = true;
        const mayHaveRun = attemptSequence?.mayHaveRun() === true;
        attemptSequence?.cancel(ifMayHaveRun);
        if (!callerResponse.hasEnded()) {
            // The refusal needs none, and may wait long behind another response on its connection.
            attemptMemory.release();
        }
        refuse(mayHaveRun ? createUpstreamFailure(ifMayHaveRun) : createRefusal(ifNotRun));
    }

    function onDeadline(): void {
        if (callerResponse.hasEnded()) {
            // The caller has not taken all of it. It may, for as long as no other response waits for the memory.
            attemptMemory.yieldWhenNeeded(callerResponse.abortUnread);
        }
        end(stage === "body" ? "not-sent-in-time" : "deadline", "upstream-timeout");
    }

    function endIfWaiting(): void {
        if (!callerResponse.hasBegun()) {
            end("draining", "drain-ended");
        }
    }

    const isCancelled = (): boolean => callerDisconnected || hasBeenEnded;

    // The key may have been withdrawn, or the configuration become too old, while the request was queued.
    function isStillAllowed(job: dispatch.Job): boolean {
        if (job.customer === undefined) {
            return true;
        }
        const holder = context.follower.snapshot.read().activeConfig?.customersByKey.get(requestHead.key ?? "");
        return holder?.id === job.customer && freshness.acceptsKeysWithoutConfirming();
    }

    async function serveBuffered(job: dispatch.Job, sequence: AttemptSequence): Promise<void> {
        let lastFailure: { statusCode: number; headers: string[]; body: Buffer; } | undefined;
        for (;;) {
            const result = await sequence.nextResponse(undefined);
            if (result.isErr()) {
                return lastFailure
                    ? callerResponse.send(lastFailure.statusCode, lastFailure.headers, lastFailure.body)
                    : refuse(result.error);
            }
            const { lease, response: upstreamResponse } = result.value;
            lease.recordFirstByte();
            const body = await readCompleteResponse(upstreamResponse, attemptMemory.latest());
            const statusCode = upstreamResponse.statusCode ?? 502;
            const isFailure = statusCode >= 500;
            lease.end(body.isErr() ? brokenOutcomeOf(body.error) : isFailure ? "failed" : "ok");
            if (isCancelled()) {
                return;
            }
            sequence.excludeUpstream(lease);
            if (body.isErr()) {
                context.connections.closeIdle(lease.upstream);
                countBrokenBody(brokenOutcomeOf(body.error));
                log.failure("answer-broken", {
                    requestId: job.requestId,
                    upstream: lease.upstream.id,
                    cause: body.error,
                });
                if (sequence.mayRetry()) {
                    continue;
                }
                return refuse(createUpstreamFailure("upstream-broken"));
            }
            const headers = codec.callerHeaders(upstreamResponse.rawHeaders);
            if (isFailure && sequence.mayRetry()) {
                attemptMemory.keepLatest();
                lastFailure = { statusCode, headers, body: body.value };
                continue;
            }
            recordFirstEvent(job, lease);
            return callerResponse.send(statusCode, headers, body.value);
        }
    }

    function countBrokenBody(outcome: RelayOutcome | dispatch.AttemptOutcome): void {
        if (outcome === "broken") {
            metrics.count("brokenResponses", { cause: "body" });
        }
    }

    async function serveStream(
        job: dispatch.Job,
        sequence: AttemptSequence,
        startPosition: StreamPosition | undefined,
    ): Promise<void> {
        const stream = createStreamState(startPosition);
        const { splitter } = stream;
        let started: StartedResponse | undefined;
        for (;;) {
            if (!started) {
                const result = await sequence.nextResponse(stream.position());
                if (result.isErr()) {
                    return refuse(result.error);
                }
                started = result.value;
            }
            const { outcome, replacedBy } = await relayUpstreamResponse(job, sequence, started, stream);
            if (outcome === "complete" || isCancelled()) {
                replacedBy?.lease.end("abandoned");
                replacedBy?.cancel("not-needed");
                return;
            }
            const { upstream } = started.lease;
            sequence.excludeUpstream(started.lease);
            countBrokenBody(outcome);
            log.failure("stream-broken", {
                requestId: job.requestId,
                upstream: upstream.id,
                softwareVersion: upstream.softwareVersion,
                cause: outcome,
                lastEventId: splitter.lastEventId(),
                begun: callerResponse.hasBegun(),
            });
            context.connections.closeIdle(upstream);
            splitter.discardPartialEvent();
            if (!replacedBy && !sequence.mayRetry()) {
                return refuse(createUpstreamFailure("upstream-broken"));
            }
            started = replacedBy;
        }
    }

    async function relayUpstreamResponse(
        job: dispatch.Job,
        sequence: AttemptSequence,
        { lease, response: upstreamResponse, cancel }: StartedResponse,
        stream: StreamState,
    ): Promise<{ outcome: RelayOutcome; replacedBy?: StartedResponse | undefined; }> {
        const statusCode = upstreamResponse.statusCode ?? 502;
        if (statusCode >= 300 && !callerResponse.hasBegun()) {
            lease.recordFirstByte();
            const body = await readCompleteResponse(upstreamResponse, attemptMemory.latest());
            lease.end(body.isErr() ? brokenOutcomeOf(body.error) : "failed");
            if (body.isOk() && !isCancelled()) {
                callerResponse.send(statusCode, codec.callerHeaders(upstreamResponse.rawHeaders), body.value);
                return { outcome: "complete" };
            }
            return { outcome: "broken" };
        }
        if (statusCode >= 300) {
            discardResponse(upstreamResponse);
            lease.end("failed");
            return { outcome: "broken" };
        }
        const replacement = sequence.createReplacement(lease, async () => {
            const isReplaced = await relay.stop() !== "complete";
            if (isReplaced) {
                cancel("replaced");
            }
            return isReplaced;
        });
        const relay = relayStream(upstreamResponse, stream.splitter, {
            callerResponse,
            begin: () => callerResponse.begin(statusCode, codec.callerHeaders(upstreamResponse.rawHeaders)),
            onFirstEvent: () => {
                lease.recordFirstByte();
                recordFirstEvent(job, lease);
                const origin = context.streamOrigins.originOf(lease.upstream);
                stream.recordBegun(origin);
                recordOrigin(job, origin);
            },
            stallWatch: job.route.resumable
                ? {
                    clock,
                    timeoutMs: (job.route.maxEventGapMs ?? defaultEventGapMs) * stallTimeoutFactor,
                    onStalled: () => replacement.start(stream.position()),
                    onProgress: replacement.cancel,
                }
                : undefined,
        });
        const outcome = await relay.outcome;
        if (outcome === "complete") {
            lease.end("ok");
            replacement.cancel();
            return { outcome };
        }
        lease.end(isCancelled() ? "abandoned" : outcome === "stopped" ? "silent" : "broken");
        return { outcome, replacedBy: await replacement.settled() };
    }

    function recordFirstEvent(job: dispatch.Job, lease: dispatch.Lease): void {
        const firstEventMs = clock.nowMs() - arrivedMs;
        metrics.observeMs("firstEventMs", firstEventMs, { kind });
        const isLate = firstEventMs > job.route.objectiveMs;
        const fields = {
            requestId: job.requestId,
            upstream: lease.upstream.id,
            firstEventMs: Math.round(firstEventMs),
            objectiveMs: job.route.objectiveMs,
        };
        if (isLate) {
            log.failure("answer-late", fields);
        }
        else {
            log.decision("answer-begun", fields);
        }
    }

    return { run, refuse, releaseBody, endIfWaiting };
}

/** How an attempt ends whose response was not read whole: that this VM had no memory for it says nothing of the upstream. */
function brokenOutcomeOf(failure: ResponseFailure): dispatch.AttemptOutcome {
    return failure === "released" ? "abandoned" : "broken";
}

/** Returns a function of the latest input that computes its result only when the input is another object than before. */
function memoizeLatest<Input, Output>(readInput: () => Input, compute: (input: Input) => Output): () => Output {
    let input = readInput();
    let output = compute(input);
    return () => {
        const latest = readInput();
        if (latest !== input) {
            input = latest;
            output = compute(latest);
        }
        return output;
    };
}

/**
 * Resolves after the event loop has polled the sockets once more, so that a disconnect right after the request is detected
 * and the request is not sent to an upstream.
 */
function nextSocketPoll(): Promise<void> {
    // The first callback runs before the next poll of the sockets, the second after it.
    return new Promise(resolve => setImmediate(() => setImmediate(resolve)));
}
