import type * as core from "@peridotloft/core";
import type * as idempotency from "@peridotloft/idempotency";
import { err, ok, type Result } from "neverthrow";
import { findHeader, headersForUpstream } from "./HeaderUtils.js";
import { executeOperation } from "./OperationExecutor.js";
import type { PreparedRequest } from "./PreparedRequest.js";
import { type Refusal, type RequestFailure, unwrittenFailure } from "./RequestFailure.js";
import type { RouterContext } from "./RouterContext.js";

/** The complete response to a non-idempotent request, or the refusal for the caller. */
export type OperationOutcome = Result<idempotency.OperationResponse, Refusal>;

const maxIdempotencyKeyBytes = 256;

/** Reads the token that identifies the operation of a request; undefined if there is none. */
export function readOperationToken(
    request: PreparedRequest,
): Result<idempotency.OperationToken | undefined, RequestFailure> {
    const ticket = findHeader(request.headers, "operation-ticket");
    const key = findHeader(request.headers, "idempotency-key");
    if (ticket !== undefined && key !== undefined) {
        return err(
            unwrittenFailure("invalid-request", { message: "send Operation-Ticket or Idempotency-Key, not both" }),
        );
    }
    if (ticket !== undefined) {
        return ok({ kind: "ticket", ticket });
    }
    if (key === undefined) {
        return ok(undefined);
    }
    const sizeBytes = Buffer.byteLength(key);
    return sizeBytes >= 1 && sizeBytes <= maxIdempotencyKeyBytes
        ? ok({ kind: "key", key })
        : err(
            unwrittenFailure("invalid-request", {
                message: `Idempotency-Key: must be 1 to ${maxIdempotencyKeyBytes} bytes`,
            }),
        );
}

/** Runs a request with a token at most once in the whole fleet. */
export async function runOperation(
    context: RouterContext,
    request: PreparedRequest,
    route: core.RouteId,
    token: idempotency.OperationToken,
): Promise<OperationOutcome> {
    const result = await context.services.operations.run(token, request.customer, operationOf(request, route));
    return result.mapErr(refusalOfOperation);
}

/** Runs a request without a token. At most one upstream runs it on behalf of this VM. */
export async function executeWithoutToken(
    context: RouterContext,
    request: PreparedRequest,
    route: core.RouteId,
    signal: AbortSignal,
): Promise<OperationOutcome> {
    const operation = operationOf(request, route);
    const result = await executeOperation(context, request.customer, operation, undefined, signal);
    return result.mapErr(refusalOfOperation);
}

function operationOf(request: PreparedRequest, route: core.RouteId): idempotency.OperationRequest {
    return {
        route,
        method: request.method,
        target: request.target,
        headers: headersForUpstream(request.headers),
        body: request.body,
    };
}

function refusalOfOperation(refusal: idempotency.OperationRefusal): Refusal {
    const { statusCode, kind, message, verdict } = refusal;
    const isTemporary = statusCode >= 500 || statusCode === 429;
    return {
        statusCode,
        type: isTemporary ? "unavailable_error" : "invalid_request_error",
        code: kind,
        message,
        verdict,
        ...(isTemporary ? { retryAfterMs: 1_000 } : {}),
    };
}
