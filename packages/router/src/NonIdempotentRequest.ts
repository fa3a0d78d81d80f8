import type * as core from "@peridotloft/core";
import type * as idempotency from "@peridotloft/idempotency";
import { err, ok, type Result } from "neverthrow";
import { findHeader, headersForUpstream } from "./HeaderUtils.js";
import { executeOperation } from "./OperationExecutor.js";
import type { PreparedRequest } from "./PreparedRequest.js";
import { notWritten, type Refusal, type RequestFailure } from "./RequestFailure.js";
import type { RouterContext } from "./RouterContext.js";

type Outcome = Result<idempotency.OperationResponse, Refusal>;

const maxIdempotencyKeyBytes = 256;

/** Reads the token that marks a request as one operation; undefined if it carries none. */
export function readToken(request: PreparedRequest): Result<idempotency.OperationToken | undefined, RequestFailure> {
    const ticket = findHeader(request.headers, "operation-ticket");
    const key = findHeader(request.headers, "idempotency-key");
    if (ticket !== undefined && key !== undefined) {
        return err(notWritten("invalid-request", { message: "send Operation-Ticket or Idempotency-Key, not both" }));
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
            notWritten("invalid-request", { message: `Idempotency-Key: must be 1 to ${maxIdempotencyKeyBytes} bytes` }),
        );
}

/** Runs a request at most once: over the whole fleet with a token, and from this VM without one. */
export async function runNonIdempotent(
    context: RouterContext,
    request: PreparedRequest,
    route: core.RouteId,
    token: idempotency.OperationToken | undefined,
    signal: AbortSignal,
): Promise<Outcome> {
    const operation: idempotency.OperationRequest = {
        route,
        method: request.method,
        target: request.target,
        headers: headersForUpstream(request.headers),
        body: request.body,
    };
    const result = token
        ? await context.services.operations.run(token, request.customer, operation)
        : await executeOperation(context, request.customer, operation, undefined, signal);
    return result.mapErr(refusalOfOperation);
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
