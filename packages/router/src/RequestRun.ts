import type * as core from "@peridotloft/core";
import type * as limits from "@peridotloft/limits";
import { ok, type Result } from "neverthrow";
import type { CallerResponse } from "./CallerResponse.js";
import { settleCharge, withCharge } from "./Charging.js";
import { runIdempotent } from "./IdempotentRequest.js";
import { abortKind } from "./InFlightRequests.js";
import { metricNames } from "./Metrics.js";
import { type OperationOutcome, readToken, runOperation, runUnmarked } from "./NonIdempotentRequest.js";
import { maxCostOf, type PreparedRequest } from "./PreparedRequest.js";
import { notWritten, type Refusal, refusalOf, type RequestFailure } from "./RequestFailure.js";
import type { RouterContext } from "./RouterContext.js";
import type { Target } from "./RouteTable.js";

/**
 * Checks the rate, runs a prepared request and answers the caller.
 *
 * @param isCharged false for callers without a key on open routes, who have no customer to charge.
 */
export async function answerRequest(
    context: RouterContext,
    request: PreparedRequest,
    target: Extract<Target, { kind: "chat" | "route"; }>,
    isCharged: boolean,
    caller: CallerResponse,
    signal: AbortSignal,
): Promise<void> {
    const isIdempotent = target.kind === "chat" || target.route.idempotent;
    const token = isIdempotent ? ok(undefined) : readToken(request);
    if (token.isErr()) {
        return refuse(context, caller, refusalOf(token.error));
    }
    const mark = token.value;
    if (target.kind === "route" && mark) {
        // Rate and quarantine are judged by the VM that owns the operation, and only if it has not run yet: a resend
        // of work that ran gets its answer and never a `not-run`.
        const run = () => runOperation(context, request, target.route.id, mark);
        return answerWhole(context, run, caller, signal);
    }
    if (context.scheduler.isQuarantined(request.fingerprint)) {
        return refuse(context, caller, refusalOf(notWritten("quarantined")));
    }
    const charge = await admit(context, request, isCharged);
    if (charge.isErr()) {
        return refuse(context, caller, refusalOf(charge.error));
    }
    return isIdempotent
        ? answerIdempotent(context, request, charge.value, caller, signal)
        : answerWhole(context, () => runOnce(context, request, target.route.id, charge.value, signal), caller, signal);
}

function refuse(context: RouterContext, caller: CallerResponse, refusal: Refusal): void {
    context.metrics.count(metricNames.failures, 1, { code: refusal.code });
    caller.refuse(refusal);
}

async function admit(
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
        notWritten(kind, kind === "rate-exceeded" ? { retryAfterMs } : {})
    );
}

async function answerIdempotent(
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
        refuse(context, caller, refusalOf(outcome.result.error, outcome.earlier));
    }
}

/** Runs non-idempotent work without a token, which this VM sends to one upstream at most. */
async function runOnce(
    context: RouterContext,
    request: PreparedRequest,
    route: core.RouteId,
    charge: limits.Charge,
    signal: AbortSignal,
): Promise<OperationOutcome> {
    const result = await withCharge(charge, () => runUnmarked(context, request, route, signal));
    const ran = result.isOk() || result.error.verdict !== "not-run";
    settleCharge(context.metrics, request.customer, charge, ran ? charge.estimatedCost : 0);
    return result;
}

/** Answers with the whole result of non-idempotent work. */
async function answerWhole(
    context: RouterContext,
    start: () => Promise<OperationOutcome>,
    caller: CallerResponse,
    signal: AbortSignal,
): Promise<void> {
    // The work goes on when the caller has left, and counts as in flight until it ends.
    const endTracking = context.inFlight.track();
    const run = start().finally(endTracking);
    const result = await Promise.race([run, whenAborted(signal)]);
    if (result === "aborted") {
        // The refusal is sent at once; the outcome of the work is not this caller's any more.
        run.catch((error: unknown) => context.logger.error("operation failed", { error: String(error) }));
        return refuse(context, caller, refusalOf({ kind: abortKind(signal), written: true }));
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
