import * as core from "@peridotloft/core";
import type * as dispatch from "@peridotloft/dispatch";
import { err, ok, type Result } from "neverthrow";
import type * as http from "node:http";
import type { GatewayContext } from "./GatewayContext.js";
import { createRefusal, createUpstreamFailure, type Refusal, type RefusalReason } from "./Refusal.js";
import { createReplacement, type Replacement } from "./Replacement.js";
import { discardResponse } from "./ResponseRelay.js";
import { type RunCheck, verifyRun } from "./RunVerification.js";
import { type Attempt, type AttemptFailure, connectTimeoutMs, startAttempt } from "./UpstreamAttempt.js";

/** A caller's request in the form in which it is sent to upstreams. */
export interface AttemptRequest {
    readonly job: dispatch.Job;
    /** Whether the request may be run more than once. */
    readonly isRetryable: boolean;
    /** Attempts that another VM may have made before this one. They count in the route's maximum number, and the request may have run. */
    readonly earlierAttempts: number;
    readonly method: string;
    readonly path: string;
    /** The body; not called after the request has ended. */
    body(): Buffer;
    readonly rawHeaders: readonly string[];
    /**
     * Reserves memory for the response to an attempt before the request is sent; fails with the time in ms after which the caller
     * may retry. Undefined if it is reserved.
     */
    reserveResponse(): Promise<Result<void, number>> | undefined;
    /** Whether the caller has disconnected or the deadline has passed. */
    isCancelled(): boolean;
    /** Whether the response to the caller has begun. */
    hasBegun(): boolean;
    /** Checked immediately before each write; false if the configuration no longer allows the request. */
    isStillAllowed(): boolean;
    /**
     * Checked immediately before each write: whether the caller no longer waits for a response that has not begun. In a long turn
     * of the event loop, its disconnect may not be seen before the write.
     */
    hasCallerGivenUp(): boolean;
}

/** Where a stream goes on that has begun. */
export interface StreamPosition {
    /** The last event that the caller has received. */
    readonly lastEventId: string;
    readonly origin: dispatch.StreamOrigin;
}

/** An upstream's response whose head has been received. */
export interface StartedResponse {
    readonly lease: dispatch.Lease;
    readonly response: http.IncomingMessage;
    /** Closes the connection to the upstream. */
    cancel(cause: string): void;
}

/** Sends a request to one upstream after another, within the route's maximum number of attempts and the retry budget. */
export interface AttemptSequence {
    /** Tries upstreams until one responds; fails when no further attempt is allowed. */
    nextResponse(position: StreamPosition | undefined): Promise<Result<StartedResponse, Refusal>>;
    /**
     * @param current lease of the attempt that may be replaced.
     * @param onResponse called with the successful response of another upstream; resolves with whether it is used.
     */
    createReplacement(current: dispatch.Lease, onResponse: (started: StartedResponse) => Promise<boolean>): Replacement;
    /** Excludes an upstream whose response could not be used from further attempts. */
    excludeUpstream(lease: dispatch.Lease): void;
    mayRetry(): boolean;
    /** Whether an upstream may have run the request in the current attempt or an earlier one. */
    mayHaveRun(): boolean;
    /** Upstreams of all attempts so far, in order. */
    upstreams(): readonly core.UpstreamId[];
    /** Closes the connections of all attempts. */
    cancel(cause: string): void;
    /** Closes the connections to upstreams that have not read the request to its end. */
    endWrites(): void;
    /** Whether the outcome of an attempt is not known yet. */
    isInProgress(): boolean;
}

/** An attempt in progress, with the lease under which it was sent. */
export interface LeasedAttempt {
    readonly attempt: Attempt;
    readonly lease: dispatch.Lease;
    readonly result: Promise<Result<StartedResponse, AttemptFailure>>;
}

/** The response timeout on a reused connection is the expected time multiplied by the factor, plus the slack in ms. */
const responseTimeoutFactor = 3;
const responseTimeoutSlackMs = 400;

/** Longest time in ms for which an upstream that was silent before is asked for its run. */
const maxStatementTimeoutMs = 2_000;

/** An upstream that has not stated its run, and the time in ms for which it is asked next. */
interface SilentUpstream {
    readonly lease: dispatch.Lease;
    readonly timeoutMs: number;
}

/** How an attempt ends whose upstream has not stated the run of its entry. */
const verificationFailures: Partial<Readonly<Record<RunCheck, dispatch.AttemptOutcome>>> = {
    other: "misdirected",
    silent: "silent",
    unreachable: "connect-failed",
};

export function createAttemptSequence(context: GatewayContext, request: AttemptRequest): AttemptSequence {
    const { clock, codec, log, metrics } = context;
    const { job, isRetryable, earlierAttempts } = request;
    const maxAttempts = (): number => job.route.maxAttempts - earlierAttempts;
    /** Upstreams to which at least part of the request was sent. */
    const sentTo = new Set<core.UpstreamId>();
    /** The same, together with upstreams to which no connection could be opened. */
    const excluded = new Set<core.UpstreamId>();
    const attempts = new Set<Attempt>();
    /** The same, together with those that failed: an upstream may respond before it has read the request. */
    const startedAttempts = new Set<Attempt>();
    const attemptedUpstreams: core.UpstreamId[] = [];
    /** Agents of the connections on which the upstreams of leases have stated their run. */
    const verifiedAgents = new WeakMap<dispatch.Lease, http.Agent>();
    let mayHaveRun = earlierAttempts > 0;
    let inProgressCount = 0;

    async function nextResponse(position: StreamPosition | undefined): Promise<Result<StartedResponse, Refusal>> {
        for (;;) {
            // A response that has begun can only be cut if no upstream goes on with it, any other is refused as not run.
            const lease = await acquire(excluded, sentTo.size > 0, position, request.hasBegun());
            if (lease.isErr()) {
                return err(createSequenceRefusal(mayHaveRun, lease.error.reason, lease.error.retryAfterMs));
            }
            const reserved = await request.reserveResponse();
            if (request.isCancelled()) {
                lease.value.end("abandoned");
                return err(createSequenceRefusal(mayHaveRun, "cancelled", undefined));
            }
            if (reserved?.isErr()) {
                lease.value.end("abandoned");
                return err(createSequenceRefusal(mayHaveRun, "response-memory-full", reserved.error));
            }
            if (request.hasCallerGivenUp()) {
                lease.value.end("abandoned");
                return refuseAbandoned();
            }
            const result = await awaitFirstResponse(lease.value, position);
            if (result.isOk()) {
                return ok(result.value);
            }
            if (request.isCancelled()) {
                return err(createSequenceRefusal(mayHaveRun, "cancelled", undefined));
            }
            if (request.hasCallerGivenUp()) {
                return refuseAbandoned();
            }
            if (sentTo.size >= maxAttempts() || !core.mayRetry(result.error.verdict, isRetryable)) {
                return err(createSequenceRefusal(mayHaveRun, "overloaded", retryAfterShedMs));
            }
        }
    }

    function refuseAbandoned(): Result<never, Refusal> {
        log.failure("caller-gave-up", {
            requestId: job.requestId,
            heldMs: Math.round(clock.nowMs() - job.arrivedMs),
            attempts: sentTo.size,
        });
        return err(createSequenceRefusal(mayHaveRun, "deadline", undefined));
    }

    /** @param awaitsSilent whether upstreams that have not stated their run in time are asked again until the request ends. */
    async function acquire(
        avoided: ReadonlySet<core.UpstreamId>,
        isRetry: boolean,
        position: StreamPosition | undefined,
        awaitsSilent: boolean,
    ): Promise<Result<dispatch.Lease, dispatch.DispatchRefusal>> {
        if (!position) {
            return context.dispatcher.acquire(job, avoided, isRetry);
        }
        const unverified = new Set(avoided);
        /** Upstreams that are asked for their run again while no other one can go on. */
        const silent: SilentUpstream[] = [];
        try {
            for (;;) {
                if (!context.streamOrigins.mayContinue()) {
                    return err({ reason: "origin-unknown", retryAfterMs: undefined });
                }
                const acquired = await context.dispatcher.acquire(job, unverified, isRetry, position.origin);
                const candidate = acquired.isOk()
                    ? { lease: acquired.value, timeoutMs: connectTimeoutMs }
                    : silent.shift();
                if (!candidate) {
                    return acquired;
                }
                const { lease, timeoutMs } = candidate;
                const check = request.isCancelled() ? undefined : await checkRun(lease, timeoutMs);
                const failure = check && verificationFailures[check];
                if (!failure) {
                    return ok(lease);
                }
                unverified.add(lease.upstream.id);
                if (check === "silent" && awaitsSilent) {
                    silent.push({ lease, timeoutMs: Math.min(2 * timeoutMs, maxStatementTimeoutMs) });
                }
                else {
                    lease.end(failure);
                }
            }
        }
        finally {
            silent.forEach(({ lease }) => lease.end("silent"));
        }
    }

    /** Asks the upstream of a lease whether it has started again since its entry. */
    async function checkRun(lease: dispatch.Lease, timeoutMs: number): Promise<RunCheck> {
        const { upstream } = lease;
        const { check, startedWallMs, agent } = await verifyRun(upstream, codec, clock, timeoutMs);
        const fields = {
            requestId: job.requestId,
            upstream: upstream.id,
            check,
            entryStartedWallMs: upstream.startedWallMs,
            startedWallMs,
        };
        if (verificationFailures[check]) {
            log.failure("run-not-verified", { ...fields, timeoutMs });
        }
        else {
            log.decision("run-verified", fields);
        }
        if (check === "same") {
            verifiedAgents.set(lease, agent);
        }
        return check;
    }

    /** Waits for the response to an attempt, or to the attempt that replaces it if it is unresponsive. */
    async function awaitFirstResponse(
        lease: dispatch.Lease,
        position: StreamPosition | undefined,
    ): Promise<Result<StartedResponse, AttemptFailure>> {
        const current = startLeasedAttempt(lease, position, () => replacement.start(position));
        const replacement = createReplacementFor(lease, async () => {
            current.attempt.timeOut();
            return (await current.result).isErr();
        });
        const result = await current.result;
        if (result.isOk()) {
            replacement.cancel();
            return result;
        }
        const started = await replacement.settled();
        return started ? ok(started) : result;
    }

    function startLeasedAttempt(
        lease: dispatch.Lease,
        position: StreamPosition | undefined,
        onUnresponsive: () => void,
    ): LeasedAttempt {
        const { upstream } = lease;
        const verifiedAgent = verifiedAgents.get(lease);
        const attempt = startAttempt({
            upstream,
            agent: verifiedAgent ?? context.connections.agentOf(upstream, !isRetryable),
            requiresReusedConnection: verifiedAgent !== undefined,
            method: request.method,
            path: request.path,
            body: request.body,
            headers: () =>
                codec.upstreamHeaders(request.rawHeaders, {
                    upstream,
                    customer: job.customer,
                    remainingMs: Math.max(1, Math.floor(job.deadlineMs() - clock.nowMs())),
                    bodyBytes: request.body().length,
                    lastEventId: position?.lastEventId,
                }),
            mayWrite: () => lease.mayWrite() && request.isStillAllowed() && !request.hasCallerGivenUp(),
        }, clock);
        attempts.add(attempt);
        startedAttempts.add(attempt);
        attemptedUpstreams.push(upstream.id);
        const cancelTimer = startResponseTimer(attempt, lease, onUnresponsive);
        inProgressCount++;
        const result = receiveHead(attempt, lease).finally(() => {
            inProgressCount--;
            cancelTimer();
        });
        return { attempt, lease, result };
    }

    async function receiveHead(
        attempt: Attempt,
        lease: dispatch.Lease,
    ): Promise<Result<StartedResponse, AttemptFailure>> {
        const response = await attempt.response;
        const result = response.andThen(message => checkResponse(message, attempt, lease));
        mayHaveRun ||= result.isOk() || result.error.verdict !== "not-run";
        if (result.isErr()) {
            recordFailure(lease, result.error);
            attempts.delete(attempt);
            return err(result.error);
        }
        return ok({ lease, response: result.value, cancel: attempt.cancel });
    }

    function recordFailure(lease: dispatch.Lease, { cause, outcome, sent, verdict }: AttemptFailure): void {
        lease.end(outcome);
        if (outcome === "silent" || outcome === "broken" || outcome === "connect-failed") {
            context.connections.closeIdle(lease.upstream);
        }
        if (outcome === "broken") {
            // Each way in which the parser of Node.js fails has a code of its own.
            metrics.count("brokenResponses", { cause: cause.startsWith("HPE_") ? "not-http" : cause });
        }
        excluded.add(lease.upstream.id);
        if (sent) {
            sentTo.add(lease.upstream.id);
        }
        log.failure("attempt-failed", {
            requestId: job.requestId,
            upstream: lease.upstream.id,
            cause,
            verdict,
            attempts: sentTo.size,
        });
    }

    function excludeUpstream(lease: dispatch.Lease): void {
        excluded.add(lease.upstream.id);
        sentTo.add(lease.upstream.id);
    }

    const idOf = ({ upstream }: dispatch.Lease): core.UpstreamId => upstream.id;

    const mayRetry = (): boolean => isRetryable && sentTo.size < maxAttempts();

    function createReplacementFor(
        current: dispatch.Lease,
        onResponse: (started: StartedResponse) => Promise<boolean>,
    ): Replacement {
        return createReplacement({
            job,
            current,
            log,
            isRequestCancelled: request.isCancelled,
            mayRetry: inProgress => isRetryable && sentTo.size + inProgress < maxAttempts(),
            excludeUpstream,
            acquire: (inProgress, position) =>
                acquire(new Set([...excluded, ...inProgress.map(idOf)]), true, position, false),
            startAttempt: startLeasedAttempt,
            onResponse,
        });
    }

    /**
     * A reused connection may be dead without any error. If the response is far later than expected, closes all idle
     * connections, since they may be dead as well, and has another upstream tried if the request can be run there in time.
     * Repeats this until it is cancelled.
     */
    function startResponseTimer(attempt: Attempt, lease: dispatch.Lease, onUnresponsive: () => void): () => void {
        const waitMs = lease.expectedMs * responseTimeoutFactor + responseTimeoutSlackMs;
        return core.setRepeatingTimer(clock, waitMs, () => {
            if (!attempt.usesReusedConnection()) {
                return;
            }
            context.connections.closeAllIdle();
            const remainingMs = job.deadlineMs() - clock.nowMs();
            const seeksReplacement = isRetryable && remainingMs > lease.expectedMs;
            log.failure("no-answer", {
                requestId: job.requestId,
                upstream: lease.upstream.id,
                waitMs: Math.round(waitMs),
                seeksReplacement,
            });
            if (seeksReplacement) {
                onUnresponsive();
            }
        });
    }

    function checkResponse(
        message: http.IncomingMessage,
        attempt: Attempt,
        lease: dispatch.Lease,
    ): Result<http.IncomingMessage, AttemptFailure> {
        const responseHead = codec.readResponseHead(message.statusCode ?? 0, message.rawHeaders);
        const fail = (
            verdict: core.Verdict,
            outcome: dispatch.AttemptOutcome,
            cause: string,
        ): Result<never, AttemptFailure> => {
            if (verdict === "not-run") {
                discardResponse(message);
            }
            else {
                attempt.cancel(cause);
            }
            return err({ verdict, outcome, cause, sent: true });
        };
        if (responseHead.requestId !== undefined && responseHead.requestId !== job.requestId) {
            return fail("may-have-run", "broken", "answer-of-another-request");
        }
        if (responseHead.misdirected) {
            return fail("not-run", "misdirected", "another-upstream-at-address");
        }
        lease.recordStatements(responseHead.statements);
        if (responseHead.notRun) {
            return fail("not-run", "shed", `shed-${message.statusCode}`);
        }
        return ok(message);
    }

    return {
        nextResponse,
        createReplacement: createReplacementFor,
        excludeUpstream,
        mayRetry,
        mayHaveRun: () => mayHaveRun || [...attempts].some(attempt => attempt.isSent()),
        upstreams: () => attemptedUpstreams,
        cancel: cause => attempts.forEach(attempt => attempt.cancel(cause)),
        isInProgress: () => inProgressCount > 0,
        endWrites: () => startedAttempts.forEach(attempt => attempt.endWrite()),
    };
}

/** Retry-After in ms when the chosen upstream shed the request and no further attempt is allowed. */
const retryAfterShedMs = 200;

function createSequenceRefusal(
    mayHaveRun: boolean,
    reason: RefusalReason,
    retryAfterMs: number | undefined,
): Refusal {
    return mayHaveRun ? createUpstreamFailure("upstream-broken") : createRefusal(reason, retryAfterMs);
}
