import type { LearnedRate } from "@peridotloft/fleet";
import { createGenerationSpeed } from "./GenerationSpeed.js";
import type { KnownRate } from "./KnownRate.js";
import { createPrefillRate, type PrefillRate } from "./PrefillRate.js";
import { createSlowAverage } from "./SlowAverage.js";
import { nextSpeedStep } from "./SpeedStep.js";
import type { TypicalRate } from "./TypicalRate.js";

export interface EngineRateOptions {
    /** Rate in tokens/ms around which the engine's own is sought. */
    readonly statedTokensPerMs: () => number;
    /** The rate that this VM knows; receives what is learned here. */
    readonly known: KnownRate;
    /** The rate of a typical engine of the pool. */
    readonly typical: () => TypicalRate;
    /** Called when a step changes. */
    readonly onStep: (rate: LearnedRate, previous: LearnedRate | undefined) => void;
}

/** The rate of one run of an engine, as its tracker learns it from the responses to all VMs. */
export interface EngineRate extends Pick<PrefillRate, "recordAdmitted" | "remove"> {
    /** @param tookMs time in ms from the admission to the first event. */
    recordFirstEvent(ticket: number, tookMs: number, nowMs: number): void;
    /** Records the measured and the expected time in ms of responses after their first event. */
    recordRuns(runMs: number, expectedRunMs: number): void;
    /** Adopts what another VM knows, unless the rate has been learned here. */
    adopt(rate: LearnedRate | undefined): void;
}

/** Relative change of the stated rate from which the engine's own is sought anew. */
const statedChange = 0.25;
/** Relative change from which a rate is published again. */
const publishedChange = 0.05;

export function createEngineRate({ statedTokensPerMs, known, typical, onStep }: EngineRateOptions): EngineRate {
    let soughtAroundTokensPerMs = statedTokensPerMs();
    let prefill = createPrefillRate(soughtAroundTokensPerMs);
    const generation = createGenerationSpeed();
    const prefillAverage = createSlowAverage();
    const generationAverage = createSlowAverage();

    function publish(nowMs: number): void {
        const previous = known.current();
        const learnedPrefill = prefill.tokensPerMs();
        const learnedGeneration = generation.value();
        const prefillTokensPerMs = learnedPrefill === undefined
            ? previous?.prefillTokensPerMs
            : prefillAverage.follow(learnedPrefill, previous?.prefillTokensPerMs, nowMs);
        const generationSpeed = learnedGeneration === undefined
            ? previous?.generationSpeed
            : generationAverage.follow(learnedGeneration, previous?.generationSpeed, nowMs);
        const typicalRate = typical();
        const next: LearnedRate = {
            runHash: known.runHash,
            prefillTokensPerMs: withoutSmallChange(previous?.prefillTokensPerMs, prefillTokensPerMs),
            generationSpeed: withoutSmallChange(previous?.generationSpeed, generationSpeed),
            prefillStep: stepOf(previous?.prefillStep, prefillTokensPerMs, typicalRate.prefillTokensPerMs),
            generationStep: stepOf(previous?.generationStep, generationSpeed, typicalRate.generationSpeed),
            atMs: nowMs,
        };
        const hasStepped = next.prefillStep !== (previous?.prefillStep ?? 0)
            || next.generationStep !== (previous?.generationStep ?? 0);
        if (
            hasStepped || next.prefillTokensPerMs !== previous?.prefillTokensPerMs
            || next.generationSpeed !== previous?.generationSpeed
        ) {
            known.adopt(next);
        }
        if (hasStepped) {
            onStep(next, previous);
        }
    }

    /** The stated rate of an engine changes with the configuration, and while the engines of the pool are registered. */
    function followStatedRate(): void {
        const statedRate = statedTokensPerMs();
        if (Math.abs(statedRate / soughtAroundTokensPerMs - 1) > statedChange) {
            soughtAroundTokensPerMs = statedRate;
            prefill = createPrefillRate(statedRate);
        }
    }

    return {
        recordAdmitted(ticket, newTokens, nowMs) {
            followStatedRate();
            prefill.recordAdmitted(ticket, newTokens, nowMs);
        },
        remove: ticket => prefill.remove(ticket),
        recordFirstEvent(ticket, tookMs, nowMs) {
            prefill.recordFirstEvent(ticket, tookMs);
            publish(nowMs);
        },
        recordRuns: generation.record,
        adopt(rate) {
            if (!prefillAverage.hasLearned() && !generationAverage.hasLearned()) {
                known.adopt(rate);
            }
        },
    };
}

/** The previous value if the next one hardly differs. */
function withoutSmallChange(previous: number | undefined, next: number | undefined): number | undefined {
    return previous !== undefined && next !== undefined && Math.abs(next / previous - 1) < publishedChange
        ? previous
        : next;
}

/** The step stays as it is while the rate, or that of a typical engine, is not known. */
function stepOf(previous = 0, rate: number | undefined, typicalRate: number | undefined): number {
    return rate === undefined || typicalRate === undefined ? previous : nextSpeedStep(previous, rate / typicalRate);
}
