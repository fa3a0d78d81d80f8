import { baseFirstEventMs } from "./Placement.js";

/** Learns the rate at which an engine prefills prompts. Engines prefill in order of arrival. */
export interface PrefillRate {
    /** @param newTokens tokens that the engine must prefill; undefined if it is not known which parts it has cached. */
    recordAdmitted(ticket: number, newTokens: number | undefined, nowMs: number): void;
    /** @param tookMs time in ms from the admission to the first event. */
    recordFirstEvent(ticket: number, tookMs: number): void;
    /** Removes a prompt that will not be prefilled. */
    remove(ticket: number): void;
    /** Learned rate in tokens/ms; undefined if there were too few responses. */
    tokensPerMs(): number | undefined;
}

interface AdmittedPrompt {
    readonly ticket: number;
    readonly tokens: number | undefined;
    readonly atMs: number;
}

type KnownPrompt = AdmittedPrompt & { readonly tokens: number; };

/** A rate that the engine may have, and how well it predicts the times of first events. */
interface Candidate {
    readonly tokensPerMs: number;
    readonly relativeRate: number;
    /** Predicted time in ms at which the prefill of the last prompt with a first event ended. */
    prefilledMs: number;
    /** Typical time in ms from there to the first event. */
    firstEventDelayMs: number;
    /** Mean squared error of the prediction. */
    squaredErrorMs2: number;
}

/** Candidates are spaced by this factor, with this number of them below and above the stated rate. */
const candidateSpacing = 1.12;
const candidatesPerSide = 18;
/** Responses from which a rate is learned. The first ones only determine the delays of the candidates. */
const minResponses = 24;
const delayOnlyResponses = 8;
/** Weight of the newest response in the averages once there are enough. */
const newestWeight = 0.02;
/** Maximum effect in ms of one response on a candidate: a late response says little of the rate. */
const maxErrorMs = 25;
/**
 * Error in ms that is added for each factor of e between the delay of a candidate and that of an engine of its speed. It
 * decides between candidates that predict equally well.
 */
const delayMismatchMs = 0.25;
/** Time in ms after which a prompt without a first event is forgotten: its report was lost. */
const entryLifetimeMs = 3_000;

export function createPrefillRate(statedTokensPerMs: number): PrefillRate {
    const candidates = Array.from({ length: 2 * candidatesPerSide + 1 }, (_, index): Candidate => {
        const relativeRate = candidateSpacing ** (index - candidatesPerSide);
        return {
            relativeRate,
            tokensPerMs: statedTokensPerMs * relativeRate,
            prefilledMs: Number.NEGATIVE_INFINITY,
            firstEventDelayMs: baseFirstEventMs / relativeRate,
            squaredErrorMs2: 0,
        };
    });
    let admitted: readonly AdmittedPrompt[] = [];
    let responses = 0;

    function recordAt(candidate: Candidate, prompts: readonly KnownPrompt[], firstEventMs: number): void {
        const predictedMs = prompts.reduce(
            (endMs, { atMs, tokens }) => Math.max(endMs, atMs) + tokens / candidate.tokensPerMs,
            candidate.prefilledMs,
        );
        const deviationMs = clampError(firstEventMs - predictedMs - candidate.firstEventDelayMs);
        const errorWeight = Math.max(newestWeight, 1 / Math.max(1, responses - delayOnlyResponses));
        const delayWeight = Math.max(newestWeight, 2 / (responses + 1));
        candidate.squaredErrorMs2 += errorWeight * (deviationMs ** 2 - candidate.squaredErrorMs2);
        candidate.firstEventDelayMs = Math.max(0, candidate.firstEventDelayMs + delayWeight * deviationMs);
        // Later prompts are predicted from the observed end of this prefill.
        candidate.prefilledMs = predictedMs + deviationMs;
    }

    function weightedErrorMs({ squaredErrorMs2, firstEventDelayMs, relativeRate }: Candidate): number {
        const delayRatio = Math.max(1, firstEventDelayMs) * relativeRate / baseFirstEventMs;
        return Math.sqrt(squaredErrorMs2) + delayMismatchMs * Math.abs(Math.log(delayRatio));
    }

    return {
        recordAdmitted(ticket, tokens, atMs) {
            admitted = [...admitted.filter(entry => atMs - entry.atMs < entryLifetimeMs), { ticket, tokens, atMs }];
        },
        recordFirstEvent(ticket, tookMs) {
            const current = admitted.find(entry => entry.ticket === ticket);
            // A ticket of an earlier tracker, or a response that arrived after that to a later prompt.
            if (!current) {
                return;
            }
            const prompts = admitted.filter(entry => entry.ticket <= ticket);
            admitted = admitted.filter(entry => entry.ticket > ticket);
            const firstEventMs = current.atMs + tookMs;
            if (prompts.every(isKnown)) {
                responses++;
                candidates.forEach(candidate => recordAt(candidate, prompts, firstEventMs));
            }
            else {
                candidates.forEach(candidate => candidate.prefilledMs = firstEventMs - candidate.firstEventDelayMs);
            }
        },
        remove(ticket) {
            admitted = admitted.filter(entry => entry.ticket !== ticket);
        },
        tokensPerMs: () =>
            responses < minResponses
                ? undefined
                : candidates.reduce((best, next) => weightedErrorMs(next) < weightedErrorMs(best) ? next : best)
                    .tokensPerMs,
    };
}

function isKnown(prompt: AdmittedPrompt): prompt is KnownPrompt {
    return prompt.tokens !== undefined;
}

function clampError(errorMs: number): number {
    return Math.min(maxErrorMs, Math.max(-maxErrorMs, errorMs));
}
