import type * as messages from "./gen/announcement_pb.js";
import { createRepeatedSends } from "./RepeatedSends.js";
import { toUint32 } from "./Uint32.js";

/** A request, or a part of a prompt, that was in flight when the connections to an upstream broke. */
export interface CrashMark {
    /** Hash of the request or part. */
    readonly suspectHash: number;
    /** Hash of the run of the upstream. */
    readonly runHash: number;
    /** Greater for more specific suspects: a request is more specific than its parts, a later part than an earlier one. */
    readonly depth: number;
    /** Time in ms of the crash. */
    readonly atMs: number;
    /** Time in ms since the response began; undefined if it had not begun. */
    readonly runMs: number | undefined;
}

/** A complete response to a request, or the first event of one to a part of its prompt or of a run of an upstream. */
export interface ResponseMark {
    readonly hash: number;
    /** Time in ms of the response. */
    readonly atMs: number;
}

/** A request or part of a prompt that is quarantined. */
export interface QuarantineMark {
    readonly suspectHash: number;
    /** Time in ms at which the quarantine began. */
    readonly atMs: number;
    /** How often it was quarantined, at least 1. */
    readonly count: number;
    /** Whether the evidence also suffices for a suspect that had responses before. */
    readonly isConfirmed: boolean;
}

/** Evidence on which requests, or parts of prompts, crash upstreams. */
export interface CrashEvidence {
    readonly crashes: readonly CrashMark[];
    readonly responses: readonly ResponseMark[];
    readonly quarantines: readonly QuarantineMark[];
}

/** Handles the evidence of other VMs. */
export interface CrashEvidenceHandler {
    onCrash(mark: CrashMark): void;
    onResponse(mark: ResponseMark): void;
    onQuarantine(mark: QuarantineMark): void;
    /** The quarantines that every announcement carries, so that VMs that start without state learn them. */
    quarantines(): readonly QuarantineMark[];
}

/** Maximum number of marks of each kind in a datagram, and of queued ones. A crash yields some marks per request in flight. */
const maxMarksPerDatagram = 40;
/** Maximum number of crash marks in a datagram for responses that had begun. A crash breaks many more of these. */
const maxBegunMarksPerDatagram = 20;
const maxPendingMarks = 400;
/** Number of times that each peer is sent a mark, since datagrams may be lost. */
const sendsPerPeer = 4;

/** Queues the evidence of this VM for its announcements and passes on the evidence of other VMs. */
export interface CrashEvidenceExchange {
    announceCrash(mark: CrashMark): void;
    announceResponse(mark: ResponseMark): void;
    /** Announces a new quarantine without delay. */
    announceQuarantine(mark: QuarantineMark): void;
    registerHandler(handler: CrashEvidenceHandler): () => void;
    /** Whether marks are queued. */
    hasPending(): boolean;
    /** The evidence for the next announcement. */
    next(): CrashEvidence;
    /** Records that the evidence returned by `next` was sent to a share of the peers, above 0 and at most 1. */
    recordSent(share: number): void;
    receive(evidence: CrashEvidence): void;
}

export function createCrashEvidenceExchange(): CrashEvidenceExchange {
    const limits = { maxPending: maxPendingMarks, maxPerSend: maxMarksPerDatagram, sendsPerPeer };
    const keyOfCrash = ({ suspectHash, runHash }: CrashMark): string => `${suspectHash} ${runHash}`;
    const crashes = createRepeatedSends<CrashMark>({ ...limits, keyOf: keyOfCrash });
    // Kept apart, so that they do not delay the others.
    const begunCrashes = createRepeatedSends<CrashMark>({
        ...limits,
        maxPerSend: maxBegunMarksPerDatagram,
        keyOf: keyOfCrash,
    });
    const responses = createRepeatedSends<ResponseMark>({ ...limits, keyOf: ({ hash }) => String(hash) });
    const quarantines = createRepeatedSends<QuarantineMark>({
        ...limits,
        keyOf: ({ suspectHash }) => String(suspectHash),
    });
    const queues = [crashes, begunCrashes, responses, quarantines];
    let registered: CrashEvidenceHandler | undefined;

    function nextQuarantines(): readonly QuarantineMark[] {
        const pending = quarantines.next();
        const pendingHashes = new Set(pending.map(({ suspectHash }) => suspectHash));
        const others = registered?.quarantines() ?? [];
        return [...pending, ...others.filter(({ suspectHash }) => !pendingHashes.has(suspectHash))];
    }

    return {
        announceCrash: mark => (mark.runMs === undefined ? crashes : begunCrashes).add(mark),
        announceResponse: responses.add,
        announceQuarantine: quarantines.add,
        registerHandler(handler) {
            registered = handler;
            return () => void (registered = undefined);
        },
        hasPending: () => queues.some(queue => queue.hasPending()),
        next: () => ({
            crashes: [...crashes.next(), ...begunCrashes.next()],
            responses: responses.next(),
            quarantines: nextQuarantines(),
        }),
        recordSent(share) {
            queues.forEach(queue => queue.recordSent(share));
        },
        receive(evidence) {
            // Responses come first, since they contradict marks of the same datagram.
            evidence.responses.forEach(mark => registered?.onResponse(mark));
            evidence.crashes.forEach(mark => registered?.onCrash(mark));
            evidence.quarantines.forEach(mark => registered?.onQuarantine(mark));
        },
    };
}

/** Converts evidence to its message, which states ages because the clocks of VMs differ; undefined if there is none. */
export function toCrashEvidenceMessage({ crashes, responses, quarantines }: CrashEvidence, nowMs: number) {
    if (crashes.length + responses.length + quarantines.length === 0) {
        return undefined;
    }
    const ageMs = ({ atMs }: { readonly atMs: number; }): number => toUint32(nowMs - atMs);
    const unbegun = crashes.filter(({ runMs }) => runMs === undefined);
    const begun = crashes.filter(({ runMs }) => runMs !== undefined);
    return {
        crashSuspects: unbegun.map(({ suspectHash }) => suspectHash),
        crashRuns: unbegun.map(({ runHash }) => runHash),
        crashAgesMs: unbegun.map(ageMs),
        crashDepths: unbegun.map(({ depth }) => depth),
        begunCrashSuspects: begun.map(({ suspectHash }) => suspectHash),
        begunCrashRuns: begun.map(({ runHash }) => runHash),
        begunCrashAgesMs: begun.map(ageMs),
        begunCrashDepths: begun.map(({ depth }) => depth),
        begunCrashRunMs: begun.map(({ runMs }) => toUint32(runMs ?? 0)),
        responseHashes: responses.map(({ hash }) => hash),
        responseAgesMs: responses.map(ageMs),
        quarantinedSuspects: quarantines.map(({ suspectHash }) => suspectHash),
        quarantineAgesMs: quarantines.map(ageMs),
        quarantineCounts: quarantines.map(({ count }) => count),
        quarantineConfirmations: quarantines.map(({ isConfirmed }) => isConfirmed),
    };
}

/** Converts a message to evidence. Entries that are not in all lists are omitted. */
export function fromCrashEvidenceMessage(message: messages.CrashEvidence | undefined, nowMs: number): CrashEvidence {
    if (!message) {
        return { crashes: [], responses: [], quarantines: [] };
    }
    const { responseHashes, responseAgesMs } = message;
    const { quarantinedSuspects, quarantineAgesMs, quarantineCounts, quarantineConfirmations } = message;
    return {
        crashes: [
            ...readCrashMarks({
                suspects: message.crashSuspects,
                runs: message.crashRuns,
                agesMs: message.crashAgesMs,
                depths: message.crashDepths,
                runMs: undefined,
            }, nowMs),
            ...readCrashMarks({
                suspects: message.begunCrashSuspects,
                runs: message.begunCrashRuns,
                agesMs: message.begunCrashAgesMs,
                depths: message.begunCrashDepths,
                runMs: message.begunCrashRunMs,
            }, nowMs),
        ],
        responses: responseHashes.flatMap((hash, index) => {
            const ageMs = responseAgesMs[index];
            return ageMs === undefined ? [] : [{ hash, atMs: nowMs - ageMs }];
        }),
        quarantines: quarantinedSuspects.flatMap((suspectHash, index) => {
            const ageMs = quarantineAgesMs[index];
            const count = quarantineCounts[index];
            const isConfirmed = quarantineConfirmations[index];
            return ageMs === undefined || !count || isConfirmed === undefined
                ? []
                : [{ suspectHash, atMs: nowMs - ageMs, count, isConfirmed }];
        }),
    };
}

/** The lists of a message that state its crash marks. */
interface CrashMarkLists {
    readonly suspects: readonly number[];
    readonly runs: readonly number[];
    readonly agesMs: readonly number[];
    readonly depths: readonly number[];
    /** Undefined for marks of requests whose response had not begun. */
    readonly runMs: readonly number[] | undefined;
}

function readCrashMarks(lists: CrashMarkLists, nowMs: number): readonly CrashMark[] {
    return lists.suspects.flatMap((suspectHash, index) => {
        const runHash = lists.runs[index];
        const ageMs = lists.agesMs[index];
        const depth = lists.depths[index];
        const runMs = lists.runMs?.[index];
        const isIncomplete = runHash === undefined || ageMs === undefined || depth === undefined
            || (lists.runMs !== undefined && runMs === undefined);
        return isIncomplete ? [] : [{ suspectHash, runHash, depth, atMs: nowMs - ageMs, runMs }];
    });
}
