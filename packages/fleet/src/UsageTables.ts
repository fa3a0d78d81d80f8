import {
    type UsageAmount,
    type UsageReport,
    type UsageTable,
    type UsageTableQuestion,
    usageTimeConstantMs,
} from "./UsageMessages.js";
import { createUsageProjection, maxProjectionMs, type UsageProjection } from "./UsageProjection.js";

/** The last report of each VM, and their sum. */
export interface UsageReports {
    /** Records a report, unless a later one of its VM is known. */
    record(from: string, report: UsageReport, nowMs: number): void;
    /** The sum for each customer, the largest `count`. */
    sum(count: number, nowMs: number): readonly UsageAmount[];
    /** Number of VMs whose reports count. */
    size(): number;
    /** Time in ms at which the last report arrived. */
    lastReportMs(): number;
}

/** The last table of each collector. */
export interface UsageTables {
    /** Returns whether the table is newer than the known one of its collector. */
    record(table: UsageTable): boolean;
    /** The last table of a collector; undefined if there is none. */
    of(collectorHash: number): UsageTable | undefined;
    /** Hashes of the collectors whose last table is no older than a time in ms. */
    collectorsSince(sinceMs: number): readonly number[];
    /**
     * For each customer the largest amount of all tables. Each table counts some reports and none twice, so each is a lower
     * bound of the usage.
     */
    largest(nowMs: number): ReadonlyMap<number, UsageAmount>;
}

/** Age in ms from which reports and tables are dropped; their amounts have decayed to a tenth. */
const expiryMs = maxProjectionMs + 2.3 * usageTimeConstantMs;
/** Share of the largest customer's amount below which a sum is left out. */
const negligibleShare = 0.005;

const sizeOf = ({ begunTokens, refusedTokens }: UsageAmount): number => begunTokens + refusedTokens;

/** The largest amounts, largest first, without negligible ones. */
export function selectLargest(amounts: readonly UsageAmount[], count: number): readonly UsageAmount[] {
    const sorted = [...amounts].sort((left, right) => sizeOf(right) - sizeOf(left)).slice(0, count);
    const [first] = sorted;
    return first ? sorted.filter(amount => sizeOf(amount) >= Math.max(1, sizeOf(first) * negligibleShare)) : [];
}

interface KnownReport {
    readonly report: UsageReport;
    readonly atMs: number;
    readonly project: UsageProjection;
}

export function createUsageReports(): UsageReports {
    const reports = new Map<string, KnownReport>();
    let lastMs = Number.NEGATIVE_INFINITY;

    return {
        record(from, report, atMs) {
            const known = reports.get(from);
            if (known && !isNewer(report.incarnation, report.number, known.report.incarnation, known.report.number)) {
                return;
            }
            const previous = known?.report.incarnation === report.incarnation
                ? { atMs: known.atMs, amounts: known.report.amounts }
                : undefined;
            const project = createUsageProjection({ atMs, amounts: report.amounts }, previous);
            reports.set(from, { report, atMs, project });
            lastMs = atMs;
        },
        sum(count, nowMs) {
            [...reports].filter(([, { atMs }]) => nowMs - atMs >= expiryMs).forEach(([from]) => reports.delete(from));
            const sums = new Map<number, UsageAmount>();
            reports.forEach(({ project }) =>
                project(nowMs).forEach(amount => mergeAmount(sums, amount, (left, right) => left + right))
            );
            return selectLargest([...sums.values()], count);
        },
        size: () => reports.size,
        lastReportMs: () => lastMs,
    };
}

interface KnownTable {
    readonly table: UsageTable;
    readonly project: UsageProjection;
}

export function createUsageTables(): UsageTables {
    const tables = new Map<number, KnownTable>();
    /** The last tables of the earlier runs of collectors: the first tables of a new run lack most reports. */
    const earlierRuns = new Map<number, KnownTable>();

    return {
        record(table) {
            const known = tables.get(table.collectorHash);
            if (known && !isNewerTable(table, known.table)) {
                return false;
            }
            const isSameRun = known?.table.incarnation === table.incarnation;
            if (known && !isSameRun) {
                earlierRuns.set(table.collectorHash, known);
            }
            const previous = known && isSameRun ? scaleToReporters(known.table, table) : undefined;
            tables.set(table.collectorHash, { table, project: createUsageProjection(table, previous) });
            return true;
        },
        of: collectorHash => tables.get(collectorHash)?.table,
        collectorsSince: sinceMs =>
            [...tables.values()].filter(({ table }) => table.atMs >= sinceMs).map(({ table }) => table.collectorHash),
        largest(nowMs) {
            const amounts = new Map<number, UsageAmount>();
            [tables, earlierRuns].forEach(known => {
                [...known].filter(([, { table }]) => nowMs - table.atMs >= expiryMs).forEach(([key]) =>
                    known.delete(key)
                );
                known.forEach(({ project }) =>
                    project(nowMs).forEach(amount => mergeAmount(amounts, amount, Math.max))
                );
            });
            return amounts;
        },
    };
}

function mergeAmount(
    amounts: Map<number, UsageAmount>,
    { customerHash, begunTokens, refusedTokens }: UsageAmount,
    merge: (left: number, right: number) => number,
): void {
    const known = amounts.get(customerHash);
    amounts.set(customerHash, {
        customerHash,
        begunTokens: merge(known?.begunTokens ?? 0, begunTokens),
        refusedTokens: merge(known?.refusedTokens ?? 0, refusedTokens),
    });
}

const isNewer = (incarnation: bigint, number: number, knownIncarnation: bigint, knownNumber: number): boolean =>
    incarnation === knownIncarnation ? number > knownNumber : incarnation > knownIncarnation;

export const isNewerTable = (table: UsageTableQuestion, known: UsageTableQuestion): boolean =>
    isNewer(table.incarnation, table.version, known.incarnation, known.version);

/** A table as if as many VMs had reported as for another one: amounts differ by usage, and not since reports were missing. */
function scaleToReporters(table: UsageTable, { reporters }: UsageTable): UsageTable {
    const factor = reporters / Math.max(1, table.reporters);
    return {
        ...table,
        amounts: table.amounts.map(({ customerHash, begunTokens, refusedTokens }) => ({
            customerHash,
            begunTokens: begunTokens * factor,
            refusedTokens: refusedTokens * factor,
        })),
    };
}
