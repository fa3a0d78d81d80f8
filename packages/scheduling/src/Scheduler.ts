import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import type { Result } from "neverthrow";

export interface SlotRequest {
    readonly customer: core.CustomerId;
    readonly pool: core.PoolId;
    readonly estimatedCost: number;
    /** Time in ms on this VM's clock by which the request must have ended. */
    readonly deadlineMs: number;
    /** Upstreams at which the request has already been tried. */
    readonly exclude: readonly core.UpstreamId[];
}

/** How a request ended at its upstream, as far as it concerns the health of the upstream. */
export type UpstreamOutcome =
    | "completed"
    /** The caller disconnected or its API key was withdrawn. */
    | "cancelled"
    /** The upstream refused the request for lack of capacity (503 or 429). */
    | "overloaded"
    /** Connection refused: nothing was sent. */
    | "unreachable"
    /** The connection broke after the request had been written. */
    | "broken"
    /** The first byte, or a later part of the response, did not arrive within the time limit. */
    | "timed-out";

/** The right to run one request at one upstream. `release` is called exactly once. */
export interface SlotLease {
    readonly upstream: documents.Upstream;
    /**
     * Time in ms on this VM's clock by which the request must have ended. The holder cancels the request and releases the
     * lease by then; shortly afterwards the slot's owner assigns the slot to another request.
     */
    readonly deadlineMs: number;
    /** Records that the first byte of the response arrived `delayMs` after the request was written. */
    recordFirstByte(delayMs: number): void;
    release(outcome: UpstreamOutcome, actualCost: number): void;
}

/** Refusal to run a request. Its verdict is always `not-run`. */
export interface QueueRefusal {
    readonly kind: "queue-full" | "deadline" | "no-upstream" | "cancelled";
    readonly retryAfterMs: number;
}

/** Queues requests by customer and assigns upstream slots to them with weighted fair queueing. */
export interface Scheduler {
    /** Waits for a slot. If `signal` is aborted, the request leaves the queue with the refusal `cancelled`. */
    acquire(request: SlotRequest, signal: AbortSignal): Promise<Result<SlotLease, QueueRefusal>>;
    /** Takes one retry from the budget of 10% of recent requests; false if the budget is used up. */
    tryTakeRetry(): boolean;
    /** Whether requests with this fingerprint have crashed too many upstreams. */
    isQuarantined(fingerprint: string): boolean;
    /** Records that an upstream crashed while it ran a request with this fingerprint. */
    recordCrash(fingerprint: string, upstream: core.UpstreamId): void;
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
    /** Slots that this VM assigns, as their owner or substitute. */
    readonly ownedSlots: number;
    /** How many of these slots are in use by any VM. */
    readonly ownedSlotsInUse: number;
    /** Requests that this VM has in flight at the upstream. */
    readonly inFlight: number;
}

export interface QueueStatus {
    readonly customer: core.CustomerId;
    readonly pool: core.PoolId;
    readonly waiting: number;
    /** Service received from the whole fleet in cost units divided by the customer's weight, plus its lift. */
    readonly virtualTime: number;
}
