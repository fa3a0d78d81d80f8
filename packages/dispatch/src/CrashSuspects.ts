import * as core from "@peridotloft/core";
import type * as fleets from "@peridotloft/fleet";

/** Collects evidence on which requests, or which parts of prompts, crash the upstreams that respond to them. */
export interface CrashSuspects {
    /** Records that a suspect was in flight when the connections to a run of an upstream broke. */
    recordCrash(mark: fleets.CrashMark, nowMs: number): void;
    /**
     * Records a response.
     *
     * @param hashes of the parts of the prompt and of the upstream's run, and of the request if the response is complete, as
     *     far as they are known.
     * @returns those that contradict a mark.
     */
    recordResponse(hashes: readonly number[], atMs: number): readonly number[];
    /** Counts a response, complete or not, that this VM has received from any upstream. */
    countResponse(atMs: number): void;
    /** Time in ms of the last known response to a suspect, or of a run; undefined if none is recent. */
    lastResponseMs(hash: number, nowMs: number): number | undefined;
    /** Whether any mark is recent. */
    hasRecentMarks(nowMs: number): boolean;
    /**
     * Returns a suspect with sufficient evidence. If several were in flight at the same crashes, the one whose responses ran
     * for the shortest time there, then the most specific one.
     * Crashes at which a quarantined suspect was in flight do not suffice to quarantine another one.
     */
    findNextToQuarantine(nowMs: number, isQuarantined: (hash: number) => boolean): QuarantineDecision | undefined;
    /**
     * Time in ms until the crashes of a suspect without a response are settled, if there are enough of them to wait for that
     * before the suspect is sent to another upstream; otherwise 0.
     */
    remainingSettleMs(suspectHash: number, nowMs: number): number;
    /** Whether the evidence suffices for a suspect that had responses before. */
    isEvidenceSufficientDespiteResponses(suspectHash: number, nowMs: number): boolean;
    /** Discards the marks of a suspect and lowers the number of crashes after which it is quarantined to one. */
    requireSingleCrash(suspectHash: number): void;
}

export interface QuarantineDecision {
    readonly suspectHash: number;
    /** Number of crashes that led to the decision. */
    readonly crashes: number;
    /** Number of these at which a response to the suspect had begun, and the time in ms that these ran in all. */
    readonly begunCrashes: number;
    readonly runMs: number;
    /** Time in ms since the first of them. */
    readonly firstCrashAgeMs: number;
    /** Their share in all known crashes since then, 0 to 1. */
    readonly share: number;
    /** Whether the evidence also suffices for a suspect that had responses before the crashes. */
    readonly isConfirmed: boolean;
}

/** Number of crashes from which a suspect waits until they are settled. */
const crashesToWait = 2;
/** Minimum number of crashes; even two by coincidence are rare. */
const minCrashes = 3;
/**
 * Number of crashes after which a suspect is quarantined, by its minimum share of the crashes since its first one. Where
 * many upstreams crash for other reasons, some sound requests are in flight at several of them by coincidence.
 */
const crashesToQuarantine = [
    { minShare: 1, crashes: minCrashes },
    { minShare: 0.5, crashes: 4 },
    { minShare: 0.2, crashes: 5 },
];
/** Number of these at which no quarantined suspect was in flight. */
const minUnexplainedCrashes = 2;
/**
 * Number of crashes required in addition if responses had begun at some of them, and if these responses ran for the time in
 * ms in all. Sound requests spend most of their time with a response, so more of them are there by coincidence.
 */
const additionalBegunCrashes = 1;
const additionalLongCrashes = 2;
const longRunMs = 5_000;
/** Time in ms after which marks and responses expire. */
const evidenceLifetimeMs = 60_000;
/**
 * Time in ms after which a crash is settled. Until then, other VMs may report responses that contradict it. At most one crash
 * that is not settled counts.
 */
const settleMs = 400;
/** Time in ms after a crash in which VMs may still receive responses that the upstream sent before it. */
const crashSlackMs = 200;
/**
 * An outage also breaks the connections to several upstreams. A suspect is quarantined only if this VM has received this number
 * of responses since the first crash, or if the crashes span this time in ms.
 */
const minResponses = 3;
const minSpanMs = 500;
/** The same for a suspect that has had a response before; all are required, since popular parts are in flight everywhere. */
const minCrashesToConfirm = 4;
const minResponsesToConfirm = 8;
const minSpanToConfirmMs = 1_000;
/** Minimum ratio of the rate of crashes while a suspect runs to the rate of other crashes of all upstreams. */
const minRateRatio = 2;
/** Maximum numbers of suspects and of response times; beyond them the oldest are evicted. */
const maxSuspects = 5_000;
const maxResponseTimes = 10_000;

interface Crash {
    readonly atMs: number;
    /** Time in ms at which this VM learned of the crash. */
    readonly learnedMs: number;
}

/** A crash at which a suspect was in flight. */
interface MarkedCrash extends Crash {
    /** Time in ms since the response to the suspect began; undefined if it had not begun. */
    readonly runMs: number | undefined;
}

interface Suspect {
    readonly hash: number;
    readonly depth: number;
    /** By run of an upstream. */
    readonly crashes: Map<number, MarkedCrash>;
}

/** The evidence against a suspect. */
interface Evidence {
    readonly suspect: Suspect;
    /** Its crashes that count, by run. */
    readonly counted: readonly [number, MarkedCrash][];
    /** Number of these at which no quarantined suspect was in flight. */
    readonly unexplained: number;
    /** Share of these in all such crashes since its first one, 0 to 1. */
    readonly share: number;
    /** Number of other such crashes per ms since then. */
    readonly othersPerMs: number;
}

export function createCrashSuspects(): CrashSuspects {
    const suspects = new Map<number, Suspect>();
    /** Crashes by run, and the suspects that are marked there. */
    const crashes = new Map<number, Crash>();
    const suspectsByRun = new Map<number, Set<number>>();
    /** Times in ms of the last response to each suspect and of each run. */
    const responseTimesMs = new Map<number, number>();
    const singleCrashSuffices = new Set<number>();
    /** Times in ms of the most recent responses that this VM received itself. */
    let recentResponsesMs: number[] = [];
    let lastMarkMs = Number.NEGATIVE_INFINITY;

    function recordRun(runHash: number, crash: Crash): void {
        crashes.forEach(({ learnedMs }, hash) =>
            crash.learnedMs - learnedMs > evidenceLifetimeMs && crashes.delete(hash)
        );
        if (!crashes.has(runHash)) {
            crashes.set(runHash, crash);
        }
    }

    function dropMarks(suspect: Suspect, isContradicted: (crash: Crash, runHash: number) => boolean): boolean {
        const dropped = [...suspect.crashes].filter(([runHash, crash]) => isContradicted(crash, runHash));
        dropped.forEach(([runHash]) => {
            suspect.crashes.delete(runHash);
            const marked = suspectsByRun.get(runHash);
            marked?.delete(suspect.hash);
            if (marked?.size === 0) {
                suspectsByRun.delete(runHash);
            }
        });
        if (suspect.crashes.size === 0) {
            suspects.delete(suspect.hash);
        }
        return dropped.length > 0;
    }

    function recordResponseTime(hash: number, atMs: number): void {
        const previousMs = responseTimesMs.get(hash) ?? Number.NEGATIVE_INFINITY;
        responseTimesMs.delete(hash);
        responseTimesMs.set(hash, Math.max(previousMs, atMs));
        core.evictOldest(responseTimesMs, maxResponseTimes);
    }

    /** Drops the marks that a response to a suspect, or of a run, contradicts; returns whether there were any. */
    function dropContradictedMarks(hash: number, atMs: number): boolean {
        const suspect = suspects.get(hash);
        const hasCleared = suspect !== undefined && dropMarks(suspect, crash => crash.atMs <= atMs);
        const runCrash = crashes.get(hash);
        if (runCrash && runCrash.atMs + crashSlackMs < atMs) {
            crashes.delete(hash);
        }
        const markedThere = [...suspectsByRun.get(hash) ?? []].flatMap(suspectHash => suspects.get(suspectHash) ?? []);
        const clearedThere = markedThere.filter(other =>
            dropMarks(other, (crash, runHash) => runHash === hash && crash.atMs + crashSlackMs < atMs)
        );
        return hasCleared || clearedThere.length > 0;
    }

    const hasResponseAfter = (hash: number, atMs: number): boolean =>
        (responseTimesMs.get(hash) ?? Number.NEGATIVE_INFINITY) >= atMs;

    /** The crashes of a suspect that count: the settled ones, and one more. */
    function countedCrashes(suspect: Suspect, nowMs: number): [number, MarkedCrash][] {
        const settled = [...suspect.crashes].filter(([, crash]) => isSettled(crash, nowMs));
        const unsettled = [...suspect.crashes].filter(([, crash]) => !isSettled(crash, nowMs));
        return [...settled, ...unsettled.slice(0, 1)];
    }

    /** The crashes of a suspect that count, and the share that they have in those that no quarantined suspect explains. */
    function assess(suspect: Suspect, quarantined: readonly Suspect[], nowMs: number): Evidence {
        const all = countedCrashes(suspect, nowMs);
        const isExplained = (runHash: number): boolean => quarantined.some(other => other.crashes.has(runHash));
        const unexplained = all.filter(([runHash]) => !isExplained(runHash));
        // Long responses to sound requests are in flight at many crashes that a quarantined suspect explains.
        const counted = begunCrashes(all).length > 0 ? unexplained : all;
        const firstMs = Math.min(...timesMs(unexplained));
        const sinceFirst = [...crashes].filter(([runHash, crash]) =>
            crash.atMs >= firstMs && isSettled(crash, nowMs) && !isExplained(runHash)
        );
        return {
            suspect,
            counted,
            unexplained: unexplained.length,
            share: unexplained.length / Math.max(unexplained.length, sinceFirst.length, 1),
            othersPerMs: Math.max(0, sinceFirst.length - unexplained.length) / Math.max(1, nowMs - firstMs),
        };
    }

    function isEvidenceSufficient(evidence: Evidence, nowMs: number): boolean {
        const { suspect, counted, unexplained, share } = evidence;
        if (singleCrashSuffices.has(suspect.hash)) {
            return unexplained > 0;
        }
        const additional = additionalCrashes(counted);
        return unexplained >= minUnexplainedCrashes
            && crashesToQuarantine.some(({ minShare, crashes: count }) =>
                share >= minShare && counted.length >= count + additional
            )
            && crashesFasterThanOthers(evidence)
            && (hasResponsesSince(counted, minResponses) || spanMs(counted) >= minSpanMs)
            && (lastResponseMs(suspect.hash, nowMs) === undefined || isConfirmed(counted));
    }

    /** Whether this VM has received a number of responses since the first of some crashes. */
    function hasResponsesSince(counted: readonly [number, Crash][], count: number): boolean {
        const firstCrashMs = Math.min(...timesMs(counted));
        return (recentResponsesMs.at(-count) ?? Number.NEGATIVE_INFINITY) > firstCrashMs + crashSlackMs;
    }

    function isConfirmed(counted: readonly [number, MarkedCrash][]): boolean {
        return counted.length >= minCrashesToConfirm + additionalCrashes(counted)
            && hasResponsesSince(counted, minResponsesToConfirm) && spanMs(counted) >= minSpanToConfirmMs;
    }

    function lastResponseMs(hash: number, nowMs: number): number | undefined {
        const lastMs = responseTimesMs.get(hash);
        return lastMs !== undefined && nowMs - lastMs <= evidenceLifetimeMs ? lastMs : undefined;
    }

    return {
        recordCrash(mark, nowMs) {
            const { suspectHash, runHash, atMs, depth, runMs } = mark;
            if (hasResponseAfter(runHash, atMs + crashSlackMs) || nowMs - atMs > evidenceLifetimeMs) {
                return;
            }
            lastMarkMs = nowMs;
            recordRun(runHash, { atMs, learnedMs: nowMs });
            if (hasResponseAfter(suspectHash, atMs)) {
                return;
            }
            const suspect = suspects.get(suspectHash)
                ?? { hash: suspectHash, depth, crashes: new Map() };
            const known = suspect.crashes.get(runHash);
            if (known) {
                suspect.crashes.set(runHash, { ...known, runMs: shorterRunMs(known.runMs, runMs) });
                return;
            }
            dropMarks(suspect, crash => nowMs - crash.atMs > evidenceLifetimeMs);
            // Reinserting the suspect makes it the last one to be evicted.
            suspects.delete(suspectHash);
            suspects.set(suspectHash, suspect);
            suspect.crashes.set(runHash, { atMs, learnedMs: nowMs, runMs });
            suspectsByRun.set(runHash, (suspectsByRun.get(runHash) ?? new Set()).add(suspectHash));
            const oldest = suspects.values().next().value;
            if (suspects.size > maxSuspects && oldest) {
                dropMarks(oldest, () => true);
            }
        },
        recordResponse(hashes, atMs) {
            return hashes.filter(hash => {
                recordResponseTime(hash, atMs);
                singleCrashSuffices.delete(hash);
                return dropContradictedMarks(hash, atMs);
            });
        },
        countResponse(atMs) {
            recentResponsesMs = [...recentResponsesMs, atMs].slice(-minResponsesToConfirm);
        },
        lastResponseMs,
        hasRecentMarks: nowMs => nowMs - lastMarkMs <= evidenceLifetimeMs,
        findNextToQuarantine(nowMs, isQuarantined) {
            const quarantined = [...suspects.values()].filter(({ hash }) => isQuarantined(hash));
            const found = [...suspects.values()]
                .filter(({ hash, crashes: own }) =>
                    !isQuarantined(hash) && (own.size >= minCrashes || singleCrashSuffices.has(hash))
                )
                .map(suspect => assess(suspect, quarantined, nowMs))
                .filter(evidence => isEvidenceSufficient(evidence, nowMs))
                .sort((left, right) =>
                    right.unexplained - left.unexplained || totalRunMs(left.counted) - totalRunMs(right.counted)
                    || right.suspect.depth - left.suspect.depth
                )[0];
            return found && {
                suspectHash: found.suspect.hash,
                crashes: found.counted.length,
                begunCrashes: begunCrashes(found.counted).length,
                runMs: totalRunMs(found.counted),
                firstCrashAgeMs: nowMs - Math.min(...timesMs(found.counted)),
                share: found.share,
                isConfirmed: isConfirmed(found.counted),
            };
        },
        remainingSettleMs(suspectHash, nowMs) {
            const own = [...suspects.get(suspectHash)?.crashes ?? []];
            if (
                own.length < crashesToWait + additionalCrashes(own) || lastResponseMs(suspectHash, nowMs) !== undefined
            ) {
                return 0;
            }
            const lastLearnedMs = Math.max(...own.map(([, { learnedMs }]) => learnedMs));
            return Math.max(0, lastLearnedMs + settleMs - nowMs);
        },
        isEvidenceSufficientDespiteResponses(suspectHash, nowMs) {
            const suspect = suspects.get(suspectHash);
            return suspect !== undefined && isConfirmed(countedCrashes(suspect, nowMs));
        },
        requireSingleCrash(suspectHash) {
            singleCrashSuffices.add(suspectHash);
            core.evictOldest(singleCrashSuffices, maxSuspects);
            const suspect = suspects.get(suspectHash);
            if (suspect) {
                dropMarks(suspect, () => true);
            }
        },
    };
}

function isSettled({ learnedMs }: Crash, nowMs: number): boolean {
    return nowMs - learnedMs >= settleMs;
}

function begunCrashes(counted: readonly [number, MarkedCrash][]): readonly [number, MarkedCrash][] {
    return counted.filter(([, { runMs }]) => runMs !== undefined);
}

function additionalCrashes(counted: readonly [number, MarkedCrash][]): number {
    if (begunCrashes(counted).length === 0) {
        return 0;
    }
    return totalRunMs(counted) < longRunMs ? additionalBegunCrashes : additionalLongCrashes;
}

function totalRunMs(counted: readonly [number, MarkedCrash][]): number {
    return counted.reduce((sum, [, { runMs }]) => sum + (runMs ?? 0), 0);
}

/** A response that had not begun, or began later, was more likely to cause the crash. */
function shorterRunMs(left: number | undefined, right: number | undefined): number | undefined {
    return left === undefined || right === undefined ? undefined : Math.min(left, right);
}

/**
 * Whether upstreams crash much more often while responses to a suspect run there than all of them together do otherwise.
 * Responses to sound requests are broken by the crashes of one upstream only.
 */
function crashesFasterThanOthers({ counted, othersPerMs }: Evidence): boolean {
    return counted.length > minRateRatio * othersPerMs * totalRunMs(counted);
}

function timesMs(crashes: readonly [number, Crash][]): readonly number[] {
    return crashes.map(([, { atMs }]) => atMs);
}

function spanMs(crashes: readonly [number, Crash][]): number {
    return Math.max(...timesMs(crashes)) - Math.min(...timesMs(crashes));
}
