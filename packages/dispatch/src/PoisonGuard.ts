import type * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";
import type * as fleets from "@peridotloft/fleet";
import type * as telemetry from "@peridotloft/telemetry";
import { createCrashSuspects } from "./CrashSuspects.js";
import type { FleetView } from "./FleetView.js";
import { type DispatchRefusal, type Job, sharedPartsOf } from "./Job.js";
import { createQuarantine } from "./Quarantine.js";

export interface PoisonGuardOptions {
    readonly clock: core.Clock;
    readonly fleet: FleetView;
    readonly log: telemetry.EventLog;
    readonly metrics: telemetry.Metrics;
}

/**
 * Quarantines requests, and parts of prompts, that crash the upstreams that respond to them. They are recognized by the
 * crashes at which they were in flight, anywhere in the fleet. The first event of a response clears the parts of its prompt,
 * which the upstream has read by then; only the complete response clears the request.
 */
export interface PoisonGuard {
    /**
     * Records that the connection of an attempt broke before the response was complete.
     *
     * @param runMs time in ms since the response began; undefined if it had not begun.
     */
    recordCrash(job: Job, upstream: catalog.KnownUpstream, runMs: number | undefined): void;
    /** Records that a response began. */
    recordBegun(job: Job, upstream: catalog.KnownUpstream): void;
    /** Records a complete response. */
    recordResponse(job: Job, upstream: catalog.KnownUpstream): void;
    /** Decides whether a request may be sent to an upstream; undefined if it may. */
    check(job: Job): DispatchRefusal | undefined;
    dispose(): void;
}

/** Interval in ms at which the evidence is evaluated while requests arrive. */
const evaluationIntervalMs = 100;
/** A suspect with a response within this time in ms before a crash is not announced: other responses soon clear it. */
const popularResponseMs = 1_000;
/** Minimum time in ms between announcements of the last response to a suspect that is marked again and again. */
const responseAnnouncementIntervalMs = 300;

export function createPoisonGuard({ clock, fleet, log, metrics }: PoisonGuardOptions): PoisonGuard {
    const suspects = createCrashSuspects();
    const quarantine = createQuarantine();
    const announcedMs = new Map<number, number>();
    let evaluatedMs = Number.NEGATIVE_INFINITY;

    const removeListener = fleet.registerCrashEvidence({
        onCrash(mark) {
            recordMark(mark);
        },
        onResponse({ hash, atMs }) {
            recordResponseTo([hash], atMs);
        },
        onQuarantine(mark) {
            const { suspectHash, atMs } = mark;
            const lastResponseMs = suspects.lastResponseMs(suspectHash, clock.nowMs());
            if (lastResponseMs !== undefined && isRefuted(mark, lastResponseMs)) {
                announceResponse(suspectHash, lastResponseMs);
                return;
            }
            if (quarantine.adopt(mark, clock.nowMs())) {
                log.state("quarantined", { suspect: suspectHash, isLocal: false, ageMs: ageMs(atMs) });
            }
        },
        quarantines: () => {
            evaluate();
            return quarantine.marks();
        },
    });

    const ageMs = (atMs: number): number => Math.round(clock.nowMs() - atMs);

    function recordMark(mark: fleets.CrashMark): void {
        suspects.recordCrash(mark, clock.nowMs());
        // Other VMs cannot know responses that only this VM has received.
        [mark.suspectHash, mark.runHash].forEach(hash => {
            const lastResponseMs = suspects.lastResponseMs(hash, clock.nowMs());
            if (lastResponseMs !== undefined) {
                announceResponse(hash, lastResponseMs);
            }
        });
    }

    /**
     * Whether a response refutes a quarantine: a later one does, and an earlier one unless the evidence suffices even for a
     * suspect that had responses.
     */
    function isRefuted({ suspectHash, atMs, isConfirmed }: fleets.QuarantineMark, responseMs: number): boolean {
        return responseMs > atMs
            || (!isConfirmed && !suspects.isEvidenceSufficientDespiteResponses(suspectHash, clock.nowMs()));
    }

    function announceResponse(hash: number, atMs: number): void {
        if (clock.nowMs() - (announcedMs.get(hash) ?? Number.NEGATIVE_INFINITY) >= responseAnnouncementIntervalMs) {
            announcedMs.set(hash, clock.nowMs());
            fleet.announceResponse({ hash, atMs });
        }
    }

    /** Returns the hashes that contradict a mark or a quarantine. */
    function recordResponseTo(hashes: readonly number[], atMs: number): readonly number[] {
        const contradicting = suspects.recordResponse(hashes, atMs);
        const released = hashes.filter(hash => {
            const mark = quarantine.get(hash);
            return mark !== undefined && isRefuted(mark, atMs);
        });
        released.forEach(hash => {
            log.state("quarantine-ended", { suspect: hash, reason: "response", responseAgeMs: ageMs(atMs) });
            quarantine.release(hash);
        });
        return [...new Set([...contradicting, ...released])];
    }

    function evaluate(): void {
        const nowMs = clock.nowMs();
        const isIdle = quarantine.isEmpty() && !suspects.hasRecentMarks(nowMs);
        if (isIdle || nowMs - evaluatedMs < evaluationIntervalMs) {
            return;
        }
        evaluatedMs = nowMs;
        announcedMs.forEach((atMs, hash) => nowMs - atMs >= responseAnnouncementIntervalMs && announcedMs.delete(hash));
        quarantine.removeExpired(nowMs).forEach(suspectHash => {
            suspects.requireSingleCrash(suspectHash);
            log.state("quarantine-ended", { suspect: suspectHash, reason: "expired" });
        });
        const find = () => suspects.findNextToQuarantine(nowMs, quarantine.has);
        for (let decision = find(); decision; decision = find()) {
            const { suspectHash, crashes, begunCrashes, runMs, firstCrashAgeMs, share, isConfirmed } = decision;
            fleet.announceQuarantine(quarantine.add(suspectHash, isConfirmed, nowMs));
            metrics.count("quarantines");
            log.state("quarantined", {
                suspect: suspectHash,
                isLocal: true,
                crashes,
                begunCrashes,
                runMs: Math.round(runMs),
                firstCrashAgeMs: Math.round(firstCrashAgeMs),
                share,
                isConfirmed,
            });
        }
    }

    /** Refuses a request for a short time if it was in flight at several crashes that may prove to be none. */
    function waitUntilSettled(job: Job, hashes: readonly number[], nowMs: number): DispatchRefusal | undefined {
        const retryAfterMs = Math.max(...hashes.map(hash => suspects.remainingSettleMs(hash, nowMs)));
        if (retryAfterMs <= 0) {
            return undefined;
        }
        log.failure("suspect-refused", { requestId: job.requestId, retryAfterMs: Math.round(retryAfterMs) });
        return { reason: "suspected", retryAfterMs };
    }

    /** Records a response of this VM and announces what it contradicts. */
    function recordOwnResponse(hashes: readonly number[]): void {
        const atMs = clock.nowMs();
        recordResponseTo(hashes, atMs).forEach(hash => fleet.announceResponse({ hash, atMs }));
    }

    return {
        recordCrash(job, upstream, runMs) {
            const atMs = clock.nowMs();
            const runHash = runHashOf(upstream);
            const parts = partHashesOf(job).map((suspectHash, depth) => ({ suspectHash, depth }));
            const request = { suspectHash: job.fingerprint(), depth: parts.length };
            // Once a response has begun, the upstream has read all parts.
            const marked = runMs === undefined ? [...parts, request] : [request];
            marked.forEach(({ suspectHash, depth }) => {
                const mark = { suspectHash, runHash, depth, atMs, runMs };
                const lastResponseMs = suspects.lastResponseMs(suspectHash, atMs) ?? Number.NEGATIVE_INFINITY;
                if (atMs - lastResponseMs >= popularResponseMs) {
                    fleet.announceCrash(mark);
                }
                recordMark(mark);
            });
            evaluatedMs = Number.NEGATIVE_INFINITY;
            evaluate();
        },
        recordBegun(job, upstream) {
            suspects.countResponse(clock.nowMs());
            recordOwnResponse([...partHashesOf(job), runHashOf(upstream)]);
        },
        recordResponse(job, upstream) {
            const fingerprints = suspects.hasRecentMarks(clock.nowMs()) ? [job.fingerprint()] : [];
            recordOwnResponse([...partHashesOf(job), ...fingerprints, runHashOf(upstream)]);
        },
        check(job) {
            evaluate();
            const nowMs = clock.nowMs();
            if (quarantine.isEmpty() && !suspects.hasRecentMarks(nowMs)) {
                return undefined;
            }
            const hashes = [...partHashesOf(job), job.fingerprint()];
            const suspectHash = hashes.find(quarantine.has);
            if (suspectHash === undefined) {
                return waitUntilSettled(job, hashes, nowMs);
            }
            log.failure("quarantine-refused", {
                requestId: job.requestId,
                suspect: suspectHash,
                quarantineAgeMs: ageMs(quarantine.get(suspectHash)?.atMs ?? clock.nowMs()),
            });
            return { reason: "quarantined", retryAfterMs: undefined };
        },
        dispose: removeListener,
    };
}

function partHashesOf({ prompt }: Job): readonly number[] {
    return sharedPartsOf(prompt).map(({ id }) => core.hash32(id));
}

/** Identifies one run of an upstream: it may start again under the same id. */
function runHashOf({ id, startedWallMs }: catalog.KnownUpstream): number {
    return core.hash32(`${id} ${startedWallMs ?? ""}`);
}
