import * as core from "@peridotloft/core";
import type { Result } from "neverthrow";
import * as constants from "./OperationConstants.js";
import type { OperationRefusal, OperationResponse } from "./OperationStore.js";

export type OperationOutcome = Result<OperationResponse, OperationRefusal>;

/** An operation whose records this VM stores. */
export interface OperationEntry {
    readonly customer: core.CustomerId;
    readonly fingerprint: Uint8Array;
    /** Resolves when the operation ends; resends wait for it. */
    readonly outcome: Promise<OperationOutcome>;
    /** `refused`: every attempt so far ended with `not-run`, so a later attempt may run the operation. */
    readonly state: "running" | "ended" | "refused";
    /** Time in ms on this VM's clock at which the operation was admitted or last refused with `not-run`. */
    readonly changedMs: number;
    /** Time in ms on this VM's clock after which the entry may be removed; infinite while the operation runs. */
    readonly expiresMs: number;
    /** Bytes counted toward the bounds. */
    readonly bytes: number;
}

/** An operation at its admission. */
export interface AdmittedOperation {
    readonly id: string;
    readonly customer: core.CustomerId;
    readonly fingerprint: Uint8Array;
    readonly outcome: Promise<OperationOutcome>;
}

export interface OperationTableBounds {
    /** Bytes of all operations with their responses. */
    readonly maxStoredBytes: number;
    /** Bytes of the operations of one customer, so that many operations of one customer leave room for others. */
    readonly maxCustomerBytes: number;
}

/** The operations of one VM, bounded in bytes. An entry is never evicted before its expiry. */
export interface OperationTable {
    find(id: string, nowMs: number): OperationEntry | undefined;
    /** Whether an operation with a response of the reserved size fits. Removing expired operations frees room. */
    hasRoom(id: string, customer: core.CustomerId): boolean;
    /** Adds a running operation, or makes a refused one run. There must be room for it. */
    admit(operation: AdmittedOperation, nowMs: number): void;
    /**
     * Stores the outcome of a running operation until `expiresMs`. If it does not fit, stores the outcome that
     * `createReplacement` returns instead, and returns false.
     */
    storeOutcome(
        id: string,
        outcome: OperationOutcome,
        expiresMs: number,
        createReplacement: () => OperationOutcome,
    ): boolean;
    /** Records that an operation was refused with `not-run` at `nowMs`; stored until `expiresMs`. */
    recordRefusal(id: string, nowMs: number, expiresMs: number): void;
    dropExpired(nowMs: number): void;
    status(): { readonly operations: number; readonly storedBytes: number; };
}

export function createOperationTable(bounds: OperationTableBounds): OperationTable {
    const entries = new Map<string, OperationEntry>();
    const bytesByCustomer = new Map<core.CustomerId, number>();
    let storedBytes = 0;

    const addBytes = (customer: core.CustomerId, bytes: number): void => {
        const customerBytes = (bytesByCustomer.get(customer) ?? 0) + bytes;
        storedBytes += bytes;
        if (customerBytes === 0) {
            bytesByCustomer.delete(customer);
        }
        else {
            bytesByCustomer.set(customer, customerBytes);
        }
    };

    const setEntry = (id: string, entry: OperationEntry | undefined): void => {
        const previousEntry = entries.get(id);
        if (previousEntry) {
            addBytes(previousEntry.customer, -previousEntry.bytes);
        }
        if (entry) {
            addBytes(entry.customer, entry.bytes);
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
        [...entries].filter(([, entry]) => nowMs > entry.expiresMs).forEach(([id]) => setEntry(id, undefined));
    };

    const hasRoom = (id: string, customer: core.CustomerId): boolean =>
        fits(id, customer, overheadBytesOf(id) + constants.reservedResponseBytes);

    return {
        find(id, nowMs) {
            const entry = entries.get(id);
            return entry && nowMs <= entry.expiresMs ? entry : undefined;
        },
        hasRoom,
        admit({ id, ...operation }, nowMs) {
            core.invariant(entries.get(id)?.state !== "running", "a running operation is not admitted again");
            core.invariant(hasRoom(id, operation.customer), "an admitted operation has room");
            const bytes = overheadBytesOf(id) + constants.reservedResponseBytes;
            setEntry(id, { ...operation, state: "running", changedMs: nowMs, expiresMs: Infinity, bytes });
        },
        storeOutcome(id, outcome, expiresMs, createReplacement) {
            const entry = findRunning(entries, id);
            const outcomeBytes = overheadBytesOf(id) + sizeBytesOf(outcome);
            const fitsStore = fits(id, entry.customer, outcomeBytes);
            const storedOutcome = fitsStore ? outcome : createReplacement();
            const bytes = overheadBytesOf(id) + sizeBytesOf(storedOutcome);
            setEntry(id, { ...entry, outcome: Promise.resolve(storedOutcome), state: "ended", expiresMs, bytes });
            return fitsStore;
        },
        recordRefusal(id, nowMs, expiresMs) {
            const entry = entries.get(id);
            core.invariant(entry && entry.state !== "ended", "only an operation without outcome is refused");
            setEntry(id, { ...entry, state: "refused", changedMs: nowMs, expiresMs, bytes: overheadBytesOf(id) });
        },
        dropExpired,
        status: () => ({ operations: entries.size, storedBytes }),
    };
}

function findRunning(entries: ReadonlyMap<string, OperationEntry>, id: string): OperationEntry {
    const entry = entries.get(id);
    core.invariant(entry?.state === "running", "only a running operation ends");
    return entry;
}

function overheadBytesOf(id: string): number {
    return constants.entryOverheadBytes + Buffer.byteLength(id);
}

function sizeBytesOf(outcome: OperationOutcome): number {
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
