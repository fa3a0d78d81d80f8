import type * as catalog from "@peridotloft/catalog";
import type * as core from "@peridotloft/core";
import type { ResponseStatements } from "./UpstreamStatements.js";

/** A part of a prompt that other requests may share. An engine caches it only together with all parts before it. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** The inference work that a request asks of an engine. */
export interface Prompt {
    readonly model: string;
    readonly inputTokens: number;
    readonly maxOutputTokens: number;
    /** In order; the last part is specific to the request. */
    readonly parts: readonly PromptPart[];
}

/** The parts of a prompt that other requests may share. */
export function sharedPartsOf(prompt: Prompt | undefined): readonly PromptPart[] {
    return prompt?.parts.slice(0, -1) ?? [];
}

/** A request to be dispatched to an upstream. */
export interface Job {
    readonly requestId: core.RequestId;
    readonly route: catalog.Route;
    readonly pool: core.PoolId;
    /** Undefined on routes that need no key. */
    readonly customer: core.CustomerId | undefined;
    readonly priority: number;
    /** Undefined for plain services. */
    readonly prompt: Prompt | undefined;
    /** Time in ms on the steady clock at which the request headers arrived. */
    readonly arrivedMs: number;
    /**
     * Time in ms on the steady clock after which the caller no longer waits for a response. Later than before once a newer
     * configuration gives the route more time.
     */
    readonly deadlineMs: () => number;
    /** Identifies the work, not the attempt: it is the same for each attempt of a caller. Computed on demand. */
    fingerprint(): number;
}

/** Why a request was refused. A refused request has not run. */
export interface DispatchRefusal {
    readonly reason:
        | "no-upstream"
        | "overloaded"
        /** There is capacity, but other customers that have used less are owed it. */
        | "over-share"
        | "deadline"
        | "retry-budget"
        | "quarantined"
        | "suspected"
        | "paused"
        | "origin-unknown"
        | "origin-removed"
        | "cancelled";
    /** Time in ms after which the caller may retry; undefined if a retry does not help. */
    readonly retryAfterMs: number | undefined;
}

/** How an attempt at an upstream ended. */
export type AttemptOutcome =
    /** A complete response, or a stream that began and was closed by the caller. */
    | "ok"
    /** The upstream refused the request without running it. */
    | "shed"
    /** Another upstream now has the address. */
    | "misdirected"
    /** The upstream responded with an error. */
    | "failed"
    /** No connection; nothing was sent. */
    | "connect-failed"
    /** The connection closed before the response was complete. */
    | "broken"
    /** Replaced by an attempt at another upstream for lack of a response, or since the response stalled. */
    | "silent"
    /** The caller disconnected, or the attempt was cancelled for a reason unrelated to the upstream. */
    | "abandoned";

/** The right to send one request to an upstream. */
export interface Lease {
    readonly upstream: catalog.KnownUpstream;
    /** Expected time in ms to the first byte of the response. */
    readonly expectedMs: number;
    /** Whether the request may still be sent to the upstream. Checked immediately before the request is written. */
    mayWrite(): boolean;
    /** Records that the first event of a stream, or the response headers, arrived. */
    recordFirstByte(): void;
    /** Records that the upstream has sent nothing for longer than expected. The lease stays open: it may still respond. */
    recordUnresponsive(): void;
    /** Records what the upstream states about itself in the response. */
    recordStatements(statements: ResponseStatements): void;
    end(outcome: AttemptOutcome): void;
}
