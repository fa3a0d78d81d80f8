import * as core from "@peridotloft/core";
import * as documents from "@peridotloft/document";
import type * as idempotency from "@peridotloft/idempotency";
import type * as limits from "@peridotloft/limits";
import type * as scheduling from "@peridotloft/scheduling";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { type AttemptResult, runAttempts } from "./Attempts.js";
import { settleCharge, withCharge } from "./Charging.js";
import { headersForCaller } from "./HeaderUtils.js";
import { fingerprintOf } from "./PreparedRequest.js";
import { refusalOf, type RequestFailure, unwrittenFailure, verdictOf } from "./RequestFailure.js";
import { failureOfHead } from "./ResponseChecks.js";
import * as constants from "./RouterConstants.js";
import type { UpstreamContext } from "./RouterContext.js";
import { callUpstream, type UpstreamResponse } from "./UpstreamCall.js";

type Response = idempotency.OperationResponse;

/** Runs an operation that this VM owns and charges the customer; the charge is refunded if the operation did not run. */
export async function executeCharged(
    context: UpstreamContext,
    limiter: limits.RateLimiter,
    customer: core.CustomerId,
    request: idempotency.OperationRequest,
    guard: idempotency.ExecutionGuard,
): Promise<Result<Response, idempotency.OperationRefusal>> {
    if (customer === constants.anonymousCustomer) {
        return executeOperation(context, customer, request, guard);
    }
    const route = context.feed.activeDocument.read()?.document.routes.find(candidate => candidate.id === request.route);
    const charge = await limiter.admit(customer, route?.cost ?? 1);
    if (charge.isErr()) {
        return err(operationRefusalOf(unwrittenFailure(charge.error.kind)));
    }
    const result = await withCharge(charge.value, () => executeOperation(context, customer, request, guard));
    const ran = result.isOk() || result.error.verdict !== "not-run";
    settleCharge(context.metrics, customer, charge.value, ran ? charge.value.estimatedCost : 0);
    return result;
}

const unguarded: idempotency.ExecutionGuard = { mayStart: () => true };

// Non-idempotent work is never cancelled once it has been written to an upstream.
const neverAborted = new AbortController().signal;

/**
 * Runs a non-idempotent request at an upstream and returns the whole response. At most one upstream may have run it:
 * another one is tried only after an attempt with the verdict `not-run`.
 *
 * @param guard checked immediately before each write to an upstream.
 * @param signal cancels the wait for a slot; a request that has been written runs to completion.
 */
export async function executeOperation(
    context: UpstreamContext,
    customer: core.CustomerId,
    request: idempotency.OperationRequest,
    guard: idempotency.ExecutionGuard = unguarded,
    signal: AbortSignal = neverAborted,
): Promise<Result<Response, idempotency.OperationRefusal>> {
    const document = context.feed.activeDocument.read()?.document;
    const route = document?.routes.find(candidate => candidate.id === request.route);
    const pool = document && route && documents.findPool(document, route.pool);
    if (!pool || !route) {
        return err(operationRefusalOf(unwrittenFailure(document ? "unknown-route" : "not-ready")));
    }
    const fingerprint = fingerprintOf(customer, route.id, request.body);
    if (context.scheduler.isQuarantined(fingerprint)) {
        return err(operationRefusalOf(unwrittenFailure("quarantined")));
    }
    const deadlineMs = context.clock.nowMs() + pool.deadlineMs;
    const plan = {
        customer,
        pool: pool.id,
        estimatedCost: route.cost,
        deadlineMs,
        idempotent: false,
        fingerprint,
        signal,
        hasResponseStarted: () => false,
    };
    const outcome = await runAttempts(
        context,
        plan,
        lease => attemptOnce(context, { request, pool, deadlineMs, cost: route.cost, guard }, lease),
    );
    return outcome.result.mapErr(failure => operationRefusalOf(failure, outcome.earlierVerdict));
}

interface Execution {
    readonly request: idempotency.OperationRequest;
    readonly pool: documents.Pool;
    readonly deadlineMs: number;
    readonly cost: number;
    readonly guard: idempotency.ExecutionGuard;
}

async function attemptOnce(
    context: UpstreamContext,
    { request, pool, deadlineMs, cost, guard }: Execution,
    lease: scheduling.SlotLease,
): Promise<AttemptResult<Response>> {
    const call = {
        upstream: lease.upstream,
        method: request.method,
        target: request.target,
        headers: request.headers,
        body: request.body,
        requestId: randomUUID(),
        firstByteTimeoutMs: pool.firstByteTimeoutMs,
        idleTimeoutMs: pool.idleTimeoutMs,
        deadlineMs,
        // An upstream may close an idle connection just as the request is written, which leaves the outcome unknown.
        reuseConnection: false,
        mayWrite: guard.mayStart,
    };
    const response = await callUpstream(context.connections, context.clock, call, neverAborted);
    if (response.isErr()) {
        return { result: err(response.error), cost: verdictOf(response.error) === "not-run" ? 0 : cost };
    }
    lease.recordFirstByte(context.clock.nowMs() - response.value.writtenMs);
    const refused = failureOfHead(response.value);
    if (refused) {
        response.value.cancel();
        return { result: err(refused), cost: 0 };
    }
    return { result: await readBody(response.value), cost };
}

async function readBody(response: UpstreamResponse): Promise<Result<Response, RequestFailure>> {
    const chunks: Uint8Array[] = [];
    let sizeBytes = 0;
    for (;;) {
        const chunk = await response.read();
        if (chunk.isErr()) {
            return err(chunk.error);
        }
        if (chunk.value === undefined) {
            break;
        }
        sizeBytes += chunk.value.length;
        if (sizeBytes > constants.maxBodyBytes) {
            response.cancel();
            return err({ kind: "answer-too-large", written: true });
        }
        chunks.push(chunk.value);
    }
    if (!response.isFramed) {
        return err({ kind: "truncated", written: true });
    }
    return ok({
        statusCode: response.statusCode,
        headers: headersForCaller(response.headers),
        body: Buffer.concat(chunks),
    });
}

function operationRefusalOf(failure: RequestFailure, earlier?: core.Verdict): idempotency.OperationRefusal {
    const { verdict, message, statusCode } = refusalOf(failure, earlier);
    return { verdict, kind: "failed", message, statusCode };
}
