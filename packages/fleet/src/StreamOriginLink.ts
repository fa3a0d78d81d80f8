import * as core from "@peridotloft/core";
import type { Datagram } from "./Datagram.js";
import type {
    StreamOriginAnswer,
    StreamOriginHolder,
    StreamOriginQuestion,
    StreamOriginRecord,
} from "./StreamOriginMessages.js";

export interface StreamOriginLinkOptions {
    readonly address: string;
    readonly clock: core.Clock;
    /** IPv4 addresses of the other VMs that are alive. */
    readonly alivePeers: () => readonly string[];
    readonly send: (datagram: Datagram, address: string) => void;
}

/**
 * Records the origins of streams at other VMs, and asks them. The holders of a stream are found by rendezvous hashing, so any VM
 * finds them when a caller resumes the stream there.
 */
export interface StreamOriginLink {
    announce(records: readonly StreamOriginRecord[]): void;
    /** Resolves with the first answer that has a record, or else with all answers that arrive in time. */
    ask(question: StreamOriginQuestion): Promise<readonly StreamOriginAnswer[]>;
    registerHolder(holder: StreamOriginHolder): () => void;
    handleRecords(records: readonly StreamOriginRecord[]): void;
    handleQuestion(number: number, question: StreamOriginQuestion, from: string): void;
    handleAnswer(number: number, answer: StreamOriginAnswer, from: string): void;
    dispose(): void;
}

/** Number of VMs that hold the origin of a stream; two, so that it is known after one of them has ended. */
const holdersPerStream = 2;
/** Number of VMs that are asked; one more, since VMs may disagree on which ones are alive. */
const holdersAsked = 3;
/** Interval in ms at which a question without an answer is repeated; the round trip takes about 2 ms. */
const repeatIntervalMs = 50;
/** Number of times that a question is sent. */
const maxSends = 3;
/** Maximum number of records in a datagram, which then has about 1,000 bytes. */
const maxRecords = 80;
/** Maximum number of pools in a question that are considered. */
const maxPools = 16;
/** Time in ms for which the VMs that are alive are cached. */
const candidatesRefreshMs = 500;

interface Candidate {
    readonly address: string;
    readonly hash: number;
}

interface PendingQuestion {
    readonly peer: string;
    settle(answer: StreamOriginAnswer | undefined): void;
}

export function createStreamOriginLink(options: StreamOriginLinkOptions): StreamOriginLink {
    const { address, clock } = options;
    const pending = new Map<number, PendingQuestion>();
    let lastNumber = 0;
    let holder: StreamOriginHolder | undefined;
    let candidates: readonly Candidate[] = [];
    let candidatesUpdatedMs = Number.NEGATIVE_INFINITY;

    function aliveCandidates(): readonly Candidate[] {
        if (clock.nowMs() - candidatesUpdatedMs >= candidatesRefreshMs) {
            candidatesUpdatedMs = clock.nowMs();
            candidates = [address, ...options.alivePeers()]
                .map(candidate => ({ address: candidate, hash: core.hash32(candidate) }));
        }
        return candidates;
    }

    /** The VMs with the highest rank for a stream, without this one. */
    function otherHolders(streamKey: bigint, count: number): readonly string[] {
        const streamHash = Number(BigInt.asUintN(32, streamKey));
        const best: { readonly address: string; readonly score: number; }[] = [];
        for (const candidate of aliveCandidates()) {
            const score = core.mixHashes(candidate.hash, streamHash);
            if (best.length < count || score > (best.at(-1)?.score ?? 0)) {
                const index = best.findIndex(entry => entry.score < score);
                best.splice(index < 0 ? best.length : index, 0, { address: candidate.address, score });
                best.splice(count);
            }
        }
        return best.flatMap(entry => entry.address === address ? [] : [entry.address]);
    }

    function askOne(question: StreamOriginQuestion, peer: string): Promise<StreamOriginAnswer | undefined> {
        lastNumber = (lastNumber + 1) >>> 0;
        const number = lastNumber;
        return new Promise(resolve => {
            let cancelTimer: () => void = () => undefined;
            const settle = (answer: StreamOriginAnswer | undefined): void => {
                cancelTimer();
                pending.delete(number);
                resolve(answer);
            };
            const send = (sends: number): void => {
                options.send({ kind: "stream-origin-question", number, question }, peer);
                cancelTimer = clock.setTimer(
                    repeatIntervalMs,
                    () => sends < maxSends ? send(sends + 1) : settleAfterPoll(),
                );
            };
            // After a long turn of the event loop, timers run before the sockets on which answers have arrived are read.
            const settleAfterPoll = (): void => {
                cancelTimer = clock.setTimer(1, () => settle(undefined));
            };
            pending.set(number, { peer, settle });
            send(1);
        });
    }

    return {
        announce(records) {
            const byPeer = new Map<string, StreamOriginRecord[]>();
            records.forEach(record =>
                otherHolders(record.streamKey, holdersPerStream).forEach(peer => {
                    const list = byPeer.get(peer) ?? [];
                    list.push(record);
                    byPeer.set(peer, list);
                })
            );
            byPeer.forEach((list, peer) => {
                for (let start = 0; start < list.length; start += maxRecords) {
                    options.send({ kind: "stream-origins", records: list.slice(start, start + maxRecords) }, peer);
                }
            });
        },
        ask(question) {
            const questions = otherHolders(question.streamKey, holdersAsked).map(peer => askOne(question, peer));
            return new Promise(resolve => {
                questions.forEach(answered =>
                    void answered.then(answer => answer?.recorded !== undefined && resolve([answer]))
                );
                void Promise.all(questions).then(answers => resolve(answers.flatMap(answer => answer ?? [])));
            });
        },
        registerHolder(registered) {
            holder = registered;
            return () => void (holder = undefined);
        },
        handleRecords: records => holder?.record(records),
        handleQuestion(number, question, from) {
            if (holder) {
                const poolHashes = question.poolHashes.slice(0, maxPools);
                const answer = holder.answer({ ...question, poolHashes });
                options.send({ kind: "stream-origin-answer", number, answer }, from);
            }
        },
        handleAnswer(number, answer, from) {
            const question = pending.get(number);
            if (question?.peer === from) {
                question.settle(answer);
            }
        },
        dispose: () => pending.forEach(({ settle }) => settle(undefined)),
    };
}
