import * as protobuf from "@bufbuild/protobuf";
import { type Announcement, fromAnnouncementMessage, toAnnouncementMessage } from "./Announcement.js";
import {
    type Datagram as DatagramMessage,
    DatagramSchema,
    type StatedLimit as StatedLimitMessage,
    type TrackerAnswer as TrackerAnswerMessage,
} from "./gen/announcement_pb.js";
import { fromLearnedRateMessage, toLearnedRateMessage } from "./LearnedRateMessage.js";
import type { StreamOriginAnswer, StreamOriginQuestion, StreamOriginRecord } from "./StreamOriginMessages.js";
import type {
    AttemptReport,
    LimitReport,
    StatedLimit,
    StatedQueue,
    TrackerAnswer,
    TrackerQuestion,
} from "./TrackerMessages.js";
import { toUint32 } from "./Uint32.js";
import {
    fromUsageReportMessage,
    fromUsageTableMessage,
    fromUsageTableQuestionMessage,
    toUsageReportMessage,
    toUsageTableMessage,
    toUsageTableQuestionMessage,
    type UsageReport,
    type UsageTable,
    type UsageTableQuestion,
} from "./UsageMessages.js";

/** A datagram between VMs. An answer repeats the number of its question. */
export type Datagram =
    | { readonly kind: "announcement"; readonly announcement: Announcement; }
    | { readonly kind: "question"; readonly number: number; readonly question: TrackerQuestion; }
    | { readonly kind: "answer"; readonly number: number; readonly answer: TrackerAnswer; }
    | { readonly kind: "report"; readonly report: AttemptReport; }
    | { readonly kind: "limit-report"; readonly report: LimitReport; }
    | { readonly kind: "stream-origins"; readonly records: readonly StreamOriginRecord[]; }
    | { readonly kind: "stream-origin-question"; readonly number: number; readonly question: StreamOriginQuestion; }
    | { readonly kind: "stream-origin-answer"; readonly number: number; readonly answer: StreamOriginAnswer; }
    | { readonly kind: "usage-report"; readonly report: UsageReport; }
    | {
        readonly kind: "usage-table";
        readonly table: UsageTable;
        /** Last position, in the order of VMs for this table, to which the receiver passes it on. */
        readonly until: number;
    }
    | { readonly kind: "usage-table-question"; readonly question: UsageTableQuestion; };

/** @param nowMs time in ms, relative to which ages are stated. */
export function encodeDatagram(datagram: Datagram, nowMs: number): Uint8Array {
    return protobuf.toBinary(DatagramSchema, protobuf.create(DatagramSchema, { body: toMessageBody(datagram, nowMs) }));
}

type BodyInit = NonNullable<protobuf.MessageInitShape<typeof DatagramSchema>["body"]>;

function toMessageBody(datagram: Datagram, nowMs: number): BodyInit {
    switch (datagram.kind) {
        case "announcement":
            return { case: "announcement", value: toAnnouncementMessage(datagram.announcement, nowMs) };
        case "question": {
            const { number, question } = datagram;
            return {
                case: "question",
                value: {
                    number,
                    upstream: question.upstreamHash,
                    sharedParts: question.sharedParts.map(({ hash }) => hash),
                    sharedTokens: question.sharedParts.map(({ tokens }) => toUint32(tokens)),
                    ownTokens: toUint32(question.ownTokens),
                    longestWaitMs: toUint32(question.longestWaitMs),
                    maxSlotPercent: toSlotPercent(question.maxSlotShare),
                    runMs: toUint32(question.runMs),
                    away: question.isSpillover,
                    statedLimit: toStatedLimitMessage(question.statedLimit, nowMs),
                    learnedRate: toLearnedRateMessage(question.learnedRate, nowMs),
                },
            };
        }
        case "answer": {
            const { number, answer } = datagram;
            return {
                case: "answer",
                value: {
                    number,
                    granted: answer.granted,
                    ejected: answer.ejected,
                    unreadTokens: toUint32(answer.unreadTokens),
                    newTokens: toUint32(answer.newTokens),
                    running: toUint32(answer.running),
                    slowness: answer.slowness,
                    ticket: answer.ticket,
                    limited: answer.limited,
                    statedLimit: toStatedLimitMessage(answer.statedLimit, nowMs),
                    learnedRate: toLearnedRateMessage(answer.learnedRate, nowMs),
                    queueUpstreams: answer.otherQueues.map(({ upstreamHash }) => upstreamHash),
                    queueWaitsMs: answer.otherQueues.map(({ waitMs }) => toUint32(waitMs)),
                    queueAgesMs: answer.otherQueues.map(({ ageMs }) => toUint32(ageMs)),
                },
            };
        }
        case "report": {
            const { upstreamHash, ticket, withdrawn, failed, unreachable, tookMs, expectedMs, runMs, expectedRunMs } =
                datagram.report;
            return {
                case: "report",
                value: {
                    upstream: upstreamHash,
                    ticket,
                    withdrawn,
                    failed,
                    unreachable,
                    tookMs: toUint32(tookMs),
                    expectedMs: toUint32(expectedMs),
                    runMs: toUint32(runMs),
                    expectedRunMs: toUint32(expectedRunMs),
                },
            };
        }
        case "limit-report": {
            const { upstreamHash, statedLimit } = datagram.report;
            return {
                case: "limitReport",
                value: { upstream: upstreamHash, statedLimit: toStatedLimitMessage(statedLimit, nowMs) },
            };
        }
        case "stream-origins":
            return {
                case: "streamOrigins",
                value: {
                    streams: datagram.records.map(({ streamKey }) => streamKey),
                    origins: datagram.records.map(({ originHash }) => originHash),
                },
            };
        case "stream-origin-question": {
            const { streamKey, poolHashes, ageMs } = datagram.question;
            return {
                case: "streamOriginQuestion",
                value: { number: datagram.number, stream: streamKey, pools: [...poolHashes], ageMs: toUint32(ageMs) },
            };
        }
        case "stream-origin-answer": {
            const { recorded, seen, isComplete } = datagram.answer;
            return {
                case: "streamOriginAnswer",
                value: {
                    number: datagram.number,
                    ...(recorded === undefined ? {} : { recorded }),
                    seen: [...seen],
                    complete: isComplete,
                },
            };
        }
        case "usage-report":
            return { case: "usageReport", value: toUsageReportMessage(datagram.report) };
        case "usage-table":
            return { case: "usageTable", value: toUsageTableMessage(datagram.table, datagram.until, nowMs) };
        case "usage-table-question":
            return { case: "usageTable", value: toUsageTableQuestionMessage(datagram.question) };
    }
}

/** Decodes a datagram; undefined if it is invalid. */
export function decodeDatagram(bytes: Uint8Array, nowMs: number): Datagram | undefined {
    try {
        return fromMessageBody(protobuf.fromBinary(DatagramSchema, bytes).body, nowMs);
    }
    catch {
        // Any process may send bytes to the port; the receiver counts datagrams that it cannot decode.
        return undefined;
    }
}

function fromMessageBody(body: DatagramMessage["body"], nowMs: number): Datagram | undefined {
    switch (body.case) {
        case "announcement": {
            const announcement = fromAnnouncementMessage(body.value, nowMs);
            return announcement && { kind: "announcement", announcement };
        }
        case "question": {
            const {
                number,
                upstream,
                sharedParts,
                sharedTokens,
                ownTokens,
                longestWaitMs,
                maxSlotPercent,
                runMs,
                away,
            } = body.value;
            const statedLimit = fromStatedLimitMessage(body.value.statedLimit, nowMs);
            return {
                kind: "question",
                number,
                question: {
                    upstreamHash: upstream,
                    sharedParts: sharedParts.map((hash, index) => ({ hash, tokens: sharedTokens[index] ?? 0 })),
                    ownTokens,
                    longestWaitMs,
                    maxSlotShare: fromSlotPercent(maxSlotPercent),
                    runMs,
                    isSpillover: away,
                    statedLimit,
                    learnedRate: fromLearnedRateMessage(body.value.learnedRate, nowMs),
                },
            };
        }
        case "answer": {
            const { number, granted, ejected, limited, unreadTokens, newTokens, running, slowness, ticket } =
                body.value;
            const statedLimit = fromStatedLimitMessage(body.value.statedLimit, nowMs);
            return Number.isFinite(slowness) && slowness > 0
                ? {
                    kind: "answer",
                    number,
                    answer: {
                        granted,
                        ejected,
                        limited,
                        unreadTokens,
                        newTokens,
                        running,
                        slowness,
                        ticket,
                        statedLimit,
                        learnedRate: fromLearnedRateMessage(body.value.learnedRate, nowMs),
                        otherQueues: fromQueueLists(body.value),
                    },
                }
                : undefined;
        }
        case "report": {
            const { upstream, ticket, withdrawn, failed, unreachable, tookMs, expectedMs, runMs, expectedRunMs } =
                body.value;
            return {
                kind: "report",
                report: {
                    upstreamHash: upstream,
                    ticket,
                    withdrawn,
                    failed,
                    unreachable,
                    tookMs,
                    expectedMs,
                    runMs,
                    expectedRunMs,
                },
            };
        }
        case "limitReport": {
            const statedLimit = fromStatedLimitMessage(body.value.statedLimit, nowMs);
            return statedLimit && {
                kind: "limit-report",
                report: { upstreamHash: body.value.upstream, statedLimit },
            };
        }
        case "streamOrigins": {
            const { streams, origins } = body.value;
            return streams.length === origins.length
                ? {
                    kind: "stream-origins",
                    records: streams.map((streamKey, index) => ({ streamKey, originHash: origins[index] ?? 0 })),
                }
                : undefined;
        }
        case "streamOriginQuestion": {
            const { number, stream, pools, ageMs } = body.value;
            return {
                kind: "stream-origin-question",
                number,
                question: { streamKey: stream, poolHashes: pools, ageMs },
            };
        }
        case "streamOriginAnswer": {
            const { number, recorded, seen, complete } = body.value;
            return { kind: "stream-origin-answer", number, answer: { recorded, seen, isComplete: complete } };
        }
        case "usageReport": {
            const report = fromUsageReportMessage(body.value);
            return report && { kind: "usage-report", report };
        }
        case "usageTable": {
            if (body.value.question) {
                return { kind: "usage-table-question", question: fromUsageTableQuestionMessage(body.value) };
            }
            const table = fromUsageTableMessage(body.value, nowMs);
            return table && { kind: "usage-table", table, until: body.value.until };
        }
        default:
            return undefined;
    }
}

/** The queues that an answer states; none if its lists differ in length. */
function fromQueueLists({ queueUpstreams, queueWaitsMs, queueAgesMs }: TrackerAnswerMessage): readonly StatedQueue[] {
    const { length } = queueUpstreams;
    return queueWaitsMs.length === length && queueAgesMs.length === length
        ? queueUpstreams.map((upstreamHash, index) => ({
            upstreamHash,
            waitMs: queueWaitsMs[index] ?? 0,
            ageMs: queueAgesMs[index] ?? 0,
        }))
        : [];
}

function toStatedLimitMessage(limit: StatedLimit | undefined, nowMs: number) {
    return limit && {
        ageMs: toUint32(nowMs - limit.atMs),
        ...(limit.limitPerS === undefined ? {} : { limitPerS: limit.limitPerS }),
    };
}

/** Converts a message to a limit; undefined if there is none or it is invalid. */
function fromStatedLimitMessage(message: StatedLimitMessage | undefined, nowMs: number): StatedLimit | undefined {
    if (!message || (message.limitPerS !== undefined && !(message.limitPerS >= 0))) {
        return undefined;
    }
    return { limitPerS: message.limitPerS, atMs: nowMs - message.ageMs };
}

/** Converts a share to percent; 0 stands for 100, since a field of value 0 takes no bytes. */
function toSlotPercent(share: number): number {
    return Math.min(100, Math.max(1, Math.round(share * 100))) % 100;
}

function fromSlotPercent(percent: number): number {
    return percent === 0 ? 1 : Math.min(1, percent / 100);
}
