import * as core from "@peridotloft/core";
import type { Result } from "neverthrow";
import * as constants from "./OperationConstants.js";
import type { OperationRefusal, OperationResponse } from "./OperationStore.js";

export type OperationOutcome = Result<OperationResponse, OperationRefusal>;

/** An operation that this VM knows. */
export interface LedgerEntry {
    readonly customer: core.CustomerId;
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

/** What is known of an operation when it is admitted. */
export interface AdmittedOperation {
    readonly id: string;
    readonly customer: core.CustomerId;
    readonly fingerprint: Uint8Array;
    readonly outcome: Promise<OperationOutcome>;
}

export interface LedgerBounds {
    /** Bytes of all operations with their answers. */
    readonly maxStoredBytes: number;
    /** Bytes of the operations of one customer, so that its flood leaves room for others. */
    readonly maxCustomerBytes: number;
}

/** The operations of one VM, bounded in bytes. Never forgets an operation before its expiry. */
export interface OperationLedger {
    find(id: string, nowMs: number): LedgerEntry | undefined;
    /** Whether an operation and an answer of the reserved size fit. Room becomes free when expired operations are dropped. */
    hasRoom(id: string, customer: core.CustomerId): boolean;
    /** Records a running operation, if necessary in place of a refused one. There must be room for it. */
    admit(operation: AdmittedOperation, nowMs: number): void;
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

export function createOperationLedger(bounds: LedgerBounds): OperationLedger {
    const entries = new Map<string, LedgerEntry>();
    const bytesByCustomer = new Map<core.CustomerId, number>();
    let storedBytes = 0;

    const charge = (customer: core.CustomerId, bytes: number): void => {
        const customerBytes = (bytesByCustomer.get(customer) ?? 0) + bytes;
        storedBytes += bytes;
        if (customerBytes === 0) {
            bytesByCustomer.delete(customer);
        }
        else {
            bytesByCustomer.set(customer, customerBytes);
        }
    };

    const replace = (id: string, entry: LedgerEntry | undefined): void => {
        const old = entries.get(id);
        if (old) {
            charge(old.customer, -old.bytes);
        }
        if (entry) {
            charge(entry.customer, entry.bytes);
            entries.set(id, entry);
        }
        else {
            entries.delete(id);
        }
    };

    const fits = (id: string, customer: core.CustomerId, bytes: number): boolean => {
        const addedBytes = bytes - (entries.get(id)?.bytes ?? 0);
        return storedBytes + addedBytes <= bounds.maxStoredBytes
            && (bytesByCustomer.get(customer) ?? 0) + addedBytes <= bounds.maxCustomerBytes;
    };

    const dropExpired = (nowMs: number): void => {
        [...entries].filter(([, entry]) => nowMs > entry.expiresMs).forEach(([id]) => replace(id, undefined));
    };

    const hasRoom = (id: string, customer: core.CustomerId): boolean =>
        fits(id, customer, overheadOf(id) + constants.reservedAnswerBytes);

    return {
        find(id, nowMs) {
            const entry = entries.get(id);
            return entry && nowMs <= entry.expiresMs ? entry : undefined;
        },
        hasRoom,
        admit({ id, ...operation }, nowMs) {
            core.invariant(entries.get(id)?.state !== "running", "a running operation is not admitted again");
            core.invariant(hasRoom(id, operation.customer), "an admitted operation has room");
            const bytes = overheadOf(id) + constants.reservedAnswerBytes;
            replace(id, { ...operation, state: "running", changedMs: nowMs, expiresMs: Infinity, bytes });
        },
        end(id, outcome, expiresMs, substitute) {
            const entry = runningEntry(entries, id);
            const wantedBytes = overheadOf(id) + sizeOf(outcome);
            const stored = fits(id, entry.customer, wantedBytes);
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
