import * as core from "@peridotloft/core";
import type * as dispatch from "@peridotloft/dispatch";
import { err, ok, type Result } from "neverthrow";
import type * as http from "node:http";
import type { GatewayContext } from "./GatewayContext.js";
import { createRefusal, createUpstreamFailure, type Refusal, type RefusalReason } from "./Refusal.js";
import { discardResponse } from "./ResponseRelay.js";
import { type Attempt, type AttemptFailure, startAttempt } from "./UpstreamAttempt.js";

/** A caller's request in the form in which it is sent to upstreams. */
export interface AttemptRequest {
    readonly job: dispatch.Job;
    /** Whether the request may be run more than once. */
    readonly isRetryable: boolean;
    readonly method: string;
    readonly path: string;
    readonly body: Buffer;
    readonly rawHeaders: readonly string[];
    /** Whether the caller has disconnected or the deadline has passed. */
    isCancelled(): boolean;
    /** Checked immediately before each write; false if the configuration no longer allows the request. */
    isStillAllowed(): boolean;
}

/** An upstream's response whose head has been received. */
export interface StartedResponse {
    readonly lease: dispatch.Lease;
    readonly response: http.IncomingMessage;
}

/** Sends a request to one upstream after another, within the route's maximum number of attempts and the retry budget. */
export interface AttemptSequence {
    /** Tries upstreams until one responds; fails when no further attempt is allowed. */
    nextResponse(lastEventId: string | undefined): Promise<Result<StartedResponse, Refusal>>;
    /** Excludes an upstream whose response could not be used from further attempts. */
    excludeUpstream(lease: dispatch.Lease): void;
    mayRetry(): boolean;
    /** Whether an upstream may have run the request in the current attempt or an earlier one. */
    mayHaveRun(): boolean;
    /** Closes the connection of the current attempt. */
    cancel(cause: string): void;
}

/** The response timeout on a reused connection is the expected time multiplied by the factor, plus the slack in ms. */
const responseTimeoutFactor = 3;
const responseTimeoutSlackMs = 400;

export function createAttemptSequence(context: GatewayContext, request: AttemptRequest): AttemptSequence {
    const { clock, codec, log } = context;
    const { job, isRetryable } = request;
    /** Upstreams to which at least part of the request was sent. */
    const sentTo = new Set<core.UpstreamId>();
    /** The same, together with upstreams to which no connection could be opened. */
    const excluded = new Set<core.UpstreamId>();
    let currentAttempt: Attempt | undefined;
    let mayHaveRun = false;

    async function nextResponse(lastEventId: string | undefined): Promise<Result<StartedResponse, Refusal>> {
        for (;;) {
            const lease = await context.dispatcher.acquire(job, excluded, sentTo.size > 0);
            if (lease.isErr()) {
                return err(createSequenceRefusal(mayHaveRun, lease.error.reason, lease.error.retryAfterMs));
            }
            if (request.isCancelled()) {
                lease.value.end("abandoned");
                return err(createSequenceRefusal(mayHaveRun, "cancelled", undefined));
            }
            const result = await runAttempt(lease.value, lastEventId);
            if (result.isOk()) {
                return ok({ lease: lease.value, response: result.value });
            }
            const failure = result.error;
            log.failure("attempt-failed", {
                requestId: job.requestId,
                upstream: lease.value.upstream.id,
                cause: failure.cause,
                verdict: failure.verdict,
                attempts: sentTo.size,
            });
            excluded.add(lease.value.upstream.id);
            if (failure.sent) {
                sentTo.add(lease.value.upstream.id);
            }
            if (request.isCancelled()) {
                return err(createSequenceRefusal(mayHaveRun, "cancelled", undefined));
            }
            if (sentTo.size >= job.route.maxAttempts || !core.mayRetry(failure.verdict, isRetryable)) {
                return err(createSequenceRefusal(mayHaveRun, "overloaded", retryAfterShedMs));
            }
        }
    }

    async function runAttempt(
        lease: dispatch.Lease,
        lastEventId: string | undefined,
    ): Promise<Result<http.IncomingMessage, AttemptFailure>> {
        const { upstream } = lease;
        currentAttempt = startAttempt({
            upstream,
            agent: context.connections.agentOf(upstream, !isRetryable),
            method: request.method,
            path: request.path,
            body: request.body,
            headers: () =>
                codec.upstreamHeaders(request.rawHeaders, {
                    upstream,
                    customer: job.customer,
                    remainingMs: Math.max(1, Math.floor(job.deadlineMs - clock.nowMs())),
                    bodyBytes: request.body.length,
                    lastEventId,
                }),
            mayWrite: () => lease.mayWrite() && request.isStillAllowed(),
        }, clock);
        const cancelResponseTimeout = startResponseTimeout(currentAttempt, lease);
        const response = await currentAttempt.response;
        cancelResponseTimeout();
        const result = response.andThen(message => checkResponse(message, lease));
        mayHaveRun ||= result.isOk() || result.error.verdict !== "not-run";
        if (result.isErr()) {
            lease.end(result.error.outcome);
            if (
                result.error.outcome === "silent" || result.error.outcome === "broken"
                || result.error.outcome === "connect-failed"
            ) {
                context.connections.closeIdle(upstream);
            }
        }
        return result;
    }

    /**
     * A reused connection may be dead without any error. If the response is far later than expected, closes all idle
     * connections, since they may be dead as well, and times out the attempt if the request can be retried in time.
     */
    function startResponseTimeout(attempt: Attempt, lease: dispatch.Lease): () => void {
        const waitMs = lease.expectedMs * responseTimeoutFactor + responseTimeoutSlackMs;
        return clock.setTimer(waitMs, () => {
            if (!attempt.usesReusedConnection()) {
                return;
            }
            context.connections.closeAllIdle();
            const remainingMs = job.deadlineMs - clock.nowMs();
            const givesUp = isRetryable && remainingMs > lease.expectedMs;
            log.failure("no-answer", {
                requestId: job.requestId,
                upstream: lease.upstream.id,
                waitMs: Math.round(waitMs),
                givesUp,
            });
            if (givesUp) {
                attempt.timeOut();
            }
        });
    }

    function checkResponse(
        message: http.IncomingMessage,
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
                currentAttempt?.cancel(cause);
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
        excludeUpstream(lease) {
            excluded.add(lease.upstream.id);
            sentTo.add(lease.upstream.id);
        },
        mayRetry: () => isRetryable && sentTo.size < job.route.maxAttempts,
        mayHaveRun: () => mayHaveRun || currentAttempt?.isSent() === true,
        cancel: cause => currentAttempt?.cancel(cause),
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
