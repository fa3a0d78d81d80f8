import type * as core from "@peridotloft/core";
import * as constants from "./RouterConstants.js";

/**
 * Rule for the verdict of a kind of failure:
 *
 * - `not-run`: the request was refused before it was sent to an upstream, or the upstream refused it before running it.
 * - `if-written`: the request may have run if any part of it was written to an upstream.
 */
type VerdictRule = "not-run" | "if-written";

interface FailureRule {
    readonly statusCode: number;
    readonly type: string;
    readonly verdict: VerdictRule;
    readonly message: string;
    /** Set if a retry by the caller may succeed. */
    readonly retryAfterMs?: number;
}

const retryAfterMs = constants.defaultRetryAfterMs;

const invalid = (statusCode: number, message: string): FailureRule => ({
    statusCode,
    type: "invalid_request_error",
    verdict: "not-run",
    message,
});

const unavailable = (statusCode: number, message: string): FailureRule => ({
    statusCode,
    type: "unavailable_error",
    verdict: "not-run",
    message,
    retryAfterMs,
});

const upstream = (statusCode: number, verdict: VerdictRule, message: string): FailureRule => ({
    statusCode,
    type: "upstream_error",
    verdict,
    message,
    retryAfterMs,
});

/** Every kind of failure, with its status and the rule for its verdict. */
export const failureRules = {
    "not-ready": unavailable(503, "this VM has not received a document yet"),
    "memory-full": unavailable(503, "the memory limit on buffered request bodies is reached"),
    "unknown-route": invalid(404, "no such route"),
    "method-not-allowed": invalid(405, "the route does not accept this method"),
    "invalid-request": invalid(400, "the request is invalid"),
    "body-too-large": invalid(413, "the request body is too large"),
    "headers-too-large": invalid(431, "the request headers are too large"),
    "slow-request": { ...invalid(408, "the request was not received in time"), retryAfterMs },
    "unknown-model": invalid(404, "no pool serves this model"),
    "missing-key": { ...invalid(401, "an API key is required"), type: "authentication_error" },
    "unknown-key": { ...invalid(401, "the API key is not valid"), type: "authentication_error" },
    "key-withdrawn": {
        statusCode: 401,
        type: "authentication_error",
        verdict: "if-written",
        message: "the API key has been withdrawn",
    },
    "quarantined": {
        ...invalid(422, "requests with this content have crashed several upstreams"),
        retryAfterMs: constants.quarantineMs,
    },
    "rate-exceeded": { ...unavailable(429, "the customer's rate is exceeded"), type: "rate_limit_error" },
    "cost-exceeds-burst": invalid(400, "the request costs more than the customer's burst"),
    "unknown-customer": { ...invalid(403, "the key's customer does not exist"), type: "authentication_error" },
    "queue-full": { ...unavailable(429, "the customer's queue is full"), type: "rate_limit_error" },
    "queue-deadline": unavailable(503, "the request cannot be run before its deadline"),
    "no-upstream": unavailable(503, "no upstream of the pool is available"),
    "expired": unavailable(503, "the request was delayed until its run permission had expired"),
    "caller-left": { ...unavailable(499, "the caller closed the connection"), verdict: "if-written" },
    "connect-failed": upstream(502, "not-run", "could not connect to the upstream"),
    "refused-before-running": upstream(503, "not-run", "the upstream refused the request before running it"),
    "overloaded": upstream(503, "if-written", "the upstream is overloaded"),
    "connection-broken": upstream(502, "if-written", "the connection to the upstream broke"),
    "first-byte-timeout": upstream(504, "if-written", "the upstream did not begin its response in time"),
    "idle-timeout": upstream(504, "if-written", "the upstream did not send the next part of its response in time"),
    "deadline": upstream(504, "if-written", "the request did not complete before its deadline"),
    "truncated": upstream(502, "if-written", "the upstream's response is incomplete"),
    "malformed": upstream(502, "if-written", "the upstream's response is not valid HTTP"),
    "answer-too-large": upstream(502, "if-written", "the upstream's response is too large"),
    "internal": { ...upstream(500, "if-written", "internal error"), type: "internal_error" },
} satisfies Record<string, FailureRule>;

export type FailureKind = keyof typeof failureRules;

/** Failure of a request or of one attempt. */
export interface RequestFailure {
    readonly kind: FailureKind;
    /** Whether any part of the request may have been written to an upstream, in this attempt or an earlier one. */
    readonly written: boolean;
    /** Overrides the default message of the kind. */
    readonly message?: string;
    /** Overrides the default delay of the kind, in ms. */
    readonly retryAfterMs?: number;
}

/** The error response to a caller. */
export interface Refusal {
    readonly statusCode: number;
    readonly type: string;
    readonly code: string;
    readonly message: string;
    readonly verdict: core.Verdict;
    readonly retryAfterMs?: number | undefined;
}

/** Creates a failure that occurred before anything was written to an upstream. */
export function unwrittenFailure(kind: FailureKind, detail: Pick<RequestFailure, "message" | "retryAfterMs"> = {}) {
    return { kind, written: false, ...detail } satisfies RequestFailure;
}

/** Verdict of one failed attempt, regardless of earlier ones. */
export function verdictOf(failure: RequestFailure): core.Verdict {
    const rule: FailureRule = failureRules[failure.kind];
    return rule.verdict === "if-written" && failure.written ? "may-have-run" : "not-run";
}

/** Verdict of a request after several attempts: `not-run` only if every attempt has that verdict. */
export function combineVerdicts(earlierVerdict: core.Verdict, lastVerdict: core.Verdict): core.Verdict {
    return earlierVerdict === "not-run" ? lastVerdict : earlierVerdict;
}

/** Creates the error response to a failure; `earlierVerdict` is the verdict of the attempts before the failed one. */
export function refusalOf(failure: RequestFailure, earlierVerdict: core.Verdict = "not-run"): Refusal {
    const rule: FailureRule = failureRules[failure.kind];
    return {
        statusCode: rule.statusCode,
        type: rule.type,
        code: failure.kind,
        message: failure.message ?? rule.message,
        verdict: combineVerdicts(earlierVerdict, verdictOf(failure)),
        retryAfterMs: failure.retryAfterMs ?? rule.retryAfterMs,
    };
}
