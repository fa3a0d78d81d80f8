import type * as dispatch from "@peridotloft/dispatch";
import type * as telemetry from "@peridotloft/telemetry";
import type { Result } from "neverthrow";
import type * as http from "node:http";
import type { LeasedAttempt, StartedResponse, StreamPosition } from "./AttemptSequence.js";
import { awaitFirstBytes } from "./ResponseRelay.js";

/**
 * Attempts at other upstreams while the upstream of the current attempt is unresponsive. All attempts go on until one of them
 * makes progress: an upstream may be silent for a while and then complete its response.
 */
export interface Replacement {
    /** Tries one more upstream, unless one is being chosen already or no further attempt is allowed. */
    start(position: StreamPosition | undefined): void;
    /** Cancels the attempts in progress, since the current attempt has made progress. */
    cancel(): void;
    /** Resolves with the response that replaces the current attempt; undefined once no attempt is in progress. */
    settled(): Promise<StartedResponse | undefined>;
}

export interface ReplacementOptions {
    readonly job: dispatch.Job;
    /** Lease of the attempt that may be replaced. */
    readonly current: dispatch.Lease;
    readonly log: telemetry.EventLog;
    /** Whether the caller has disconnected or the deadline has passed. */
    isRequestCancelled(): boolean;
    /** @param inProgress number of attempts in progress beside the current one. */
    mayRetry(inProgress: number): boolean;
    /** Excludes an upstream to which the request was sent from further attempts. */
    excludeUpstream(lease: dispatch.Lease): void;
    /** @param inProgress upstreams of the attempts in progress, which are not chosen. */
    acquire(
        inProgress: readonly dispatch.Lease[],
        position: StreamPosition | undefined,
    ): Promise<Result<dispatch.Lease, dispatch.DispatchRefusal>>;
    /** @param onUnresponsive called when no response has arrived for longer than expected, and again later. */
    startAttempt(
        lease: dispatch.Lease,
        position: StreamPosition | undefined,
        onUnresponsive: () => void,
    ): LeasedAttempt;
    /** Called with a successful response of another upstream; resolves with whether it replaces the current attempt. */
    onResponse(started: StartedResponse): Promise<boolean>;
}

export function createReplacement(options: ReplacementOptions): Replacement {
    const { current, excludeUpstream, job, log } = options;
    const pending = new Set<Promise<StartedResponse | undefined>>();
    const inProgress = new Set<LeasedAttempt>();
    let isChoosing = false;
    /** Increases with each cancellation, so that attempts that began before it can be told from later ones. */
    let round = 0;

    function logSkipped(reason: string): void {
        log.failure("replacement-skipped", { requestId: job.requestId, upstream: current.upstream.id, reason });
    }

    async function chooseUpstream(position: StreamPosition | undefined): Promise<dispatch.Lease | undefined> {
        isChoosing = true;
        try {
            const lease = await options.acquire([...inProgress].map(attempt => attempt.lease), position);
            if (lease.isErr()) {
                logSkipped(lease.error.reason);
                return undefined;
            }
            return lease.value;
        }
        finally {
            isChoosing = false;
        }
    }

    async function tryOtherUpstream(position: StreamPosition | undefined): Promise<StartedResponse | undefined> {
        const startRound = round;
        const isCancelled = (): boolean => round !== startRound || options.isRequestCancelled();
        const lease = await chooseUpstream(position);
        if (!lease || isCancelled()) {
            lease?.end("abandoned");
            return undefined;
        }
        const leased = options.startAttempt(lease, position, () => start(position));
        inProgress.add(leased);
        const result = await leased.result;
        if (result.isErr()) {
            inProgress.delete(leased);
            return undefined;
        }
        const { response } = result.value;
        const failure = !isSuccessful(response) ? "failed" : !await awaitFirstBytes(response) ? "broken" : undefined;
        const isUsed = !failure && !isCancelled() && await options.onResponse(result.value) && !isCancelled();
        inProgress.delete(leased);
        if (!isUsed) {
            excludeUpstream(lease);
            lease.end(isCancelled() ? "abandoned" : failure ?? "abandoned");
            leased.attempt.cancel("not-needed");
            return undefined;
        }
        log.failure("attempt-replaced", {
            requestId: job.requestId,
            upstream: current.upstream.id,
            by: lease.upstream.id,
            lastEventId: position?.lastEventId,
        });
        cancel("replaced");
        return result.value;
    }

    function cancel(cause: string): void {
        round++;
        inProgress.forEach(({ attempt }) => attempt.cancel(cause));
    }

    function start(position: StreamPosition | undefined): void {
        if (isChoosing) {
            return;
        }
        current.recordUnresponsive();
        excludeUpstream(current);
        if (!options.mayRetry(inProgress.size)) {
            logSkipped("attempts-exhausted");
            return;
        }
        const attempt = tryOtherUpstream(position)
            .catch((error: unknown) => logSkipped(String(error)))
            .then(started => {
                pending.delete(attempt);
                return started ?? undefined;
            });
        pending.add(attempt);
    }

    return {
        start,
        cancel: () => cancel("original-responded"),
        async settled() {
            while (pending.size > 0) {
                const started = await Promise.race(pending);
                if (started) {
                    return started;
                }
            }
            return undefined;
        },
    };
}

function isSuccessful({ statusCode = 0 }: http.IncomingMessage): boolean {
    return statusCode >= 200 && statusCode < 300;
}
