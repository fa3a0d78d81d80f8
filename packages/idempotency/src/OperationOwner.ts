import type * as core from "@peridotloft/core";
import type * as document from "@peridotloft/document";
import type * as ownership from "@peridotloft/ownership";
import { err } from "neverthrow";
import { fingerprintOf } from "./OperationFingerprint.js";
import type { OperationIdentity } from "./OperationIdentity.js";
import type { LedgerEntry, OperationLedger, OperationOutcome } from "./OperationLedger.js";
import type { OperationPolicy } from "./OperationPolicy.js";
import * as refusals from "./OperationRefusals.js";
import type { ExecuteOperation, ExecutionGuard, OperationRefusal, OperationRequest } from "./OperationStore.js";

export interface OperationOwnerOptions {
    readonly self: core.VmId;
    readonly incarnation: number;
    readonly clock: core.Clock;
    readonly ownership: ownership.Ownership;
    readonly document: { read(): document.FleetDocument; };
    readonly ledger: OperationLedger;
    readonly execute: ExecuteOperation;
    readonly policy: OperationPolicy;
}

/** One attempt of an operation, judged on the owner's clock. */
export interface Attempt {
    readonly identity: OperationIdentity;
    readonly customer: core.CustomerId;
    readonly request: OperationRequest;
    /** Earliest time in ms on this VM's clock at which the attempt can have arrived at the fleet. */
    readonly enteredMs: number;
}

export type OwnerDecision =
    | { readonly kind: "outcome"; readonly outcome: Promise<OperationOutcome>; }
    | { readonly kind: "redirect"; readonly owner: core.VmId; };

/** Decides about the operations that this VM owns. */
export interface OperationOwner {
    /** Admits, joins, redirects or refuses an attempt in one step, without waiting in between. */
    decide(attempt: Attempt): OwnerDecision;
}

/** This VM's right to run an operation as new, with the time in ms from which its memory of it counts. */
type Authority =
    | { readonly kind: "may-run"; readonly sinceMs: number; }
    | Exclude<OwnerDecision, { kind: "outcome"; }>
    | { readonly kind: "refused"; readonly refusal: OperationRefusal; };

export function createOperationOwner(options: OperationOwnerOptions): OperationOwner {
    const { clock, ledger, policy } = options;
    // A refusal for lack of room leaves no entry, so its time stands for all operations of the customer.
    const lastFullMs = new Map<core.CustomerId, number>();

    const windowMs = (): number => options.document.read().fleet.idempotencyWindowMs;

    const authorityOfKey = (resource: string): Authority => {
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

    const authorityOf = (identity: OperationIdentity, nowMs: number): Authority => {
        if (identity.kind === "key") {
            return authorityOfKey(identity.resource);
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

    const refuseUnknown = (attempt: Attempt, sinceMs: number, nowMs: number): OperationRefusal | undefined => {
        // A ticket names its incarnation, whose memory of the ticket is complete from the start.
        if (attempt.identity.kind === "key" && !policy.coversHistory(sinceMs, nowMs, windowMs())) {
            return refusals.unknownHistory(
                "the VM that owns the key has not owned it for a whole key window; an earlier request may have run",
            );
        }
        return policy.isLate(attempt.enteredMs, nowMs)
            ? refusals.unknownHistory("the request was delayed on its way to the VM that owns the operation")
            : undefined;
    };

    const refuseByEntry = (
        attempt: Attempt,
        entry: LedgerEntry,
        matches: boolean,
        sinceMs: number,
        nowMs: number,
    ): OwnerDecision | undefined => {
        // An entry from before this VM gave the key away and got it back says nothing about the time between.
        if (entry.changedMs < sinceMs) {
            return entry.state === "refused"
                ? undefined
                : refuse(refusals.unknownHistory("the key has changed owners"));
        }
        if (!matches) {
            return refuse(refusals.differentRequest());
        }
        return policy.precedesRefusal(attempt.enteredMs, entry.changedMs)
            ? refuseAgain(attempt, entry, nowMs)
            : undefined;
    };

    const refuseAgain = (attempt: Attempt, entry: LedgerEntry, nowMs: number): OwnerDecision => {
        ledger.refuse(attempt.identity.id, nowMs, policy.expiryOf(nowMs, 0));
        return { kind: "outcome", outcome: entry.outcome };
    };

    const guardOf = (attempt: Attempt, admittedMs: number): ExecutionGuard => {
        const { identity } = attempt;
        if (identity.kind === "ticket") {
            return { mayStart: () => !policy.isTicketExpired(identity.ticket.expiresMs, clock.nowMs()) };
        }
        const latestStartMs = admittedMs + windowMs();
        return { mayStart: () => clock.nowMs() < latestStartMs };
    };

    const stillCertain = (attempt: Attempt, admittedMs: number): boolean => {
        if (attempt.identity.kind === "ticket" || clock.nowMs() < admittedMs + windowMs()) {
            return true;
        }
        // After a whole window without the key, another owner may have run it.
        const authority = authorityOfKey(attempt.identity.resource);
        return authority.kind === "may-run" && authority.sinceMs <= admittedMs;
    };

    const settle = (attempt: Attempt, admittedMs: number, outcome: OperationOutcome): OperationOutcome => {
        const { identity } = attempt;
        const endedMs = clock.nowMs();
        if (outcome.isErr() && outcome.error.verdict === "not-run") {
            if (stillCertain(attempt, admittedMs)) {
                ledger.refuse(identity.id, endedMs, policy.expiryOf(endedMs, 0));
                return outcome;
            }
            return settle(attempt, admittedMs, err({ ...outcome.error, verdict: "may-have-run" }));
        }
        const keptForMs = identity.kind === "key" ? windowMs() : Math.max(0, identity.ticket.expiresMs - endedMs);
        const expiresMs = policy.expiryOf(endedMs, keptForMs);
        ledger.end(identity.id, outcome, expiresMs, () => err(refusals.answerNotStored()));
        return outcome;
    };

    const start = (attempt: Attempt, fingerprint: Uint8Array, nowMs: number): OwnerDecision => {
        const { identity, customer, request } = attempt;
        if (!ledger.hasRoom(identity.id, customer)) {
            lastFullMs.set(customer, nowMs);
            return refuse(refusals.storeFull("not-run"));
        }
        let finish: (outcome: OperationOutcome) => void = () => undefined;
        const outcome = new Promise<OperationOutcome>(resolve => {
            finish = resolve;
        });
        ledger.admit({ id: identity.id, customer, fingerprint, outcome }, nowMs);
        void executeSafely(options.execute, customer, request, guardOf(attempt, nowMs))
            .then(result => finish(settle(attempt, nowMs, result)));
        return { kind: "outcome", outcome };
    };

    return {
        decide(attempt) {
            const nowMs = clock.nowMs();
            const { id } = attempt.identity;
            const entry = ledger.find(id, nowMs);
            const fingerprint = fingerprintOf(attempt.request);
            const matches = entry !== undefined && policy.isSameRequest(entry.fingerprint, fingerprint);
            if (entry && matches && entry.state !== "refused") {
                return { kind: "outcome", outcome: entry.outcome };
            }
            const authority = authorityOf(attempt.identity, nowMs);
            if (authority.kind !== "may-run") {
                return authority.kind === "refused" ? refuse(authority.refusal) : authority;
            }
            const { sinceMs } = authority;
            const refused = entry && refuseByEntry(attempt, entry, matches, sinceMs, nowMs);
            if (refused) {
                return refused;
            }
            const knownAsRefused = entry !== undefined && entry.changedMs >= sinceMs;
            const refusal = knownAsRefused ? undefined : refuseUnknown(attempt, sinceMs, nowMs);
            if (refusal) {
                return refuse(refusal);
            }
            return policy.precedesRefusal(
                    attempt.enteredMs,
                    lastFullMs.get(attempt.customer) ?? Number.NEGATIVE_INFINITY,
                )
                ? refuse(refusals.storeFull("may-have-run"))
                : start(attempt, fingerprint, nowMs);
        },
    };
}

function refuse(refusal: OperationRefusal): OwnerDecision {
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
