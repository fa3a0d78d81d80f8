import type { AttemptOutcome } from "./Job.js";

/** Health of one upstream, judged by the outcomes of its requests (outlier detection). */
export interface UpstreamHealth {
    record(outcome: AttemptOutcome, nowMs: number): void;
    /** Whether the upstream is ejected at this time. */
    isEjected(nowMs: number): boolean;
    /** Share of recent requests that failed, 0 to 1. */
    failureShare(): number;
    /** Records that a request was dispatched. After an ejection it is a probe, and later requests wait for its result. */
    recordDispatch(nowMs: number): void;
}

/** Weight of the newest outcome in the failure share: about the last eight requests count. */
const newestWeight = 0.12;
/**
 * An upstream is ejected when its failure share exceeds half of this value, 0.25. Healthy services fail up to 0.14 of some
 * kinds of requests.
 */
const ejectionFailureShare = 0.5;
/** Minimum number of consecutive failures for an ejection, unless connections are refused. */
const minConsecutiveFailures = 3;
/** Duration in ms of the first ejection; it doubles with each further one, up to the maximum. */
const firstEjectionMs = 400;
const maxEjectionMs = 4_000;

const failures: ReadonlySet<AttemptOutcome> = new Set(["connect-failed", "broken", "silent", "failed"]);

/** Whether an outcome counts as a failure of the upstream. */
export function isFailure(outcome: AttemptOutcome): boolean {
    return failures.has(outcome);
}

export function createUpstreamHealth(onEjected: (ejectionMs: number, failureShare: number) => void): UpstreamHealth {
    let share = 0;
    let consecutiveFailures = 0;
    let ejections = 0;
    let ejectedUntilMs = Number.NEGATIVE_INFINITY;

    return {
        record(outcome, nowMs) {
            if (outcome === "abandoned" || outcome === "misdirected" || outcome === "shed") {
                return;
            }
            const failed = isFailure(outcome);
            share += newestWeight * ((failed ? 1 : 0) - share);
            consecutiveFailures = failed ? consecutiveFailures + 1 : 0;
            if (!failed) {
                ejections = share < ejectionFailureShare / 2 ? 0 : ejections;
                return;
            }
            // Refused connections are stronger evidence than failed requests: no process listens at the address.
            const isUnreachable = outcome === "connect-failed" && consecutiveFailures >= 2;
            if (
                (isUnreachable || (consecutiveFailures >= minConsecutiveFailures && share > ejectionFailureShare / 2))
                && nowMs >= ejectedUntilMs
            ) {
                const ejectionMs = Math.min(maxEjectionMs, firstEjectionMs * 2 ** ejections);
                ejections++;
                ejectedUntilMs = nowMs + ejectionMs;
                onEjected(ejectionMs, share);
            }
        },
        isEjected: nowMs => nowMs < ejectedUntilMs,
        failureShare: () => share,
        recordDispatch(nowMs) {
            // One request at a time probes an upstream after its ejection.
            if (ejections > 0 && nowMs >= ejectedUntilMs && consecutiveFailures > 0) {
                ejectedUntilMs = nowMs + probeTimeoutMs;
            }
        },
    };
}

/** Time in ms to wait for the result of a probe before the next one is sent. */
const probeTimeoutMs = 150;
