import type * as core from "@peridotloft/core";
import type { Result } from "neverthrow";

/** Identifies a request as an attempt of one operation: an idempotency key, or a ticket issued by a VM. */
export type OperationToken =
    | { readonly kind: "key"; readonly key: string; }
    | { readonly kind: "ticket"; readonly ticket: string; };

/** A non-idempotent request that has been read completely. */
export interface OperationRequest {
    readonly route: core.RouteId;
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    readonly headers: readonly (readonly [name: string, value: string])[];
    readonly body: Uint8Array;
}

/** The complete response of an upstream. */
export interface OperationResponse {
    readonly statusCode: number;
    readonly headers: readonly (readonly [name: string, value: string])[];
    readonly body: Uint8Array;
}

export interface OperationRefusal {
    readonly verdict: core.Verdict;
    readonly kind:
        | "invalid-token"
        | "expired-token"
        | "different-request"
        | "unknown-history"
        | "owner-unreachable"
        | "store-full"
        | "failed";
    readonly message: string;
    readonly statusCode: number;
}

/** Checks whether an admitted operation may still be sent to an upstream. */
export interface ExecutionGuard {
    /** To be called directly before the first write to an upstream. If false, return `not-run` without writing. */
    mayStart(): boolean;
}

/**
 * Runs an operation at an upstream once. Called on the VM that owns the operation, and called again only if the earlier
 * call returned an error with the verdict `not-run`. Must settle within the deadline of the route's pool.
 */
export type ExecuteOperation = (
    customer: core.CustomerId,
    request: OperationRequest,
    guard: ExecutionGuard,
) => Promise<Result<OperationResponse, OperationRefusal>>;

/**
 * Runs each operation at most once over the whole fleet, and responds to resends with the response of that run.
 * The verdict of a refusal concerns the operation as a whole: `not-run` also covers every earlier attempt.
 */
export interface OperationStore {
    /** Runs an operation, or joins an earlier run of the same token. Call it as soon as the request is complete. */
    run(
        token: OperationToken,
        customer: core.CustomerId,
        request: OperationRequest,
    ): Promise<Result<OperationResponse, OperationRefusal>>;
    /** Issues a ticket that names this VM and its incarnation. */
    issueTicket(customer: core.CustomerId): OperationTicket;
    status(): { readonly operations: number; readonly storedBytes: number; };
    dispose(): void;
}

export interface OperationTicket {
    readonly ticket: string;
    /** Time in ms for which the ticket may be used. */
    readonly lifetimeMs: number;
}
