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
    /** Resolves with the answers that arrive in time. */
    ask(question: StreamOriginQuestion): Promise<readonly StreamOriginAnswer[]>;
    registerHolder(holder: StreamOriginHolder): () => void;
    handleRecords(records: readonly StreamOriginRecord[]): void;
    handleQuestion(number: number, question: StreamOriginQuestion, from: string): void;
    handleAnswer(number: number, answer: StreamOriginAnswer): void;
    dispose(): void;
}

/** Number of VMs that hold the origin of a stream; two, so that it is known after one of them has ended. */
const holdersPerStream = 2;
/** Number of VMs that are asked; one more, since VMs may disagree on which ones are alive. */
const holdersAsked = 3;
/** Time in ms to wait for answers; the round trip takes about 2 ms, and a busy VM adds some tens of ms. */
const answerTimeoutMs = 60;
/** Maximum number of records in a datagram, which then has about 1,000 bytes. */
const maxRecords = 80;

export function createStreamOriginLink(options: StreamOriginLinkOptions): StreamOriginLink {
    const { address, clock } = options;
    const pending = new Map<number, (answer: StreamOriginAnswer | undefined) => void>();
    let lastNumber = 0;
    let holder: StreamOriginHolder | undefined;

    function otherHolders(streamKey: bigint, count: number): readonly string[] {
        const streamHash = Number(BigInt.asUintN(32, streamKey));
        return [address, ...options.alivePeers()]
            .map(candidate => ({ candidate, score: core.mixHashes(core.hash32(candidate), streamHash) }))
            .sort((left, right) => right.score - left.score)
            .slice(0, count)
            .map(({ candidate }) => candidate)
            .filter(candidate => candidate !== address);
    }

    function askOne(question: StreamOriginQuestion, peer: string): Promise<StreamOriginAnswer | undefined> {
        lastNumber = (lastNumber + 1) >>> 0;
        const number = lastNumber;
        return new Promise(resolve => {
            const cancelTimer = clock.setTimer(answerTimeoutMs, () => settle(undefined));
            const settle = (answer: StreamOriginAnswer | undefined): void => {
                cancelTimer();
                pending.delete(number);
                resolve(answer);
            };
            pending.set(number, settle);
            options.send({ kind: "stream-origin-question", number, question }, peer);
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
        async ask(question) {
            const peers = otherHolders(question.streamKey, holdersAsked);
            const answers = await Promise.all(peers.map(peer => askOne(question, peer)));
            return answers.flatMap(answer => answer ?? []);
        },
        registerHolder(registered) {
            holder = registered;
            return () => void (holder = undefined);
        },
        handleRecords: records => holder?.record(records),
        handleQuestion(number, question, from) {
            if (holder) {
                options.send({ kind: "stream-origin-answer", number, answer: holder.answer(question) }, from);
            }
        },
        handleAnswer: (number, answer) => pending.get(number)?.(answer),
        dispose: () => pending.forEach(settle => settle(undefined)),
    };
}
