import { createLimitState, type LimitState } from "./LimitState.js";

/** What an upstream states about itself in a response. */
export interface ResponseStatements {
    /** Whether it leaves, so that it must receive no new requests. */
    readonly isLeaving: boolean;
    /** Time in ms for which it wants no requests from this VM; undefined if it states none. */
    readonly pauseMs: number | undefined;
    /** Time in ms for which it remains cold; undefined if it states none. */
    readonly coldMs: number | undefined;
    /** Requests per second that it accepts from all VMs together; undefined if it states no limit. */
    readonly limitPerS: number | undefined;
    /** Names of the headers whose values are invalid and were ignored. */
    readonly invalid: readonly string[];
}

/** Statements of a response without any. */
export const noStatements: ResponseStatements = {
    isLeaving: false,
    pauseMs: undefined,
    coldMs: undefined,
    limitPerS: undefined,
    invalid: [],
};

/** Why an upstream may receive no requests from this VM. */
export interface Unavailability {
    readonly reason: "leaving" | "paused";
    /** Time in ms from which it may receive requests again; infinite if its current run never may. */
    readonly untilMs: number;
}

/** A change of what this VM believes of an upstream. */
export interface StatementChange {
    readonly statement: "leaving" | "pause" | "cold";
    readonly untilMs: number;
}

/**
 * What one run of an upstream has stated in its responses to this VM. Another run under the same id, or another upstream at the
 * same address, is not bound by it.
 */
export interface UpstreamStatements {
    /** The limit on the requests of all VMs; its permits are this VM's share, for the time in which its tracker does not reply. */
    readonly limit: LimitState;
    /** Adopts the statements of a response, except its limit; returns what has changed. */
    adopt(statements: ResponseStatements, nowMs: number): readonly StatementChange[];
    /** Whether this VM may send a request to the upstream now, and otherwise why not; undefined if it may. */
    unavailability(nowMs: number): Unavailability | undefined;
    /** Time in ms until which the upstream is cold according to its last statement; undefined if it has made none. */
    coldUntilMs(): number | undefined;
}

/** A statement that moves the end of a pause or of a cold time by less than this many ms is no change. */
const minChangeMs = 50;

/** @param limitShare share of a stated limit that this VM permits itself. */
export function createUpstreamStatements(limitShare: () => number): UpstreamStatements {
    let isLeaving = false;
    let pausedUntilMs = Number.NEGATIVE_INFINITY;
    let coldUntilMs: number | undefined;

    function adoptLeaving(): readonly StatementChange[] {
        const isNew = !isLeaving;
        isLeaving = true;
        return isNew ? [{ statement: "leaving", untilMs: Number.POSITIVE_INFINITY }] : [];
    }

    // Responses to requests that were sent together arrive in any order, so a pause is never shortened.
    function adoptPause(untilMs: number): readonly StatementChange[] {
        const isNew = untilMs >= pausedUntilMs + minChangeMs;
        pausedUntilMs = Math.max(pausedUntilMs, untilMs);
        return isNew ? [{ statement: "pause", untilMs }] : [];
    }

    function adoptCold(untilMs: number): readonly StatementChange[] {
        const isNew = Math.abs(untilMs - (coldUntilMs ?? Number.NEGATIVE_INFINITY)) >= minChangeMs;
        coldUntilMs = untilMs;
        return isNew ? [{ statement: "cold", untilMs }] : [];
    }

    return {
        limit: createLimitState(limitShare),
        adopt: ({ isLeaving: leaves, pauseMs, coldMs }, nowMs) => [
            ...(leaves ? adoptLeaving() : []),
            ...(pauseMs === undefined ? [] : adoptPause(nowMs + pauseMs)),
            ...(coldMs === undefined ? [] : adoptCold(nowMs + coldMs)),
        ],
        unavailability(nowMs) {
            if (isLeaving) {
                return { reason: "leaving", untilMs: Number.POSITIVE_INFINITY };
            }
            return pausedUntilMs > nowMs ? { reason: "paused", untilMs: pausedUntilMs } : undefined;
        },
        coldUntilMs: () => coldUntilMs,
    };
}
