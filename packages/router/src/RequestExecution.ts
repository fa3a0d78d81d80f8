import type * as core from "@peridotloft/core";
import type * as limits from "@peridotloft/limits";
import { ok, type Result } from "neverthrow";
import type { CallerResponse } from "./CallerResponse.js";
import { settleCharge, withCharge } from "./Charging.js";
import { runIdempotent } from "./IdempotentRequest.js";
import { abortReasonOf } from "./InFlightRequests.js";
import { metricNames } from "./Metrics.js";
import {
    executeWithoutToken,
    type OperationOutcome,
    readOperationToken,
    runOperation,
} from "./NonIdempotentRequest.js";
import { maxCostOf, type PreparedRequest } from "./PreparedRequest.js";
import { type Refusal, refusalOf, type RequestFailure, unwrittenFailure } from "./RequestFailure.js";
import type { RouterContext } from "./RouterContext.js";
import type { Target } from "./RouteTable.js";

/**
 * Checks quarantine and rate limit, runs a prepared request and sends the response to the caller.
 *
 * @param isCharged false for requests without a key on open routes, which have no customer to charge.
 */
export async function executeRequest(
    context: RouterContext,
    request: PreparedRequest,
    target: Extract<Target, { kind: "chat" | "route"; }>,
    isCharged: boolean,
    caller: CallerResponse,
    signal: AbortSignal,
): Promise<void> {
    const isIdempotent = target.kind === "chat" || target.route.idempotent;
    const token = isIdempotent ? ok(undefined) : readOperationToken(request);
    if (token.isErr()) {
        return refuse(context, caller, refusalOf(token.error));
    }
    const operationToken = token.value;
    if (target.kind === "route" && operationToken) {
        // The VM that owns the operation checks rate limit and quarantine, and only if the operation has not run yet.
        // Otherwise a resend of an operation that ran could be refused with `not-run` instead of its stored response.
        const run = () => runOperation(context, request, target.route.id, operationToken);
        return respondWithOutcome(context, run, caller, signal);
    }
    if (context.scheduler.isQuarantined(request.fingerprint)) {
        return refuse(context, caller, refusalOf(unwrittenFailure("quarantined")));
    }
    const charge = await admitRequest(context, request, isCharged);
    if (charge.isErr()) {
        return refuse(context, caller, refusalOf(charge.error));
    }
    return isIdempotent
        ? executeIdempotent(context, request, charge.value, caller, signal)
        : respondWithOutcome(
            context,
            () => runWithoutToken(context, request, target.route.id, charge.value, signal),
            caller,
            signal,
        );
}

function refuse(context: RouterContext, caller: CallerResponse, refusal: Refusal): void {
    context.metrics.count(metricNames.failures, 1, { code: refusal.code });
    caller.refuse(refusal);
}

async function admitRequest(
    context: RouterContext,
    request: PreparedRequest,
    isCharged: boolean,
): Promise<Result<limits.Charge, RequestFailure>> {
    const maxCost = maxCostOf(request.cost);
    if (!isCharged) {
        return ok({ estimatedCost: maxCost, settle: () => undefined, refund: () => undefined });
    }
    const { limiter } = context.services;
    const estimate = request.cost.kind === "fixed" ? maxCost : limiter.estimateCost(request.customer, maxCost);
    const charge = await limiter.admit(request.customer, estimate);
    return charge.mapErr(({ kind, retryAfterMs }) =>
        unwrittenFailure(kind, kind === "rate-exceeded" ? { retryAfterMs } : {})
    );
}

async function executeIdempotent(
    context: RouterContext,
    request: PreparedRequest,
    charge: limits.Charge,
    caller: CallerResponse,
    signal: AbortSignal,
): Promise<void> {
    const outcome = await withCharge(
        charge,
        () => runIdempotent(context, request, charge.estimatedCost, caller, signal),
    );
    settleCharge(context.metrics, request.customer, charge, outcome.cost);
    if (outcome.result.isErr()) {
        refuse(context, caller, refusalOf(outcome.result.error, outcome.earlierVerdict));
    }
}

/** Runs a non-idempotent request without a token and settles its charge. */
async function runWithoutToken(
    context: RouterContext,
    request: PreparedRequest,
    route: core.RouteId,
    charge: limits.Charge,
    signal: AbortSignal,
): Promise<OperationOutcome> {
    const result = await withCharge(charge, () => executeWithoutToken(context, request, route, signal));
    const ran = result.isOk() || result.error.verdict !== "not-run";
    settleCharge(context.metrics, request.customer, charge, ran ? charge.estimatedCost : 0);
    return result;
}

/** Runs a non-idempotent request and sends its outcome to the caller. */
async function respondWithOutcome(
    context: RouterContext,
    execute: () => Promise<OperationOutcome>,
    caller: CallerResponse,
    signal: AbortSignal,
): Promise<void> {
    // The operation continues after the caller disconnects, and counts as in flight until it ends.
    const endTracking = context.inFlight.track();
    const run = execute().finally(endTracking);
    const result = await Promise.race([run, whenAborted(signal)]);
    if (result === "aborted") {
        // The refusal is sent at once, without waiting for the outcome of the operation.
        run.catch((error: unknown) => context.logger.error("operation failed", { error: String(error) }));
        return refuse(context, caller, refusalOf({ kind: abortReasonOf(signal), written: true }));
    }
    result.match(
        ({ statusCode, headers, body }) =>
            caller.send(statusCode, [...headers, ["x-peridotloft-verdict", "ran"]], body),
        refusal => refuse(context, caller, refusal),
    );
}

function whenAborted(signal: AbortSignal): Promise<"aborted"> {
    return new Promise(resolve =>
        signal.aborted
            ? resolve("aborted")
            : signal.addEventListener("abort", () => resolve("aborted"), { once: true })
    );
}
