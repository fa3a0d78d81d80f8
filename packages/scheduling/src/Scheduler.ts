import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import type { Result } from "neverthrow";

export interface SlotRequest {
    readonly customer: core.CustomerId;
    readonly pool: core.PoolId;
    readonly estimatedCost: number;
    /** Time on this VM's clock by which the request must have ended, in ms. */
    readonly deadlineMs: number;
    /** Upstreams that have already been tried. */
    readonly exclude: readonly core.UpstreamId[];
}

/** How a request ended at its upstream, as far as it says something about the upstream. */
export type UpstreamOutcome =
    | "completed"
    /** The caller left or its key was withdrawn. */
    | "cancelled"
    /** The upstream refused for lack of capacity (503 or 429). */
    | "overloaded"
    /** Connection refused: nothing was sent. */
    | "unreachable"
    /** The connection broke after the request had been written. */
    | "broken"
    /** No first byte, or a silence within the answer, beyond the limit. */
    | "timed-out";

/** The right to run one request at one upstream. `release` is called exactly once. */
export interface SlotLease {
    readonly upstream: documents.Upstream;
    /**
     * Time on this VM's clock at which the request must have ended, in ms. The holder cancels the request and releases
     * the lease by then; a little later the slot's owner gives the slot to another request.
     */
    readonly deadlineMs: number;
    /** Notes the first byte of the answer, `delayMs` after the request was written. */
    noteFirstByte(delayMs: number): void;
    release(outcome: UpstreamOutcome, actualCost: number): void;
}

/** Refusal to run a request. Its verdict is always `not-run`. */
export interface QueueRefusal {
    readonly kind: "queue-full" | "deadline" | "no-upstream" | "cancelled";
    readonly retryAfterMs: number;
}

/** Queues requests fairly and gives them slots of upstreams. */
export interface Scheduler {
    /** Waits for a slot. An aborted `signal` ends the wait with `cancelled`. */
    acquire(request: SlotRequest, signal: AbortSignal): Promise<Result<SlotLease, QueueRefusal>>;
    /** Takes one retry from the budget of 10% of recent requests; false when it is used up. */
    mayRetry(): boolean;
    /** Whether requests with this content have crashed too many upstreams. */
    isQuarantined(fingerprint: string): boolean;
    /** Notes that an upstream crashed while it ran a request with this fingerprint. */
    noteCrash(fingerprint: string, upstream: core.UpstreamId): void;
    status(): SchedulerStatus;
    dispose(): void;
}

export type UpstreamPhase = "cold" | "ramping" | "warm";

export interface SchedulerStatus {
    readonly upstreams: readonly UpstreamStatus[];
    readonly queues: readonly QueueStatus[];
    readonly quarantined: readonly string[];
}

export interface UpstreamStatus {
    readonly upstream: core.UpstreamId;
    readonly pool: core.PoolId;
    readonly phase: UpstreamPhase;
    readonly usableSlots: number;
    /** Slots that this VM owns, and how many of them are in use by any VM. */
    readonly ownedSlots: number;
    readonly ownedSlotsInUse: number;
    /** Requests that this VM runs there now. */
    readonly inFlight: number;
}

export interface QueueStatus {
    readonly customer: core.CustomerId;
    readonly pool: core.PoolId;
    readonly waiting: number;
    /** Service received over the whole fleet divided by weight, in cost units. */
    readonly virtualTime: number;
}
