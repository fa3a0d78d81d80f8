import type * as core from "@peridotloft/core";
import type { OperationRefusal } from "./OperationStore.js";

/** `not-run` is certain, because no VM accepts a token of this form. */
export function malformedToken(reason: string): OperationRefusal {
    return { verdict: "not-run", kind: "invalid-token", message: reason, statusCode: 400 };
}

/** The ticket may be forged or signed with an earlier secret; in the second case its operation may have run. */
export function wrongSignature(): OperationRefusal {
    return {
        verdict: "may-have-run",
        kind: "invalid-token",
        message: "the signature of the operation ticket is invalid; request a new ticket from POST /v1/operations",
        statusCode: 400,
    };
}

/** The refusal does not depend on whether the other customer used the ticket. */
export function otherCustomer(): OperationRefusal {
    return malformedToken("the operation ticket was issued to another customer");
}

export function expiredTicket(): OperationRefusal {
    return {
        verdict: "may-have-run",
        kind: "expired-token",
        message: "the operation ticket has expired; an earlier request with it may have run",
        statusCode: 410,
    };
}

export function restartedIssuer(vm: string): OperationRefusal {
    return {
        verdict: "may-have-run",
        kind: "unknown-history",
        message: `VM ${vm} has restarted since it issued the operation ticket; the operation will not run again`,
        statusCode: 410,
    };
}

export function differentRequest(): OperationRefusal {
    return {
        verdict: "not-run",
        kind: "different-request",
        message: "the token was used before with another method, target or body; this request was not run",
        statusCode: 422,
    };
}

export function unknownHistory(reason: string): OperationRefusal {
    return { verdict: "may-have-run", kind: "unknown-history", message: reason, statusCode: 503 };
}

export function ownerUnreachable(vm: string, verdict: core.Verdict, reason: string): OperationRefusal {
    return {
        verdict,
        kind: "owner-unreachable",
        message: `VM ${vm}, which owns the operation, did not reply: ${reason}`,
        statusCode: 503,
    };
}

export function storeFull(verdict: core.Verdict): OperationRefusal {
    return {
        verdict,
        kind: "store-full",
        message: "the operation store is full; it has room again when earlier operations have expired",
        statusCode: 503,
    };
}

export function failedExecution(reason: string): OperationRefusal {
    return { verdict: "may-have-run", kind: "failed", message: reason, statusCode: 502 };
}

/** Refuses resends of an operation whose response did not fit in the store; the first caller received it. */
export function responseNotStored(): OperationRefusal {
    return {
        verdict: "ran",
        kind: "failed",
        message: "the operation ran; its response was too large to store",
        statusCode: 502,
    };
}
