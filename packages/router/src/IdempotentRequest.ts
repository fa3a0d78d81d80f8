import type * as scheduling from "@peridotloft/scheduling";
import { err } from "neverthrow";
import { type AttemptResult, type AttemptsOutcome, runAttempts } from "./Attempts.js";
import type { CallerResponse } from "./CallerResponse.js";
import { metricNames } from "./Metrics.js";
import type { PreparedRequest } from "./PreparedRequest.js";
import { verdictOf } from "./RequestFailure.js";
import { failureOfHead } from "./ResponseChecks.js";
import { relayResponse } from "./ResponseRelay.js";
import type { UpstreamContext } from "./RouterContext.js";
import { callUpstream } from "./UpstreamCall.js";

/** Runs a request at an upstream and relays the response. Aborting `signal` cancels the request at the upstream. */
export function runIdempotent(
    context: UpstreamContext,
    request: PreparedRequest,
    estimatedCost: number,
    caller: CallerResponse,
    signal: AbortSignal,
): Promise<AttemptsOutcome<void>> {
    const { customer, pool, fingerprint } = request;
    const deadlineMs = context.clock.nowMs() + pool.deadlineMs;
    const plan = {
        customer,
        pool: pool.id,
        estimatedCost,
        deadlineMs,
        idempotent: true,
        fingerprint,
        signal,
        hasResponseStarted: () => caller.headersSent(),
    };
    return runAttempts(context, plan, lease => attemptOnce(context, request, lease, deadlineMs, caller, signal));
}

async function attemptOnce(
    context: UpstreamContext,
    request: PreparedRequest,
    lease: scheduling.SlotLease,
    deadlineMs: number,
    caller: CallerResponse,
    signal: AbortSignal,
): Promise<AttemptResult<void>> {
    const { pool, method, target, headers, body } = request;
    const call = {
        upstream: lease.upstream,
        method,
        target,
        headers,
        body,
        requestId: request.id,
        firstByteTimeoutMs: pool.firstByteTimeoutMs,
        idleTimeoutMs: pool.idleTimeoutMs,
        deadlineMs,
        reuseConnection: true,
    };
    const response = await callUpstream(context.connections, context.clock, call, signal);
    if (response.isErr()) {
        const ran = verdictOf(response.error) !== "not-run";
        return { result: err(response.error), cost: ran ? costOf(request, undefined, 0) : 0 };
    }
    const refused = failureOfHead(response.value);
    if (refused) {
        response.value.cancel();
        return { result: err(refused), cost: 0 };
    }
    const relayResult = await relayResponse(response.value, caller, pool.kind === "engine", () => {
        const delayMs = context.clock.nowMs() - response.value.writtenMs;
        lease.recordFirstByte(delayMs);
        context.metrics.histogram(metricNames.firstByteMs, delayMs, { upstream: lease.upstream.id });
    });
    return { result: relayResult.result, cost: costOf(request, relayResult.totalTokens, relayResult.countedTokens) };
}

function costOf(request: PreparedRequest, totalTokens: number | undefined, countedTokens: number): number {
    const rule = request.cost;
    return rule.kind === "fixed" ? rule.cost : totalTokens ?? rule.promptTokens + countedTokens;
}
