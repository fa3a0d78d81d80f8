import type * as dispatch from "@peridotloft/dispatch";

/** Why this VM responds to a request itself. */
export type RefusalReason =
    | dispatch.DispatchRefusal["reason"]
    | "processor-overloaded"
    | "starting"
    | "draining"
    | "stale-configuration"
    | "unknown-expectation"
    | "no-request-id"
    | "invalid-header"
    | "invalid-target"
    | "unknown-route"
    | "unknown-key"
    | "body-too-large"
    | "body-memory-full"
    | "response-memory-full"
    | "not-sent-in-time"
    | UpstreamFailureReason
    | "internal";

/** Why a request that an upstream may have run gets no response of an upstream. */
export type UpstreamFailureReason = "upstream-timeout" | "upstream-broken" | "relay-lost" | "drain-ended";

/** A response that this VM generates itself. */
export interface Refusal {
    readonly reason: RefusalReason;
    readonly statusCode: number;
    /** Time in ms after which the caller may retry; undefined if a retry does not help. */
    readonly retryAfterMs: number | undefined;
}

/** 503 and 429 guarantee that no upstream has run the request; 502 and 504 do not. */
const statusCodes: Readonly<Record<RefusalReason, number>> = {
    "no-upstream": 503,
    "overloaded": 503,
    "over-share": 429,
    "deadline": 503,
    "retry-budget": 503,
    "quarantined": 503,
    "suspected": 503,
    "paused": 503,
    "origin-unknown": 503,
    "origin-removed": 503,
    "cancelled": 503,
    "processor-overloaded": 503,
    "starting": 503,
    "draining": 503,
    "stale-configuration": 503,
    "unknown-expectation": 417,
    "no-request-id": 400,
    "invalid-header": 400,
    "invalid-target": 400,
    "unknown-route": 404,
    "unknown-key": 401,
    "body-too-large": 413,
    "body-memory-full": 503,
    "response-memory-full": 503,
    "not-sent-in-time": 503,
    "upstream-timeout": 504,
    "upstream-broken": 502,
    "relay-lost": 502,
    "drain-ended": 504,
    "internal": 502,
};

/** Retry-After in ms for reasons that no longer apply at another VM or after the store has responded. */
const defaultRetryAfterMs: Partial<Readonly<Record<RefusalReason, number>>> = {
    "processor-overloaded": 150,
    "starting": 200,
    "draining": 50,
    "stale-configuration": 200,
};

export function createRefusal(reason: RefusalReason, retryAfterMs?: number): Refusal {
    return { reason, statusCode: statusCodes[reason], retryAfterMs: retryAfterMs ?? defaultRetryAfterMs[reason] };
}

/** A refusal of a request that an upstream may have run; its status code leaves that open. */
export function createUpstreamFailure(reason: UpstreamFailureReason): Refusal {
    return { reason, statusCode: statusCodes[reason], retryAfterMs: undefined };
}

/** Whether the status code of a refusal guarantees that no upstream has run the request. */
export function statesNotRun({ statusCode }: Refusal): boolean {
    return statusCode === 503 || statusCode === 429;
}

/** The JSON body of a refusal. */
export function formatRefusalBody({ reason }: Refusal): string {
    return JSON.stringify({ error: { code: reason } });
}
