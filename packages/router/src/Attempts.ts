import * as core from "@peridotloft/core";
import type * as scheduling from "@peridotloft/scheduling";
import { err, ok, type Result } from "neverthrow";
import { abortKind } from "./InFlightRequests.js";
import { metricNames } from "./Metrics.js";
import { combineVerdicts, type FailureKind, notWritten, type RequestFailure, verdictOf } from "./RequestFailure.js";
import * as constants from "./RouterConstants.js";
import type { UpstreamContext } from "./RouterContext.js";

/** A request to run at one of a pool's upstreams, with as many attempts as are allowed. */
export interface AttemptPlan {
    readonly customer: core.CustomerId;
    readonly pool: core.PoolId;
    readonly estimatedCost: number;
    readonly deadlineMs: number;
    readonly idempotent: boolean;
    readonly fingerprint: string;
    /** Ends the wait for a slot. */
    readonly signal: AbortSignal;
    /** Whether bytes of an answer have reached the caller, after which no other upstream may answer. */
    hasBegun(): boolean;
}

/** Result of one attempt, and the cost in cost units that it caused. */
export interface Attempted<T> {
    readonly result: Result<T, RequestFailure>;
    readonly cost: number;
}

/** Result of all attempts. */
export interface AttemptsOutcome<T> {
    readonly result: Result<T, RequestFailure>;
    /** Verdict of the attempts before the last. */
    readonly earlier: core.Verdict;
    readonly cost: number;
}

const outcomes: Partial<Record<FailureKind, scheduling.UpstreamOutcome>> = {
    "caller-left": "cancelled",
    "key-withdrawn": "cancelled",
    "deadline": "cancelled",
    "connect-failed": "unreachable",
    "refused-before-running": "overloaded",
    "overloaded": "overloaded",
    "first-byte-timeout": "timed-out",
    "idle-timeout": "timed-out",
};

/** How a failed attempt looks to the scheduler. */
export function outcomeOf(failure: RequestFailure | undefined): scheduling.UpstreamOutcome {
    return failure ? outcomes[failure.kind] ?? "broken" : "completed";
}

/** Acquires a slot and runs `attempt` there; tries other upstreams while verdict, progress and budget allow it. */
export async function runAttempts<T>(
    context: UpstreamContext,
    plan: AttemptPlan,
    attempt: (lease: scheduling.SlotLease) => Promise<Attempted<T>>,
): Promise<AttemptsOutcome<T>> {
    const tried: core.UpstreamId[] = [];
    let earlier: core.Verdict = "not-run";
    let cost = 0;
    let lastFailure: RequestFailure | undefined;
    for (;;) {
        const lease = await acquireSlot(context, plan, tried);
        if (lease.isErr()) {
            // A missing second upstream says less than the failure of the first.
            const failure = lastFailure && !plan.signal.aborted ? lastFailure : lease.error;
            return { result: err(failure), earlier, cost };
        }
        const attempted = await runOnce(context, plan, lease.value, attempt);
        cost += attempted.cost;
        if (attempted.result.isOk()) {
            return { result: ok(attempted.result.value), earlier, cost };
        }
        const failure = attempted.result.error;
        const mayRepeat = allowsRetry(plan, failure) && !context.scheduler.isQuarantined(plan.fingerprint);
        if (!mayRepeat || !(isFree(failure, tried.length) || context.scheduler.mayRetry())) {
            return { result: err(failure), earlier, cost };
        }
        context.metrics.count(metricNames.retries);
        tried.push(lease.value.upstream.id);
        earlier = combineVerdicts(earlier, verdictOf(failure));
        lastFailure = failure;
    }
}

async function acquireSlot(
    context: UpstreamContext,
    plan: AttemptPlan,
    exclude: readonly core.UpstreamId[],
): Promise<Result<scheduling.SlotLease, RequestFailure>> {
    const startMs = context.clock.nowMs();
    const { customer, pool, estimatedCost, deadlineMs, signal } = plan;
    const request = { customer, pool, estimatedCost, deadlineMs, exclude: [...exclude] };
    const lease = await context.scheduler.acquire(request, signal);
    context.metrics.histogram(metricNames.queueMs, context.clock.nowMs() - startMs, { pool });
    return lease.mapErr(refusal => failureOfQueue(refusal, signal));
}

/** The failure that a refusal of the scheduler stands for. */
export function failureOfQueue(refusal: scheduling.QueueRefusal, signal: AbortSignal): RequestFailure {
    const { kind, retryAfterMs } = refusal;
    if (kind === "cancelled" && signal.aborted) {
        return notWritten(abortKind(signal));
    }
    if (kind === "deadline" || kind === "cancelled") {
        return notWritten("queue-deadline", { retryAfterMs });
    }
    return notWritten(kind, { retryAfterMs });
}

async function runOnce<T>(
    context: UpstreamContext,
    plan: AttemptPlan,
    lease: scheduling.SlotLease,
    attempt: (lease: scheduling.SlotLease) => Promise<Attempted<T>>,
): Promise<Attempted<T>> {
    const upstream = lease.upstream.id;
    try {
        const attempted = await attempt(lease);
        const failure = attempted.result.isErr() ? attempted.result.error : undefined;
        const outcome = outcomeOf(failure);
        lease.release(outcome, attempted.cost);
        context.metrics.count(metricNames.attempts, 1, { upstream, outcome });
        if (failure?.kind === "connection-broken" && failure.written) {
            context.scheduler.noteCrash(plan.fingerprint, upstream);
        }
        return attempted;
    }
    catch (error) {
        // A slot that is not released would be lost until the deadline.
        lease.release("broken", plan.estimatedCost);
        throw error;
    }
}

/** Whether another attempt is outside the retry budget: a refused connection has put no load on an upstream. */
function isFree(failure: RequestFailure, earlierAttempts: number): boolean {
    return failure.kind === "connect-failed" && earlierAttempts < constants.maxFreeRetries;
}

function allowsRetry(plan: AttemptPlan, failure: RequestFailure): boolean {
    return !plan.hasBegun() && !plan.signal.aborted && core.mayRetry(verdictOf(failure), plan.idempotent);
}
