import { create } from "@bufbuild/protobuf";
import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import type { FirstByteMonitor } from "./FirstByteMonitor.js";
import * as gen from "./gen/scheduling_pb.js";
import type { UpstreamOutcome } from "./Scheduler.js";
import type { MessageSender } from "./SchedulingMessages.js";
import type { PhaseState, PhaseTable } from "./UpstreamPhase.js";

/** Turns outcomes and first-byte delays into phase changes, and tells the VM that decides the ramp. */
export interface UpstreamHealth {
    noteFirstByte(upstream: documents.Upstream, pool: core.PoolId, epoch: number, delayMs: number): FirstByteVerdict;
    noteOutcome(upstream: documents.Upstream, epoch: number, outcome: UpstreamOutcome, wasSlow: boolean): void;
    /** A report of another VM; only the decider of the ramp gets reports. */
    noteReport(upstream: documents.Upstream, epoch: number, fallback: boolean): void;
    merge(upstream: documents.Upstream, state: PhaseState): void;
    /** The upstream leaves or returns: it ramps from cold when it is used again. */
    noteServiceChange(upstream: documents.Upstream): void;
}

export type FirstByteVerdict = "usual" | "slow";

export interface UpstreamHealthOptions {
    readonly phases: PhaseTable;
    readonly monitor: FirstByteMonitor;
    readonly sender: MessageSender;
    /** The VM that decides the ramp; undefined when it is this VM. */
    readonly remoteDecider: (upstream: core.UpstreamId) => core.VmId | undefined;
    /** Called when peers should learn a new state at once. */
    readonly onChange: (upstream: documents.Upstream) => void;
}

const failures: readonly UpstreamOutcome[] = ["overloaded", "unreachable", "broken", "timed-out"];

export const isFailure = (outcome: UpstreamOutcome): boolean => failures.includes(outcome);

export function createUpstreamHealth(options: UpstreamHealthOptions): UpstreamHealth {
    const { phases, monitor, sender, remoteDecider, onChange } = options;

    const report = (to: core.VmId, upstream: documents.Upstream, epoch: number, fallback: boolean): void => {
        const value = create(gen.UpstreamReportSchema, { upstream: upstream.id, epoch, fallback });
        void sender.call(to, { case: "report", value });
    };

    /** A request that started before the current cold start says nothing new. */
    const fallBack = (upstream: documents.Upstream, epoch: number): void => {
        if (epoch < phases.coldEpochOf(upstream.id) || phases.phaseOf(upstream) === "cold") {
            return;
        }
        const decider = remoteDecider(upstream.id);
        phases.fallBack(upstream, decider === undefined);
        if (decider) {
            report(decider, upstream, epoch, true);
        }
        onChange(upstream);
    };

    const noteSuccess = (upstream: documents.Upstream, epoch: number): void => {
        phases.noteAnswer(upstream.id);
        if (phases.phaseOf(upstream) === "warm") {
            return;
        }
        const decider = remoteDecider(upstream.id);
        if (decider) {
            report(decider, upstream, epoch, false);
        }
        else if (phases.noteSuccess(upstream, epoch)) {
            onChange(upstream);
        }
    };

    return {
        noteFirstByte(upstream, pool, epoch, delayMs) {
            const isSlow = monitor.note(upstream.id, pool, delayMs, phases.phaseOf(upstream) === "warm");
            if (isSlow) {
                fallBack(upstream, epoch);
            }
            return isSlow ? "slow" : "usual";
        },
        noteOutcome(upstream, epoch, outcome, wasSlow) {
            if (isFailure(outcome)) {
                phases.noteFailure(upstream.id);
                fallBack(upstream, epoch);
            }
            else if (outcome === "completed" && !wasSlow) {
                noteSuccess(upstream, epoch);
            }
        },
        noteReport(upstream, epoch, fallback) {
            if (remoteDecider(upstream.id)) {
                return;
            }
            if (fallback) {
                fallBack(upstream, epoch);
            }
            else if (phases.noteSuccess(upstream, epoch)) {
                onChange(upstream);
            }
        },
        merge(upstream, state) {
            const epochBefore = phases.epochOf(upstream.id);
            if (!phases.merge(upstream, state)) {
                return;
            }
            // A colder state of the same epoch is a fall-back that another VM noticed.
            if (state.epoch === epochBefore && !remoteDecider(upstream.id)) {
                phases.fallBack(upstream, true);
            }
            onChange(upstream);
        },
        noteServiceChange(upstream) {
            phases.fallBack(upstream, remoteDecider(upstream.id) === undefined);
            onChange(upstream);
        },
    };
}
