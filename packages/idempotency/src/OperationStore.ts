import type * as core from "@peridotloft/core";
import type { Result } from "neverthrow";

/** What the caller sent to mark a request as one operation. */
export type OperationToken =
    | { readonly kind: "key"; readonly key: string; }
    | { readonly kind: "ticket"; readonly ticket: string; };

/** A non-idempotent request, complete in memory. */
export interface OperationRequest {
    readonly route: core.RouteId;
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    readonly headers: readonly (readonly [name: string, value: string])[];
    readonly body: Uint8Array;
}

/** The complete answer of an upstream. */
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

/**
 * Runs an operation at an upstream once. Called at most once for each operation, on the VM that owns it.
 * An error carries the verdict of the attempt; only `not-run` allows the operation to be tried again.
 */
export type ExecuteOperation = (
    customer: core.CustomerId,
    request: OperationRequest,
) => Promise<Result<OperationResponse, OperationRefusal>>;

/** Runs each operation at most once over the whole fleet, and gives resends the answer of the first run. */
export interface OperationStore {
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
