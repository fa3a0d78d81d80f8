import { create } from "@bufbuild/protobuf";
import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import type { FirstByteMonitor } from "./FirstByteMonitor.js";
import * as gen from "./gen/scheduling_pb.js";
import type { UpstreamOutcome } from "./Scheduler.js";
import type { MessageSender } from "./SchedulingMessages.js";
import type { PhaseState, PhaseTable } from "./UpstreamPhase.js";

/**
 * Derives phase changes from outcomes and first-byte delays, and reports them to the coordinator of the ramp, the owner of
 * the upstream's slot 0.
 */
export interface UpstreamHealth {
    recordFirstByte(upstream: documents.Upstream, pool: core.PoolId, epoch: number, delayMs: number): FirstByteVerdict;
    recordOutcome(upstream: documents.Upstream, epoch: number, outcome: UpstreamOutcome, wasSlow: boolean): void;
    /** Handles a report of another VM. Ignored if this VM does not coordinate the ramp. */
    handleReport(upstream: documents.Upstream, epoch: number, fallback: boolean): void;
    /** Merges a state received from a peer. */
    merge(upstream: documents.Upstream, state: PhaseState): void;
    /** Returns the upstream to the cold phase, because it entered or left service or its URL changed. */
    handleServiceChange(upstream: documents.Upstream): void;
}

export type FirstByteVerdict = "usual" | "slow";

export interface UpstreamHealthOptions {
    readonly phases: PhaseTable;
    readonly monitor: FirstByteMonitor;
    readonly sender: MessageSender;
    /** The VM that coordinates the ramp; undefined if it is this VM. */
    readonly remoteRampCoordinator: (upstream: core.UpstreamId) => core.VmId | undefined;
    /** Called when a new state should be sent to peers at once. */
    readonly onChange: (upstream: documents.Upstream) => void;
}

const failures: readonly UpstreamOutcome[] = ["overloaded", "unreachable", "broken", "timed-out"];

export const isFailure = (outcome: UpstreamOutcome): boolean => failures.includes(outcome);

export function createUpstreamHealth(options: UpstreamHealthOptions): UpstreamHealth {
    const { phases, monitor, sender, remoteRampCoordinator, onChange } = options;

    const sendReport = (to: core.VmId, upstream: documents.Upstream, epoch: number, fallback: boolean): void => {
        const value = create(gen.UpstreamReportSchema, { upstream: upstream.id, epoch, fallback });
        void sender.call(to, { case: "report", value });
    };

    /** Ignores requests that started before the current cold start, as they give no evidence of another one. */
    const fallBack = (upstream: documents.Upstream, epoch: number): void => {
        if (epoch < phases.coldEpochOf(upstream.id) || phases.phaseOf(upstream) === "cold") {
            return;
        }
        const coordinator = remoteRampCoordinator(upstream.id);
        phases.fallBack(upstream, coordinator === undefined);
        if (coordinator) {
            sendReport(coordinator, upstream, epoch, true);
        }
        onChange(upstream);
    };

    const handleSuccess = (upstream: documents.Upstream, epoch: number): void => {
        phases.clearBackoff(upstream.id);
        if (phases.phaseOf(upstream) === "warm") {
            return;
        }
        const coordinator = remoteRampCoordinator(upstream.id);
        if (coordinator) {
            sendReport(coordinator, upstream, epoch, false);
        }
        else if (phases.recordSuccess(upstream, epoch)) {
            onChange(upstream);
        }
    };

    return {
        recordFirstByte(upstream, pool, epoch, delayMs) {
            const isSlow = monitor.recordDelay(upstream.id, pool, delayMs, phases.phaseOf(upstream) === "warm");
            if (isSlow) {
                fallBack(upstream, epoch);
            }
            return isSlow ? "slow" : "usual";
        },
        recordOutcome(upstream, epoch, outcome, wasSlow) {
            if (isFailure(outcome)) {
                phases.recordFailure(upstream.id);
                fallBack(upstream, epoch);
            }
            else if (outcome === "completed" && !wasSlow) {
                handleSuccess(upstream, epoch);
            }
        },
        handleReport(upstream, epoch, fallback) {
            if (remoteRampCoordinator(upstream.id)) {
                return;
            }
            if (fallback) {
                fallBack(upstream, epoch);
            }
            else if (phases.recordSuccess(upstream, epoch)) {
                onChange(upstream);
            }
        },
        merge(upstream, state) {
            const epochBefore = phases.epochOf(upstream.id);
            if (!phases.merge(upstream, state)) {
                return;
            }
            // A colder state of the same epoch means that another VM has detected a cold start.
            if (state.epoch === epochBefore && !remoteRampCoordinator(upstream.id)) {
                phases.fallBack(upstream, true);
            }
            onChange(upstream);
        },
        handleServiceChange(upstream) {
            phases.fallBack(upstream, remoteRampCoordinator(upstream.id) === undefined);
            onChange(upstream);
        },
    };
}
