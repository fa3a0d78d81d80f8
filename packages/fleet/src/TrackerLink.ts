import * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";
import type { Datagram } from "./Datagram.js";
import type {
    AttemptReport,
    LimitReport,
    Tracker,
    TrackerAnswer,
    TrackerQuestion,
    TrackerReply,
} from "./TrackerMessages.js";

export interface TrackerLinkOptions {
    readonly address: string;
    readonly clock: core.Clock;
    readonly log: telemetry.EventLog;
    readonly metrics: telemetry.Metrics;
    /** IPv4 addresses of the other VMs that are alive. */
    readonly alivePeers: () => readonly string[];
    readonly send: (datagram: Datagram, address: string) => void;
}

/**
 * Exchanges questions, answers and reports with the trackers of upstreams. In a large fleet a VM cannot inform all
 * others of each request that it dispatches. Instead, one VM tracks all requests at an upstream, and the cost of a
 * request does not grow with the fleet. VMs choose the tracker by rendezvous hashing. While they disagree on the
 * membership, an upstream can have two trackers, each of which records only a part of its load.
 */
export interface TrackerLink {
    /** @param onLateAnswer called with an answer that arrives after the timeout, for which this resolves to undefined. */
    ask(
        question: TrackerQuestion,
        onLateAnswer?: (answer: TrackerReply) => void,
    ): Promise<TrackerReply | undefined>;
    /** @param admittedBy IPv4 address of the VM that issued the ticket; undefined if there is none. */
    report(report: AttemptReport, admittedBy: string | undefined): void;
    reportLimit(report: LimitReport): void;
    registerTracker(tracker: Tracker): () => void;
    handleQuestion(number: number, question: TrackerQuestion, from: string): void;
    handleAnswer(number: number, answer: TrackerAnswer): void;
    handleReport(report: AttemptReport): void;
    handleLimitReport(report: LimitReport): void;
    /** Records that a datagram from a peer has arrived. */
    recordDatagramFrom(peer: string): void;
    dispose(): void;
}

/** Timeout in ms of a question; the round trip takes about 2 ms, and a busy VM adds some tens of ms. */
const answerTimeoutMs = 40;
/**
 * Time in ms for which a VM is not chosen as a tracker after a question without an answer, unless a datagram from it
 * arrives earlier. It doubles with each further timeout: the first one may be a lost datagram, and meanwhile the upstream
 * has a second tracker for this VM.
 */
const minRetryDelayMs = 250;
const maxRetryDelayMs = 10_000;
/** Time in ms after the end of such a delay until the timeout is forgotten. */
const timeoutMemoryMs = 30_000;
/** Time in ms after the timeout for which an answer is still waited for; trackers forget the admission after 3 s. */
const lateAnswerMs = 3_000;
/** Time in ms for which the choice of trackers is cached before it is recomputed from the live VMs. */
const candidatesRefreshMs = 500;

export function createTrackerLink(options: TrackerLinkOptions): TrackerLink {
    const { address, clock, log, metrics } = options;
    const pendingQuestions = new Map<number, (answer: TrackerAnswer | undefined) => void>();
    const lateQuestions = new Map<number, (answer: TrackerAnswer) => void>();
    const timeouts = new Map<string, { readonly untilMs: number; readonly delayMs: number; }>();
    const trackerByUpstream = new Map<number, string>();
    let aliveAddresses: ReadonlySet<string> = new Set();
    let candidates: readonly { readonly address: string; readonly hash: number; }[] = [];
    let candidatesUpdatedMs = Number.NEGATIVE_INFINITY;
    let lastNumber = 0;
    let tracker: Tracker | undefined;

    function trackerOf(upstreamHash: number): string {
        const nowMs = clock.nowMs();
        if (nowMs - candidatesUpdatedMs >= candidatesRefreshMs) {
            candidatesUpdatedMs = nowMs;
            trackerByUpstream.clear();
            timeouts.forEach(({ untilMs }, peer) => nowMs - untilMs > timeoutMemoryMs && timeouts.delete(peer));
            aliveAddresses = new Set([address, ...options.alivePeers()]);
            candidates = [...aliveAddresses].filter(peer => !isSkipped(peer, nowMs))
                .map(candidate => ({ address: candidate, hash: core.hash32(candidate) }));
        }
        const cached = trackerByUpstream.get(upstreamHash);
        if (cached !== undefined) {
            return cached;
        }
        const highest = candidates.reduce(
            (highestSoFar, candidate) => {
                const score = core.mixHashes(candidate.hash, upstreamHash);
                return score > highestSoFar.score ? { address: candidate.address, score } : highestSoFar;
            },
            { address, score: -1 },
        );
        trackerByUpstream.set(upstreamHash, highest.address);
        return highest.address;
    }

    const isSkipped = (peer: string, nowMs: number): boolean =>
        (timeouts.get(peer)?.untilMs ?? Number.NEGATIVE_INFINITY) > nowMs;

    function recordTimeout(peer: string): void {
        const nowMs = clock.nowMs();
        metrics.count("trackerQuestions", { outcome: "silent" });
        // Questions that were sent together time out together.
        if (isSkipped(peer, nowMs)) {
            return;
        }
        const previous = timeouts.get(peer);
        const delayMs = previous ? Math.min(maxRetryDelayMs, 2 * previous.delayMs) : minRetryDelayMs;
        timeouts.set(peer, { untilMs: nowMs + delayMs, delayMs });
        candidatesUpdatedMs = Number.NEGATIVE_INFINITY;
        log.state("tracker-silent", { peer, waitedMs: answerTimeoutMs, skippedMs: delayMs });
    }

    return {
        ask(question, onLateAnswer) {
            const peer = trackerOf(question.upstreamHash);
            if (peer === address) {
                metrics.count("trackerQuestions", { outcome: "own" });
                return Promise.resolve(tracker && { ...tracker.answer(question), tracker: address });
            }
            lastNumber = (lastNumber + 1) >>> 0;
            const number = lastNumber;
            return new Promise(resolve => {
                const cancelTimer = clock.setTimer(answerTimeoutMs, () => {
                    recordTimeout(peer);
                    settle(undefined);
                    if (onLateAnswer) {
                        lateQuestions.set(number, answer => onLateAnswer({ ...answer, tracker: peer }));
                        clock.setTimer(lateAnswerMs, () => void lateQuestions.delete(number));
                    }
                });
                const settle = (answer: TrackerAnswer | undefined): void => {
                    cancelTimer();
                    pendingQuestions.delete(number);
                    resolve(answer && { ...answer, tracker: peer });
                };
                pendingQuestions.set(number, settle);
                options.send({ kind: "question", number, question }, peer);
            });
        },
        report(report, admittedBy) {
            const usual = trackerOf(report.upstreamHash);
            const isIssuerAlive = admittedBy !== undefined && aliveAddresses.has(admittedBy);
            const peer = isIssuerAlive ? admittedBy : usual;
            // A ticket means nothing to another VM than the one that issued it.
            const sent = isIssuerAlive ? report : { ...report, ticket: 0 };
            if (peer === address) {
                tracker?.recordReport(sent);
                return;
            }
            options.send({ kind: "report", report: sent }, peer);
        },
        reportLimit(report) {
            const peer = trackerOf(report.upstreamHash);
            if (peer === address) {
                tracker?.recordLimit(report);
                return;
            }
            options.send({ kind: "limit-report", report }, peer);
        },
        registerTracker(registered) {
            tracker = registered;
            return () => void (tracker = undefined);
        },
        handleQuestion(number, question, from) {
            if (tracker) {
                options.send({ kind: "answer", number, answer: tracker.answer(question) }, from);
            }
        },
        handleAnswer(number, answer) {
            const settle = pendingQuestions.get(number);
            if (settle) {
                metrics.count("trackerQuestions", { outcome: answer.granted ? "granted" : "refused" });
                settle(answer);
                return;
            }
            lateQuestions.get(number)?.(answer);
            lateQuestions.delete(number);
        },
        recordDatagramFrom(peer) {
            if (timeouts.delete(peer)) {
                candidatesUpdatedMs = Number.NEGATIVE_INFINITY;
            }
        },
        handleReport: report => tracker?.recordReport(report),
        handleLimitReport: report => tracker?.recordLimit(report),
        dispose: () => pendingQuestions.forEach(settle => settle(undefined)),
    };
}
