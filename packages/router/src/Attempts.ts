import * as core from "@peridotloft/core";
import type * as scheduling from "@peridotloft/scheduling";
import { err, ok, type Result } from "neverthrow";
import { abortReasonOf } from "./InFlightRequests.js";
import { metricNames } from "./Metrics.js";
import {
    combineVerdicts,
    type FailureKind,
    type RequestFailure,
    unwrittenFailure,
    verdictOf,
} from "./RequestFailure.js";
import * as constants from "./RouterConstants.js";
import type { UpstreamContext } from "./RouterContext.js";

/** A request to run at an upstream of a pool, with retries. */
export interface AttemptPlan {
    readonly customer: core.CustomerId;
    readonly pool: core.PoolId;
    readonly estimatedCost: number;
    readonly deadlineMs: number;
    readonly idempotent: boolean;
    readonly fingerprint: string;
    /** Cancels the wait for a slot. */
    readonly signal: AbortSignal;
    /** Whether part of a response has been sent to the caller, which rules out a retry. */
    hasResponseStarted(): boolean;
}

/** Result of one attempt and its cost in cost units. */
export interface AttemptResult<T> {
    readonly result: Result<T, RequestFailure>;
    readonly cost: number;
}

/** Result of all attempts of a request. */
export interface AttemptsOutcome<T> {
    readonly result: Result<T, RequestFailure>;
    /** Verdict of the attempts before the last. */
    readonly earlierVerdict: core.Verdict;
    readonly cost: number;
}

const schedulerOutcomes: Partial<Record<FailureKind, scheduling.UpstreamOutcome>> = {
    "caller-left": "cancelled",
    "key-withdrawn": "cancelled",
    "deadline": "cancelled",
    "connect-failed": "unreachable",
    "refused-before-running": "overloaded",
    "overloaded": "overloaded",
    "first-byte-timeout": "timed-out",
    "idle-timeout": "timed-out",
};

/** The outcome of an attempt that is reported to the scheduler; `failure` is undefined if the attempt succeeded. */
export function outcomeOf(failure: RequestFailure | undefined): scheduling.UpstreamOutcome {
    return failure ? schedulerOutcomes[failure.kind] ?? "broken" : "completed";
}

/** Acquires a slot and runs `attempt` there. Retries at other upstreams as verdict, progress and retry budget permit. */
export async function runAttempts<T>(
    context: UpstreamContext,
    plan: AttemptPlan,
    attempt: (lease: scheduling.SlotLease) => Promise<AttemptResult<T>>,
): Promise<AttemptsOutcome<T>> {
    const triedUpstreams: core.UpstreamId[] = [];
    let earlierVerdict: core.Verdict = "not-run";
    let cost = 0;
    let lastFailure: RequestFailure | undefined;
    for (;;) {
        const lease = await acquireSlot(context, plan, triedUpstreams);
        if (lease.isErr()) {
            // The failure of the previous attempt is more informative than the lack of another upstream.
            const failure = lastFailure && !plan.signal.aborted ? lastFailure : lease.error;
            return { result: err(failure), earlierVerdict, cost };
        }
        const attemptResult = await runAttempt(context, plan, lease.value, attempt);
        cost += attemptResult.cost;
        if (attemptResult.result.isOk()) {
            return { result: ok(attemptResult.result.value), earlierVerdict, cost };
        }
        const failure = attemptResult.result.error;
        const isRetryAllowed = allowsRetry(plan, failure) && !context.scheduler.isQuarantined(plan.fingerprint);
        if (
            !isRetryAllowed || !(isExemptFromBudget(failure, triedUpstreams.length) || context.scheduler.tryTakeRetry())
        ) {
            return { result: err(failure), earlierVerdict, cost };
        }
        context.metrics.count(metricNames.retries);
        triedUpstreams.push(lease.value.upstream.id);
        earlierVerdict = combineVerdicts(earlierVerdict, verdictOf(failure));
        lastFailure = failure;
    }
}

async function acquireSlot(
    context: UpstreamContext,
    plan: AttemptPlan,
    excludedUpstreams: readonly core.UpstreamId[],
): Promise<Result<scheduling.SlotLease, RequestFailure>> {
    const startMs = context.clock.nowMs();
    const { customer, pool, estimatedCost, deadlineMs, signal } = plan;
    const request = { customer, pool, estimatedCost, deadlineMs, exclude: [...excludedUpstreams] };
    const lease = await context.scheduler.acquire(request, signal);
    context.metrics.histogram(metricNames.queueMs, context.clock.nowMs() - startMs, { pool });
    return lease.mapErr(refusal => failureOfQueueRefusal(refusal, signal));
}

/** Maps a refusal of the scheduler to a request failure. */
export function failureOfQueueRefusal(refusal: scheduling.QueueRefusal, signal: AbortSignal): RequestFailure {
    const { kind, retryAfterMs } = refusal;
    if (kind === "cancelled" && signal.aborted) {
        return unwrittenFailure(abortReasonOf(signal));
    }
    if (kind === "deadline" || kind === "cancelled") {
        return unwrittenFailure("queue-deadline", { retryAfterMs });
    }
    return unwrittenFailure(kind, { retryAfterMs });
}

async function runAttempt<T>(
    context: UpstreamContext,
    plan: AttemptPlan,
    lease: scheduling.SlotLease,
    attempt: (lease: scheduling.SlotLease) => Promise<AttemptResult<T>>,
): Promise<AttemptResult<T>> {
    const upstream = lease.upstream.id;
    try {
        const attemptResult = await attempt(lease);
        const failure = attemptResult.result.isErr() ? attemptResult.result.error : undefined;
        const outcome = outcomeOf(failure);
        lease.release(outcome, attemptResult.cost);
        context.metrics.count(metricNames.attempts, 1, { upstream, outcome });
        if (failure?.kind === "connection-broken" && failure.written) {
            context.scheduler.recordCrash(plan.fingerprint, upstream);
        }
        return attemptResult;
    }
    catch (error) {
        // A slot that is not released stays occupied until the deadline.
        lease.release("broken", plan.estimatedCost);
        throw error;
    }
}

/** Whether a retry is exempt from the retry budget: a failed connection has put no load on the upstream. */
function isExemptFromBudget(failure: RequestFailure, earlierAttempts: number): boolean {
    return failure.kind === "connect-failed" && earlierAttempts < constants.maxUnbudgetedRetries;
}

function allowsRetry(plan: AttemptPlan, failure: RequestFailure): boolean {
    return !plan.hasResponseStarted() && !plan.signal.aborted && core.mayRetry(verdictOf(failure), plan.idempotent);
}
