import type * as core from "@peridotloft/core";
import { type BorrowAnswer, decodeReply, encodeRequest } from "./BorrowMessages.js";
import * as constants from "./LimitsConstants.js";
import type { OutgoingLine, ReceivedLoan, RemoteBucket } from "./RemoteBucket.js";

export interface BucketId {
    readonly customer: core.CustomerId;
    readonly index: number;
}

/** Sends borrow requests to one owner. At most one is in flight; needs that arise meanwhile share the next one. */
export interface OwnerLink {
    /** Sends the bucket's needs, reports and settlements with the next request; resolves when that request has ended. */
    send(bucketId: BucketId, remoteBucket: RemoteBucket): Promise<void>;
    /** Whether the backoff after a failed request is still running. */
    isBackingOff(nowMs: number): boolean;
}

/** Times of a loan in ms. The times of sending and receipt are on the borrower's clock. */
export interface LoanTiming {
    readonly sentAtMs: number;
    readonly receivedAtMs: number;
    readonly lifetimeMs: number;
}

export interface OwnerLinkOptions {
    readonly owner: core.VmId;
    readonly clock: core.Clock;
    readonly transport: core.PeerTransport;
    readonly incarnation: bigint;
    /** Time in ms from which a loan can no longer be spent. */
    loanExpiryMs(timing: LoanTiming): number;
    /** Called after each reply for each customer for whom it may contain a loan. */
    onReply(customer: core.CustomerId): void;
}

interface SentLine {
    readonly bucketId: BucketId;
    readonly remoteBucket: RemoteBucket;
    readonly line: OutgoingLine;
}

export function createOwnerLink(options: OwnerLinkOptions): OwnerLink {
    const { owner, clock, transport } = options;
    const pending = new Map<RemoteBucket, BucketId>();
    let sequence = 0;
    let lastRepliedSequence = 0;
    let current: Promise<void> | undefined;
    let next: Promise<void> | undefined;
    let backoffMs = 0;
    let backoffUntilMs = 0;

    const takePendingLines = (nowMs: number): SentLine[] =>
        [...pending].slice(0, constants.maxLinesPerRequest).flatMap(([remoteBucket, bucketId]) => {
            pending.delete(remoteBucket);
            const line = remoteBucket.takeLine(nowMs);
            return line ? [{ bucketId, remoteBucket, line }] : [];
        });

    const encode = (lines: readonly SentLine[]): Uint8Array =>
        encodeRequest({
            incarnation: options.incarnation,
            sequence,
            unanswered: sequence - 1 - lastRepliedSequence,
            lines: lines.map(({ bucketId, line }) => ({
                ...line,
                customer: bucketId.customer,
                bucket: bucketId.index,
                reports: [...line.reports],
            })),
        });

    const recordSuccess = (): void => {
        lastRepliedSequence = sequence;
        backoffMs = 0;
    };

    const recordFailure = (lines: readonly SentLine[], error: core.PeerError | undefined): void => {
        backoffMs = Math.min(Math.max(backoffMs * 2, constants.minBackoffMs), constants.maxBackoffMs);
        backoffUntilMs = clock.nowMs() + backoffMs;
        const certainlyNotHandled = error?.kind === "unreachable" || error?.kind === "refused";
        lines.forEach(({ remoteBucket, line }) => remoteBucket.recordFailure(line, certainlyNotHandled));
    };

    const readReply = (payload: Uint8Array, lineCount: number): BorrowAnswer | undefined => {
        const reply = decodeReply(payload).unwrapOr(undefined);
        return reply?.sequence === sequence && reply.grants.length === lineCount ? reply : undefined;
    };

    const toReceivedLoan = (reply: BorrowAnswer, position: number, sent: SentLine, sentAtMs: number): ReceivedLoan => {
        const { cost = 0, brief = false, dryMs = 0, leftCost = 0 } = reply.grants[position] ?? {};
        const lifetimeMs = brief ? constants.briefLifetimeMs : reply.lifetimeMs;
        const returnAfterMs = lifetimeMs * (sent.line.gathering ? constants.checkRatio : constants.returnRatio);
        return {
            sequence,
            cost,
            brief,
            dryMs,
            leftCost,
            expiresMs: options.loanExpiryMs({ sentAtMs, receivedAtMs: clock.nowMs(), lifetimeMs }),
            returnAtMs: sentAtMs + returnAfterMs,
        };
    };

    const exchange = async (): Promise<void> => {
        const sentAtMs = clock.nowMs();
        const lines = takePendingLines(sentAtMs);
        if (lines.length === 0) {
            return;
        }
        sequence += 1;
        const result = await transport.call(owner, constants.sliceName, encode(lines), constants.attemptTimeoutMs);
        const reply = result.isOk() ? readReply(result.value, lines.length) : undefined;
        if (!reply) {
            recordFailure(lines, result.isErr() ? result.error : undefined);
            return;
        }
        recordSuccess();
        lines.forEach((sent, position) =>
            sent.remoteBucket.recordReply(sent.line, toReceivedLoan(reply, position, sent, sentAtMs), clock.nowMs())
        );
        lines.forEach(({ bucketId }) => options.onReply(bucketId.customer));
    };

    const start = (): Promise<void> => {
        next = undefined;
        const running = exchange().finally(() => {
            if (current === running) {
                current = undefined;
            }
        });
        current = running;
        return running;
    };

    return {
        send(bucketId, remoteBucket) {
            pending.set(remoteBucket, bucketId);
            if (!current) {
                return start();
            }
            next ??= current.then(start);
            return next;
        },
        isBackingOff: nowMs => nowMs < backoffUntilMs,
    };
}
