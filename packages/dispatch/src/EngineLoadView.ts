import type { StatedQueue } from "@peridotloft/fleet";
import { createDecayingSum } from "./LoadModel.js";

/**
 * What this VM believes of the queues of engines, from what their trackers stated to it and to other VMs. That is always a little
 * old, so a statement loses weight with its age, and what this VM has sent since is added to it.
 */
export interface EngineLoadView {
    /** Records a statement, unless a later one is known. */
    record(stated: StatedQueue): void;
    /**
     * Records that this VM has sent a prompt to an engine.
     *
     * @param prefillMs time in ms that its prefill takes.
     */
    recordSent(upstreamHash: number, prefillMs: number): void;
    /** Believed wait in ms at an engine; undefined if nothing recent is known of it. */
    waitMs(upstreamHash: number): number | undefined;
    /** The latest statements, for other VMs. */
    latest(count: number): readonly StatedQueue[];
}

interface BelievedQueue {
    readonly statedWaitMs: number;
    readonly statedMs: number;
    /** Prefill time in ms of the prompts that this VM has sent since. */
    sentPrefillMs: number;
}

/** Age in ms from which a statement says nothing: queues fill and empty within some hundred ms. */
const maxStatementAgeMs = 1_500;
/** Time constant in ms with which the belief in a statement decays towards the mean of all engines. */
const beliefTimeConstantMs = 600;
/** Time constant in ms of that mean. */
const meanTimeConstantMs = 2_000;

/** @param nowMs time in ms on the steady clock. */
export function createEngineLoadView(nowMs: () => number): EngineLoadView {
    const queues = new Map<number, BelievedQueue>();
    let evictedMs = nowMs();
    const waitSum = createDecayingSum(meanTimeConstantMs);
    const statementCount = createDecayingSum(meanTimeConstantMs);

    const meanWaitMs = (): number => waitSum.value(nowMs()) / Math.max(1, statementCount.value(nowMs()));

    function evictOld(): void {
        evictedMs = nowMs();
        const oldestMs = evictedMs - maxStatementAgeMs;
        queues.forEach(({ statedMs }, hash) => statedMs <= oldestMs && queues.delete(hash));
    }

    return {
        record({ upstreamHash, waitMs, ageMs }) {
            const statedMs = nowMs() - ageMs;
            const known = queues.get(upstreamHash);
            if (ageMs >= maxStatementAgeMs || (known && known.statedMs >= statedMs)) {
                return;
            }
            queues.set(upstreamHash, { statedWaitMs: waitMs, statedMs, sentPrefillMs: 0 });
            if (nowMs() - evictedMs >= maxStatementAgeMs) {
                evictOld();
            }
            waitSum.add(waitMs, nowMs());
            statementCount.add(1, nowMs());
        },
        recordSent(upstreamHash, prefillMs) {
            const known = queues.get(upstreamHash);
            if (known) {
                known.sentPrefillMs += prefillMs;
            }
        },
        waitMs(upstreamHash) {
            const known = queues.get(upstreamHash);
            const ageMs = known ? nowMs() - known.statedMs : Number.POSITIVE_INFINITY;
            if (!known || ageMs >= maxStatementAgeMs) {
                return undefined;
            }
            // The other VMs go on sending, so a queue is not believed to empty, only to become like the others.
            const belief = Math.exp(-ageMs / beliefTimeConstantMs);
            const ownMs = Math.max(0, known.sentPrefillMs - ageMs);
            return belief * known.statedWaitMs + (1 - belief) * meanWaitMs() + ownMs;
        },
        latest(count) {
            evictOld();
            return [...queues]
                .map(([upstreamHash, { statedWaitMs, statedMs }]) => ({
                    upstreamHash,
                    waitMs: statedWaitMs,
                    ageMs: nowMs() - statedMs,
                }))
                .sort((left, right) => left.ageMs - right.ageMs)
                .slice(0, count);
        },
    };
}
