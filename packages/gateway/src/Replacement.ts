import type * as dispatch from "@peridotloft/dispatch";
import type * as telemetry from "@peridotloft/telemetry";
import type { Result } from "neverthrow";
import type { LeasedAttempt, StartedResponse } from "./AttemptSequence.js";

/**
 * Attempts at other upstreams, one at a time, while the upstream of the current attempt is unresponsive. The current attempt
 * goes on meanwhile: an upstream may be silent for a while and then complete its response.
 */
export interface Replacement {
    /** Tries another upstream, unless an attempt is in progress already or no further one is allowed. */
    start(lastEventId: string | undefined): void;
    /** Cancels the attempt in progress, if any, since the current attempt has made progress. */
    cancel(): void;
    /** Resolves once no attempt is in progress; with a response if one was received and `cancel` was not called. */
    settled(): Promise<StartedResponse | undefined>;
}

export interface ReplacementOptions {
    readonly job: dispatch.Job;
    /** Lease of the attempt that may be replaced. */
    readonly current: dispatch.Lease;
    readonly log: telemetry.EventLog;
    /** Whether the caller has disconnected or the deadline has passed. */
    isRequestCancelled(): boolean;
    mayRetry(): boolean;
    excludeUpstream(lease: dispatch.Lease): void;
    acquire(): Promise<Result<dispatch.Lease, dispatch.DispatchRefusal>>;
    startAttempt(lease: dispatch.Lease, lastEventId: string | undefined): LeasedAttempt;
    /** Called with a successful response of another upstream; returns whether the response is used. */
    onResponse(started: StartedResponse): boolean;
}

export function createReplacement(options: ReplacementOptions): Replacement {
    const { current, excludeUpstream, job, log } = options;
    let isCancelled = false;
    let inProgress: LeasedAttempt | undefined;
    let pending: Promise<StartedResponse | undefined> | undefined;

    function logSkipped(reason: string): void {
        log.failure("replacement-skipped", { requestId: job.requestId, upstream: current.upstream.id, reason });
    }

    async function tryOtherUpstream(lastEventId: string | undefined): Promise<StartedResponse | undefined> {
        const lease = await options.acquire();
        if (lease.isErr()) {
            logSkipped(lease.error.reason);
            return undefined;
        }
        if (isCancelled || options.isRequestCancelled()) {
            lease.value.end("abandoned");
            return undefined;
        }
        inProgress = options.startAttempt(lease.value, lastEventId);
        const { attempt, result } = inProgress;
        const started = await result;
        inProgress = undefined;
        if (started.isErr()) {
            return undefined;
        }
        const statusCode = started.value.response.statusCode ?? 0;
        const isSuccess = statusCode >= 200 && statusCode < 300;
        if (isSuccess && !isCancelled && !options.isRequestCancelled() && options.onResponse(started.value)) {
            log.failure("attempt-replaced", {
                requestId: job.requestId,
                upstream: current.upstream.id,
                by: lease.value.upstream.id,
                lastEventId,
            });
            return started.value;
        }
        excludeUpstream(lease.value);
        lease.value.end(isSuccess ? "abandoned" : "failed");
        attempt.cancel("not-needed");
        return undefined;
    }

    return {
        start(lastEventId) {
            if (pending) {
                return;
            }
            current.recordUnresponsive();
            excludeUpstream(current);
            if (!options.mayRetry()) {
                logSkipped("attempts-exhausted");
                return;
            }
            isCancelled = false;
            pending = tryOtherUpstream(lastEventId).finally(() => pending = undefined);
        },
        cancel() {
            isCancelled = true;
            inProgress?.attempt.cancel("original-responded");
        },
        settled: () => pending ?? Promise.resolve(undefined),
    };
}
