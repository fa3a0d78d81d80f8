import type { LearnedRate as LearnedRateMessage } from "./gen/announcement_pb.js";
import type { LearnedRate } from "./TrackerMessages.js";
import { toUint32 } from "./Uint32.js";

/** Bounds of what is accepted from other VMs. */
const maxRate = 1e6;
const maxStep = 16;

export function toLearnedRateMessage(rate: LearnedRate | undefined, nowMs: number) {
    return rate && {
        run: rate.runHash,
        ...(rate.prefillTokensPerMs === undefined ? {} : { prefillTokensPerMs: rate.prefillTokensPerMs }),
        ...(rate.generationSpeed === undefined ? {} : { generationSpeed: rate.generationSpeed }),
        prefillStep: rate.prefillStep,
        generationStep: rate.generationStep,
        ageMs: toUint32(nowMs - rate.atMs),
    };
}

/** Converts a message to a rate; undefined if there is none or it is invalid. */
export function fromLearnedRateMessage(
    message: LearnedRateMessage | undefined,
    nowMs: number,
): LearnedRate | undefined {
    if (
        !message || ![message.prefillTokensPerMs, message.generationSpeed].every(isAbsentOrRate)
        || ![message.prefillStep, message.generationStep].every(step => Math.abs(step) <= maxStep)
    ) {
        return undefined;
    }
    const { run, prefillTokensPerMs, generationSpeed, prefillStep, generationStep, ageMs } = message;
    return { runHash: run, prefillTokensPerMs, generationSpeed, prefillStep, generationStep, atMs: nowMs - ageMs };
}

function isAbsentOrRate(rate: number | undefined): boolean {
    return rate === undefined || (rate > 0 && rate <= maxRate);
}
