import * as core from "@peridotloft/core";
import type * as fleets from "@peridotloft/fleet";

/** Requests and parts of prompts that are not sent to upstreams, since they crash them. */
export interface Quarantine {
    isEmpty(): boolean;
    has(suspectHash: number): boolean;
    /** Undefined if the suspect is not quarantined. */
    get(suspectHash: number): fleets.QuarantineMark | undefined;
    /** Quarantines a suspect. Each quarantine lasts twice as long as the one before. */
    add(suspectHash: number, isConfirmed: boolean, nowMs: number): fleets.QuarantineMark;
    /** Adopts the quarantine of another VM; returns whether it is news. */
    adopt(mark: fleets.QuarantineMark, nowMs: number): boolean;
    release(suspectHash: number): void;
    /** Removes the quarantines that have expired and returns their suspects. */
    removeExpired(nowMs: number): readonly number[];
    /** The most recent quarantines, for other VMs. */
    marks(): readonly fleets.QuarantineMark[];
}

/** Duration in ms of the first quarantine, and the maximum. */
const firstDurationMs = 60_000;
const maxDurationMs = 3_600_000;
/** Maximum number of quarantines; beyond it the oldest is removed. */
const maxQuarantines = 200;
/** Maximum number of quarantines that an announcement carries. */
const maxMarks = 16;

export function createQuarantine(): Quarantine {
    const quarantines = new Map<number, fleets.QuarantineMark>();
    const counts = new Map<number, number>();

    const durationMs = ({ count }: fleets.QuarantineMark): number =>
        Math.min(maxDurationMs, firstDurationMs * 2 ** (count - 1));
    const isExpired = (mark: fleets.QuarantineMark, nowMs: number): boolean => nowMs - mark.atMs > durationMs(mark);

    function set(mark: fleets.QuarantineMark): void {
        counts.delete(mark.suspectHash);
        counts.set(mark.suspectHash, mark.count);
        quarantines.delete(mark.suspectHash);
        quarantines.set(mark.suspectHash, mark);
        core.evictOldest(quarantines, maxQuarantines);
        core.evictOldest(counts, maxQuarantines);
    }

    return {
        isEmpty: () => quarantines.size === 0,
        has: suspectHash => quarantines.has(suspectHash),
        get: suspectHash => quarantines.get(suspectHash),
        add(suspectHash, isConfirmed, nowMs) {
            const mark = { suspectHash, atMs: nowMs, count: (counts.get(suspectHash) ?? 0) + 1, isConfirmed };
            set(mark);
            return mark;
        },
        adopt(mark, nowMs) {
            const known = quarantines.get(mark.suspectHash);
            const isNews = mark.count > (known?.count ?? 0) || (mark.isConfirmed && known?.isConfirmed === false);
            if (isExpired(mark, nowMs) || !isNews) {
                return false;
            }
            set(mark);
            return known === undefined;
        },
        release(suspectHash) {
            quarantines.delete(suspectHash);
            counts.delete(suspectHash);
        },
        removeExpired(nowMs) {
            const expired = [...quarantines.values()].filter(mark => isExpired(mark, nowMs));
            expired.forEach(({ suspectHash }) => quarantines.delete(suspectHash));
            return expired.map(({ suspectHash }) => suspectHash);
        },
        marks: () => [...quarantines.values()].slice(-maxMarks),
    };
}
