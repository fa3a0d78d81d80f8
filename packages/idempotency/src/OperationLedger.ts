import * as core from "@peridotloft/core";
import type { Result } from "neverthrow";
import * as constants from "./OperationConstants.js";
import type { OperationRefusal, OperationResponse } from "./OperationStore.js";

export type OperationOutcome = Result<OperationResponse, OperationRefusal>;

/** An operation that this VM knows. */
export interface LedgerEntry {
    readonly fingerprint: Uint8Array;
    /** Settles when the operation ends; resends wait for it or read it. */
    readonly outcome: Promise<OperationOutcome>;
    /** `refused`: every attempt so far was `not-run`, so the operation may be tried again. */
    readonly state: "running" | "ended" | "refused";
    /** Time in ms on this VM's clock at which it was admitted, or last refused with `not-run`. */
    readonly changedMs: number;
    /** Time in ms on this VM's clock after which it may be forgotten; infinite while it runs. */
    readonly expiresMs: number;
    /** Bytes charged against the bound. */
    readonly bytes: number;
}

/** The operations of one VM, bounded in bytes. Never forgets an operation before its expiry. */
export interface OperationLedger {
    find(id: string, nowMs: number): LedgerEntry | undefined;
    /** Records a running operation in place of a refused one; false when there is no room for its answer. */
    admit(id: string, fingerprint: Uint8Array, outcome: Promise<OperationOutcome>, nowMs: number): boolean;
    hasRoom(id: string, nowMs: number): boolean;
    /**
     * Keeps the outcome of a running operation until `expiresMs`.
     * Returns false, and keeps the outcome that `substitute` makes, when the answer does not fit.
     */
    end(id: string, outcome: OperationOutcome, expiresMs: number, substitute: () => OperationOutcome): boolean;
    /** Notes that an operation was refused with `not-run` at `nowMs`; kept until `expiresMs`. */
    refuse(id: string, nowMs: number, expiresMs: number): void;
    dropExpired(nowMs: number): void;
    status(): { readonly operations: number; readonly storedBytes: number; };
}

export function createOperationLedger(maxStoredBytes: number): OperationLedger {
    const entries = new Map<string, LedgerEntry>();
    let storedBytes = 0;

    const replace = (id: string, entry: LedgerEntry | undefined): void => {
        storedBytes += (entry?.bytes ?? 0) - (entries.get(id)?.bytes ?? 0);
        if (entry) {
            entries.set(id, entry);
        }
        else {
            entries.delete(id);
        }
    };

    const fits = (id: string, bytes: number): boolean =>
        storedBytes - (entries.get(id)?.bytes ?? 0) + bytes <= maxStoredBytes;

    const dropExpired = (nowMs: number): void => {
        [...entries].filter(([, entry]) => nowMs > entry.expiresMs).forEach(([id]) => replace(id, undefined));
    };

    const hasRoom = (id: string, nowMs: number): boolean => {
        const bytes = overheadOf(id) + constants.reservedAnswerBytes;
        if (!fits(id, bytes)) {
            dropExpired(nowMs);
        }
        return fits(id, bytes);
    };

    return {
        find(id, nowMs) {
            const entry = entries.get(id);
            return entry && nowMs <= entry.expiresMs ? entry : undefined;
        },
        hasRoom,
        admit(id, fingerprint, outcome, nowMs) {
            core.invariant(entries.get(id)?.state !== "running", "a running operation is not admitted again");
            if (!hasRoom(id, nowMs)) {
                return false;
            }
            const bytes = overheadOf(id) + constants.reservedAnswerBytes;
            replace(id, { fingerprint, outcome, state: "running", changedMs: nowMs, expiresMs: Infinity, bytes });
            return true;
        },
        end(id, outcome, expiresMs, substitute) {
            const entry = runningEntry(entries, id);
            const wantedBytes = overheadOf(id) + sizeOf(outcome);
            const stored = fits(id, wantedBytes);
            const kept = stored ? outcome : substitute();
            const bytes = overheadOf(id) + sizeOf(kept);
            replace(id, { ...entry, outcome: Promise.resolve(kept), state: "ended", expiresMs, bytes });
            return stored;
        },
        refuse(id, nowMs, expiresMs) {
            const entry = entries.get(id);
            core.invariant(entry && entry.state !== "ended", "only an operation without outcome is refused");
            replace(id, { ...entry, state: "refused", changedMs: nowMs, expiresMs, bytes: overheadOf(id) });
        },
        dropExpired,
        status: () => ({ operations: entries.size, storedBytes }),
    };
}

function runningEntry(entries: ReadonlyMap<string, LedgerEntry>, id: string): LedgerEntry {
    const entry = entries.get(id);
    core.invariant(entry?.state === "running", "only a running operation ends");
    return entry;
}

function overheadOf(id: string): number {
    return constants.entryOverheadBytes + Buffer.byteLength(id);
}

function sizeOf(outcome: OperationOutcome): number {
    return outcome.match(
        response =>
            response.body.length
            + response.headers.reduce(
                (sum, [name, value]) => sum + Buffer.byteLength(name) + Buffer.byteLength(value),
                0,
            ),
        refusal => Buffer.byteLength(refusal.message),
    );
}
