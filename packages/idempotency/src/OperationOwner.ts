import type * as core from "@peridotloft/core";
import type * as document from "@peridotloft/document";
import type * as ownership from "@peridotloft/ownership";
import { err } from "neverthrow";
import { fingerprintOf } from "./OperationFingerprint.js";
import type { OperationIdentity } from "./OperationIdentity.js";
import type { OperationPolicy } from "./OperationPolicy.js";
import * as refusals from "./OperationRefusals.js";
import type { ExecuteOperation, ExecutionGuard, OperationRefusal, OperationRequest } from "./OperationStore.js";
import type { OperationEntry, OperationOutcome, OperationTable } from "./OperationTable.js";

export interface OperationOwnerOptions {
    readonly self: core.VmId;
    readonly incarnation: number;
    readonly clock: core.Clock;
    readonly ownership: ownership.Ownership;
    readonly document: { read(): document.FleetDocument; };
    readonly table: OperationTable;
    readonly execute: ExecuteOperation;
    readonly policy: OperationPolicy;
}

/** One attempt of an operation, with its time on the owner's clock. */
export interface Attempt {
    readonly identity: OperationIdentity;
    readonly customer: core.CustomerId;
    readonly request: OperationRequest;
    /** Earliest time in ms on this VM's clock at which the attempt can have arrived at the fleet. */
    readonly earliestArrivalMs: number;
}

export type OwnerDecision =
    | { readonly kind: "outcome"; readonly outcome: Promise<OperationOutcome>; }
    | { readonly kind: "redirect"; readonly owner: core.VmId; };

/** Decides on attempts of operations that this VM may own. */
export interface OperationOwner {
    /** Runs, joins, redirects or refuses an attempt. The decision is synchronous, so attempts cannot interleave. */
    decide(attempt: Attempt): OwnerDecision;
}

/** Whether this VM may run an operation as new, and the time in ms from which its records of the operation are complete. */
type RunPermission =
    | { readonly kind: "may-run"; readonly sinceMs: number; }
    | Exclude<OwnerDecision, { kind: "outcome"; }>
    | { readonly kind: "refused"; readonly refusal: OperationRefusal; };

export function createOperationOwner(options: OperationOwnerOptions): OperationOwner {
    const { clock, table, policy } = options;
    // A refusal for lack of room leaves no entry, so one time is stored for all operations of the customer.
    const lastStoreFullMs = new Map<core.CustomerId, number>();

    const windowMs = (): number => options.document.read().fleet.idempotencyWindowMs;

    const permissionOfKey = (resource: string): RunPermission => {
        const holding = options.ownership.holdingOf(resource);
        switch (holding.kind) {
            case "other":
                return { kind: "redirect", owner: holding.owner };
            case "waiting":
                return { kind: "redirect", owner: holding.previousOwner };
            case "held":
                return { kind: "may-run", sinceMs: holding.sinceMs };
        }
    };

    const permissionOf = (identity: OperationIdentity, nowMs: number): RunPermission => {
        if (identity.kind === "key") {
            return permissionOfKey(identity.resource);
        }
        const { vm, incarnation, expiresMs } = identity.ticket;
        if (vm !== options.self) {
            return { kind: "redirect", owner: vm };
        }
        if (incarnation !== options.incarnation) {
            return { kind: "refused", refusal: refusals.restartedIssuer(vm) };
        }
        return policy.isTicketExpired(expiresMs, nowMs)
            ? { kind: "refused", refusal: refusals.expiredTicket() }
            : { kind: "may-run", sinceMs: Number.NEGATIVE_INFINITY };
    };

    const findHistoryRefusal = (attempt: Attempt, sinceMs: number, nowMs: number): OperationRefusal | undefined => {
        // A ticket names the incarnation that issued it, whose records of the ticket are complete from the start.
        if (attempt.identity.kind === "key" && !policy.coversHistory(sinceMs, nowMs, windowMs())) {
            return refusals.unknownHistory(
                "the VM that owns the key has not owned it for a whole idempotency window; an earlier request may have run",
            );
        }
        return policy.isTooOld(attempt.earliestArrivalMs, nowMs)
            ? refusals.unknownHistory("the request took too long to reach the VM that owns the operation")
            : undefined;
    };

    const decideByEntry = (
        attempt: Attempt,
        entry: OperationEntry,
        isSameRequest: boolean,
        sinceMs: number,
        nowMs: number,
    ): OwnerDecision | undefined => {
        // The entry is older than this VM's current ownership of the key, so another VM may have run the operation since.
        if (entry.changedMs < sinceMs) {
            return entry.state === "refused"
                ? undefined
                : decisionOf(
                    refusals.unknownHistory(
                        "another VM owned the key in the meantime; an earlier request may have run there",
                    ),
                );
        }
        if (!isSameRequest) {
            return decisionOf(refusals.differentRequest());
        }
        return policy.precedesRefusal(attempt.earliestArrivalMs, entry.changedMs)
            ? repeatRefusal(attempt, entry, nowMs)
            : undefined;
    };

    const repeatRefusal = (attempt: Attempt, entry: OperationEntry, nowMs: number): OwnerDecision => {
        table.recordRefusal(attempt.identity.id, nowMs, policy.expiryOf(nowMs, 0));
        return { kind: "outcome", outcome: entry.outcome };
    };

    const createGuard = (attempt: Attempt, admittedMs: number): ExecutionGuard => {
        const { identity } = attempt;
        if (identity.kind === "ticket") {
            return { mayStart: () => !policy.isTicketExpired(identity.ticket.expiresMs, clock.nowMs()) };
        }
        const latestStartMs = admittedMs + windowMs();
        return { mayStart: () => clock.nowMs() < latestStartMs };
    };

    const isNotRunCertain = (attempt: Attempt, admittedMs: number): boolean => {
        if (attempt.identity.kind === "ticket" || clock.nowMs() < admittedMs + windowMs()) {
            return true;
        }
        // After a whole window the key may have had another owner, which may have run the operation.
        const permission = permissionOfKey(attempt.identity.resource);
        return permission.kind === "may-run" && permission.sinceMs <= admittedMs;
    };

    const recordOutcome = (attempt: Attempt, admittedMs: number, outcome: OperationOutcome): OperationOutcome => {
        const { identity } = attempt;
        const endedMs = clock.nowMs();
        if (outcome.isErr() && outcome.error.verdict === "not-run") {
            if (isNotRunCertain(attempt, admittedMs)) {
                table.recordRefusal(identity.id, endedMs, policy.expiryOf(endedMs, 0));
                return outcome;
            }
            return recordOutcome(attempt, admittedMs, err({ ...outcome.error, verdict: "may-have-run" }));
        }
        const retentionMs = identity.kind === "key" ? windowMs() : Math.max(0, identity.ticket.expiresMs - endedMs);
        const expiresMs = policy.expiryOf(endedMs, retentionMs);
        table.storeOutcome(identity.id, outcome, expiresMs, () => err(refusals.responseNotStored()));
        return outcome;
    };

    const admitNew = (attempt: Attempt, fingerprint: Uint8Array, nowMs: number): OwnerDecision => {
        const { identity, customer, request } = attempt;
        if (!table.hasRoom(identity.id, customer)) {
            lastStoreFullMs.set(customer, nowMs);
            return decisionOf(refusals.storeFull("not-run"));
        }
        let resolveOutcome: (outcome: OperationOutcome) => void = () => undefined;
        const outcome = new Promise<OperationOutcome>(resolve => {
            resolveOutcome = resolve;
        });
        table.admit({ id: identity.id, customer, fingerprint, outcome }, nowMs);
        void executeSafely(options.execute, customer, request, createGuard(attempt, nowMs))
            .then(result => resolveOutcome(recordOutcome(attempt, nowMs, result)));
        return { kind: "outcome", outcome };
    };

    return {
        decide(attempt) {
            const nowMs = clock.nowMs();
            const { id } = attempt.identity;
            const entry = table.find(id, nowMs);
            const fingerprint = fingerprintOf(attempt.request);
            const isSameRequest = entry !== undefined && policy.isSameRequest(entry.fingerprint, fingerprint);
            if (entry && isSameRequest && entry.state !== "refused") {
                return { kind: "outcome", outcome: entry.outcome };
            }
            const permission = permissionOf(attempt.identity, nowMs);
            if (permission.kind !== "may-run") {
                return permission.kind === "refused" ? decisionOf(permission.refusal) : permission;
            }
            const { sinceMs } = permission;
            const refused = entry && decideByEntry(attempt, entry, isSameRequest, sinceMs, nowMs);
            if (refused) {
                return refused;
            }
            const isKnownRefused = entry !== undefined && entry.changedMs >= sinceMs;
            const refusal = isKnownRefused ? undefined : findHistoryRefusal(attempt, sinceMs, nowMs);
            if (refusal) {
                return decisionOf(refusal);
            }
            return policy.precedesRefusal(
                    attempt.earliestArrivalMs,
                    lastStoreFullMs.get(attempt.customer) ?? Number.NEGATIVE_INFINITY,
                )
                ? decisionOf(refusals.storeFull("may-have-run"))
                : admitNew(attempt, fingerprint, nowMs);
        },
    };
}

function decisionOf(refusal: OperationRefusal): OwnerDecision {
    return { kind: "outcome", outcome: Promise.resolve(err(refusal)) };
}

async function executeSafely(
    execute: ExecuteOperation,
    customer: core.CustomerId,
    request: OperationRequest,
    guard: ExecutionGuard,
): Promise<OperationOutcome> {
    try {
        return await execute(customer, request, guard);
    }
    catch (error) {
        return err(refusals.failedExecution(`the operation failed: ${String(error)}`));
    }
}
