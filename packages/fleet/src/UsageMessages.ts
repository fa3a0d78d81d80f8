import type * as messages from "./gen/announcement_pb.js";
import { toUint32 } from "./Uint32.js";

/** Recent usage of a customer: sums that decay with `usageTimeConstantMs`. */
export interface UsageAmount {
    /** 0 on open routes. */
    readonly customerHash: number;
    /** Cost in tokens of the requests whose responses began. */
    readonly begunTokens: number;
    /** Cost in tokens of the requests that were refused for want of capacity. */
    readonly refusedTokens: number;
}

/** Time constant in ms of the decay of usage: the platform measures shares over windows of 4 s. */
export const usageTimeConstantMs = 4_000;

/** What a VM recorded itself; replaces its earlier reports. */
export interface UsageReport {
    readonly incarnation: bigint;
    /** Increases with each report of a run. */
    readonly number: number;
    readonly amounts: readonly UsageAmount[];
}

/** The sum of the reports of all VMs, as one VM received them. */
export interface UsageTable {
    /** Hash of the address of the VM that added them up. */
    readonly collectorHash: number;
    readonly incarnation: bigint;
    /** Increases with each table of a run. */
    readonly version: number;
    /** Time in ms at which the reports were added up. */
    readonly atMs: number;
    /** Number of VMs whose reports were added up. */
    readonly reporters: number;
    readonly amounts: readonly UsageAmount[];
}

/** Asks a VM for a newer table of a collector. */
export type UsageTableQuestion = Pick<UsageTable, "collectorHash" | "incarnation" | "version">;

export function toUsageReportMessage({ incarnation, number, amounts }: UsageReport) {
    return { incarnation, number, ...toAmountLists(amounts) };
}

/** Converts a message to a report; undefined if its lists differ in length. */
export function fromUsageReportMessage(message: messages.UsageReport): UsageReport | undefined {
    const amounts = fromAmountLists(message);
    return amounts && { incarnation: message.incarnation, number: message.number, amounts };
}

/** @param until last position to which the receiver passes the table on. */
export function toUsageTableMessage(table: UsageTable, until: number, nowMs: number) {
    const { collectorHash, incarnation, version, atMs, reporters, amounts } = table;
    return {
        collector: collectorHash,
        incarnation,
        version,
        ageMs: toUint32(nowMs - atMs),
        reporters,
        until,
        ...toAmountLists(amounts),
    };
}

/** Converts a message to a table; undefined if its lists differ in length. */
export function fromUsageTableMessage(message: messages.UsageTable, nowMs: number): UsageTable | undefined {
    const amounts = fromAmountLists(message);
    return amounts && {
        collectorHash: message.collector,
        incarnation: message.incarnation,
        version: message.version,
        atMs: nowMs - message.ageMs,
        reporters: message.reporters,
        amounts,
    };
}

export function toUsageTableQuestionMessage({ collectorHash, incarnation, version }: UsageTableQuestion) {
    return { collector: collectorHash, incarnation, version, question: true };
}

export function fromUsageTableQuestionMessage(message: messages.UsageTable): UsageTableQuestion {
    return { collectorHash: message.collector, incarnation: message.incarnation, version: message.version };
}

function toAmountLists(amounts: readonly UsageAmount[]) {
    return {
        customers: amounts.map(({ customerHash }) => customerHash),
        begunTokens: amounts.map(({ begunTokens }) => toUint32(begunTokens)),
        refusedTokens: amounts.map(({ refusedTokens }) => toUint32(refusedTokens)),
    };
}

function fromAmountLists(
    { customers, begunTokens, refusedTokens }: Pick<
        messages.UsageReport,
        "customers" | "begunTokens" | "refusedTokens"
    >,
): readonly UsageAmount[] | undefined {
    return customers.length === begunTokens.length && customers.length === refusedTokens.length
        ? customers.map((customerHash, index) => ({
            customerHash,
            begunTokens: begunTokens[index] ?? 0,
            refusedTokens: refusedTokens[index] ?? 0,
        }))
        : undefined;
}
