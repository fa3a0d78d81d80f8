import type * as core from "@peridotloft/core";
import { type BorrowAnswer, decodeAnswer, encodeRequest } from "./BorrowMessages.js";
import * as constants from "./LimitsConstants.js";
import type { LoanAccount, OutgoingLine, ReceivedLoan } from "./LoanAccount.js";

/** Identifies a bucket in messages. */
export interface BucketName {
    readonly customer: core.CustomerId;
    readonly index: number;
}

/** Traffic with one owner: at most one request is in flight, and needs that arise meanwhile share the next one. */
export interface OwnerLink {
    /** Sends what the account has to say with the next request; resolves when that request has ended. */
    send(name: BucketName, account: LoanAccount): Promise<void>;
    /** Whether the owner did not answer lately and is not due to be asked again. */
    isAvoided(nowMs: number): boolean;
}

/** Times of a loan, all in ms and, but for the lifetime, on the borrower's clock. */
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
    /** Called after an answer, when tokens may have arrived for the customer. */
    onAnswer(customer: core.CustomerId): void;
}

interface SentLine {
    readonly name: BucketName;
    readonly account: LoanAccount;
    readonly line: OutgoingLine;
}

export function createOwnerLink(options: OwnerLinkOptions): OwnerLink {
    const { owner, clock, transport } = options;
    const pending = new Map<LoanAccount, BucketName>();
    let sequence = 0;
    let lastAnswered = 0;
    let current: Promise<void> | undefined;
    let next: Promise<void> | undefined;
    let backoffMs = 0;
    let avoidUntilMs = 0;

    const takeLines = (nowMs: number): SentLine[] =>
        [...pending].slice(0, constants.maxLinesPerRequest).flatMap(([account, name]) => {
            pending.delete(account);
            const line = account.takeLine(nowMs);
            return line ? [{ name, account, line }] : [];
        });

    const encode = (lines: readonly SentLine[]): Uint8Array =>
        encodeRequest({
            incarnation: options.incarnation,
            sequence,
            unanswered: sequence - 1 - lastAnswered,
            lines: lines.map(({ name, line }) => ({
                ...line,
                customer: name.customer,
                bucket: name.index,
                reports: [...line.reports],
            })),
        });

    const noteSuccess = (): void => {
        lastAnswered = sequence;
        backoffMs = 0;
    };

    const noteFailure = (lines: readonly SentLine[], error: core.PeerError | undefined): void => {
        backoffMs = Math.min(Math.max(backoffMs * 2, constants.minBackoffMs), constants.maxBackoffMs);
        avoidUntilMs = clock.nowMs() + backoffMs;
        const certainlyNotHandled = error?.kind === "unreachable" || error?.kind === "refused";
        lines.forEach(({ account, line }) => account.noteFailure(line, certainlyNotHandled));
    };

    const readAnswer = (payload: Uint8Array, lineCount: number): BorrowAnswer | undefined => {
        const answer = decodeAnswer(payload).unwrapOr(undefined);
        return answer?.sequence === sequence && answer.grants.length === lineCount ? answer : undefined;
    };

    const findLoan = (answer: BorrowAnswer, position: number, sent: SentLine, sentAtMs: number): ReceivedLoan => {
        const { cost = 0, brief = false, dryMs = 0, leftCost = 0 } = answer.grants[position] ?? {};
        const lifetimeMs = brief ? constants.briefLifetimeMs : answer.lifetimeMs;
        const keepMs = lifetimeMs * (sent.line.gathering ? constants.checkRatio : constants.returnRatio);
        return {
            sequence,
            cost,
            brief,
            dryMs,
            leftCost,
            expiresMs: options.loanExpiryMs({ sentAtMs, receivedAtMs: clock.nowMs(), lifetimeMs }),
            returnAtMs: sentAtMs + keepMs,
        };
    };

    const exchange = async (): Promise<void> => {
        const sentAtMs = clock.nowMs();
        const lines = takeLines(sentAtMs);
        if (lines.length === 0) {
            return;
        }
        sequence += 1;
        const result = await transport.call(owner, constants.sliceName, encode(lines), constants.attemptTimeoutMs);
        const answer = result.isOk() ? readAnswer(result.value, lines.length) : undefined;
        if (!answer) {
            noteFailure(lines, result.isErr() ? result.error : undefined);
            return;
        }
        noteSuccess();
        lines.forEach((sent, position) =>
            sent.account.noteAnswer(sent.line, findLoan(answer, position, sent, sentAtMs), clock.nowMs())
        );
        lines.forEach(({ name }) => options.onAnswer(name.customer));
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
        send(name, account) {
            pending.set(account, name);
            if (!current) {
                return start();
            }
            next ??= current.then(start);
            return next;
        },
        isAvoided: nowMs => nowMs < avoidUntilMs,
    };
}
