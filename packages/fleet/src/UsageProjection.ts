import { type UsageAmount, usageTimeConstantMs } from "./UsageMessages.js";

/** Amounts of customers at a time. */
export interface UsageSample {
    readonly atMs: number;
    readonly amounts: readonly UsageAmount[];
}

/** Estimates the amounts at a later time, as if the customers went on at their present rate. */
export type UsageProjection = (nowMs: number) => readonly UsageAmount[];

/** Time in ms for which amounts are projected. After that they decay as if nothing more were used. */
export const maxProjectionMs = 1_200;
/**
 * Largest ratio of the amount to which usage tends to the present one. Usage that has been steady for 2 s is below it, and a sum
 * that jumps since reports were lost before is not projected much further.
 */
const maxGrowth = 2.5;
/** Shortest time in ms between two samples from which a rate is computed. */
const minSpacingMs = 200;

/** @param previous an earlier sample of the same VMs; without one, usage is assumed to be steady. */
export function createUsageProjection(sample: UsageSample, previous: UsageSample | undefined): UsageProjection {
    const spacingMs = previous ? sample.atMs - previous.atMs : 0;
    const isComparable = spacingMs >= minSpacingMs && spacingMs <= 2 * maxProjectionMs;
    const before = new Map(previous?.amounts.map(amount => [amount.customerHash, amount]));
    const remaining = Math.exp(-spacingMs / usageTimeConstantMs);
    /** The amount that a decaying sum tends to at the rate that took it from one value to another. */
    const levelOf = (value: number, earlier: number): number =>
        isComparable
            ? Math.min(maxGrowth * value, Math.max(0, (value - earlier * remaining) / (1 - remaining)))
            : value;
    const levels = sample.amounts.map(({ customerHash, begunTokens, refusedTokens }) => {
        const earlier = before.get(customerHash);
        return {
            begunTokens: levelOf(begunTokens, earlier?.begunTokens ?? 0),
            refusedTokens: levelOf(refusedTokens, earlier?.refusedTokens ?? 0),
        };
    });

    return nowMs => {
        const ageMs = Math.max(0, nowMs - sample.atMs);
        const kept = Math.exp(-Math.min(ageMs, maxProjectionMs) / usageTimeConstantMs);
        const decay = Math.exp(-Math.max(0, ageMs - maxProjectionMs) / usageTimeConstantMs);
        const project = (value: number, level: number): number => (value * kept + level * (1 - kept)) * decay;
        return sample.amounts.map(({ customerHash, begunTokens, refusedTokens }, index) => ({
            customerHash,
            begunTokens: project(begunTokens, levels[index]?.begunTokens ?? 0),
            refusedTokens: project(refusedTokens, levels[index]?.refusedTokens ?? 0),
        }));
    };
}
