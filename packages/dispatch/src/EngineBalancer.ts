import type * as core from "@peridotloft/core";
import type { StatedQueue } from "@peridotloft/fleet";
import type * as telemetry from "@peridotloft/telemetry";
import {
    type CandidateQueue,
    chooseFirstCandidate,
    chooseNextCandidate,
    type FirstEventTime,
    firstWaitLimitMs,
    minGainMs,
} from "./CandidateChoice.js";
import type { EngineLoadView } from "./EngineLoadView.js";

/** An engine to which a prompt may be offered. */
export interface BalancedCandidate {
    /** Hash of the engine's id. */
    readonly idHash: number;
    /** Time in ms that the prefill of the prompt takes there, with the shared parts unless it is the primary engine. */
    readonly prefillMs: number;
}

/** An engine to which a prompt is offered. */
export interface EngineOffer {
    /** Index of the candidate. */
    readonly index: number;
    /** The longest wait in ms with which the offer stands. */
    readonly waitLimitMs: number;
}

/** The offers of one prompt: first to the engine with the soonest first event, then to one more if that refuses it. */
export interface EngineOffers {
    /** Undefined if there is no further engine to which it is worth offering the prompt. */
    next(): EngineOffer | undefined;
    /** Records that the engine of the last offer refused it, and the wait in ms there. */
    recordRefusal(index: number, waitMs: number): void;
}

/**
 * Evens out the load of engines with few slots: it offers a prompt to the candidate at which its first event is expected soonest,
 * by what trackers have stated in answers so far. Only a prompt that would be late where it is offered costs further questions.
 */
export interface EngineBalancer {
    /**
     * Starts the offers of a prompt; undefined if the engines of the pool are not balanced, or questions take long now: a VM without
     * processor time pays for each of them with a turn of its event loop.
     *
     * @param candidates in rendezvous order; the first is the session's primary engine.
     */
    startOffers(
        pool: core.PoolId,
        candidates: readonly BalancedCandidate[],
        time: FirstEventTime,
    ): EngineOffers | undefined;
    /** Queues of other engines to be stated in an answer about an engine of a pool. */
    queuesToState(pool: core.PoolId): readonly StatedQueue[];
    /** Records for how long the answer to a question took in ms. */
    recordQuestionTime(tookMs: number): void;
}

export interface EngineBalancerOptions {
    readonly random: core.Random;
    readonly metrics: telemetry.Metrics;
    /** What this VM believes of the queues of a pool's engines. */
    readonly loadViewOf: (pool: core.PoolId) => EngineLoadView;
    /** Slots of an engine of the pool, as the configuration states them; undefined if it states none. */
    readonly slotsOf: (pool: core.PoolId) => number | undefined;
}

/**
 * Largest number of slots of an engine whose load is balanced. An engine with many slots averages over so many sessions that
 * its queue is like those of the others, and every session that moves is prefilled again.
 */
const maxBalancedSlots = 32;
/** Engines to which a prompt is offered before the order of its session decides. */
const maxOffers = 2;
/** Mean time in ms of a question from which no prompt is offered; between idle VMs it takes 1 to 3 ms. */
const maxQuestionMs = 15;
/** Weight of the latest question in that mean. */
const questionWeight = 0.1;
/** Candidates that are compared. */
const comparedCandidates = 3;
/** Queues of other engines in an answer; each takes about 10 bytes of the control traffic. */
const statedQueues = 2;

export function createEngineBalancer(options: EngineBalancerOptions): EngineBalancer {
    const { random, metrics, loadViewOf, slotsOf } = options;
    let meanQuestionMs = 0;
    const isBalanced = (pool: core.PoolId): boolean => {
        const slots = slotsOf(pool);
        return slots !== undefined && slots <= maxBalancedSlots;
    };

    return {
        startOffers(pool, candidates, time) {
            if (!isBalanced(pool) || meanQuestionMs > maxQuestionMs) {
                return undefined;
            }
            const compared = candidates.slice(0, comparedCandidates);
            const queues = (): readonly CandidateQueue[] =>
                compared.map(({ idHash, prefillMs }) => ({ waitMs: loadViewOf(pool).waitMs(idHash), prefillMs }));
            const first = chooseFirstCandidate(queues(), time, random);
            let offer: EngineOffer | undefined = {
                index: first,
                waitLimitMs: firstWaitLimitMs(time, compared[first]?.prefillMs ?? 0),
            };
            let offerCount = 0;
            return {
                next() {
                    const next = offerCount < maxOffers ? offer : undefined;
                    offerCount++;
                    if (next) {
                        metrics.count("balancedPrompts", { offered: next.index === 0 ? "primary" : "other" });
                    }
                    return next;
                },
                recordRefusal(index, waitMs) {
                    const nextIndex = chooseNextCandidate(queues(), { index, waitMs });
                    offer = nextIndex === undefined
                        ? undefined
                        : { index: nextIndex, waitLimitMs: waitMs - minGainMs };
                },
            };
        },
        recordQuestionTime: tookMs => void (meanQuestionMs += questionWeight * (tookMs - meanQuestionMs)),
        queuesToState: pool => isBalanced(pool) ? loadViewOf(pool).latest(statedQueues) : [],
    };
}
