import type * as catalog from "@peridotloft/catalog";
import type * as core from "@peridotloft/core";

/** A part of a prompt that other requests may share. Kept by an engine only together with all parts before it. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** What a request asks of an engine. */
export interface Prompt {
    readonly model: string;
    readonly inputTokens: number;
    readonly maxOutputTokens: number;
    /** In order; the last part belongs to the request itself. */
    readonly parts: readonly PromptPart[];
}

/** A request that needs a place at an upstream. */
export interface Job {
    readonly requestId: core.RequestId;
    readonly route: catalog.Route;
    readonly pool: core.PoolId;
    /** Undefined on open routes. */
    readonly customer: core.CustomerId | undefined;
    readonly priority: number;
    /** Undefined for plain services. */
    readonly prompt: Prompt | undefined;
    /** Time in ms on the steady clock at which the request's head arrived. */
    readonly arrivedMs: number;
    /** Time in ms on the steady clock after which nobody waits for an answer. */
    readonly deadlineMs: number;
    /** Identifies the work, not the attempt: the same for each attempt of a caller. Computed when it is needed. */
    fingerprint(): number;
}

/** Why a request gets no place. It has not run. */
export interface DispatchRefusal {
    readonly reason: "no-upstream" | "overloaded" | "deadline" | "retry-budget" | "quarantined" | "cancelled";
    /** Time in ms after which the caller may come back; undefined where that does not help. */
    readonly retryAfterMs: number | undefined;
}

/** How a request ended at an upstream. */
export type AttemptOutcome =
    /** A complete answer, or a stream that began and was cut by the caller. */
    | "ok"
    /** The upstream refused it without running it. */
    | "shed"
    /** Another upstream has the address. */
    | "misdirected"
    /** A failure that the upstream answered. */
    | "failed"
    /** No connection; nothing was sent. */
    | "connect-failed"
    /** The connection ended before the answer did. */
    | "broken"
    /** No answer, or none for too long. */
    | "silent"
    /** The caller left, or the request was given up for a reason that says nothing of the upstream. */
    | "abandoned";

/** A place at an upstream. */
export interface Lease {
    readonly upstream: catalog.KnownUpstream;
    /** Expected time in ms to the first byte of the answer. */
    readonly expectedMs: number;
    /** Whether the upstream may still be sent to. Asked directly before the request is written. */
    mayWrite(): boolean;
    /** The first event of a stream, or the head of an answer, has arrived. */
    noteFirstByte(): void;
    end(outcome: AttemptOutcome): void;
}
