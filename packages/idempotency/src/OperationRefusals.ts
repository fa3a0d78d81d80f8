import type * as core from "@peridotloft/core";
import type { OperationRefusal } from "./OperationStore.js";

/** No VM accepts a token of this form, so no operation has run with it. */
export function malformedToken(reason: string): OperationRefusal {
    return { verdict: "not-run", kind: "invalid-token", message: reason, statusCode: 400 };
}

/** A wrong signature is either a forgery or the signature of an earlier secret; a ticket of the latter kind may have run. */
export function wrongSignature(): OperationRefusal {
    return {
        verdict: "may-have-run",
        kind: "invalid-token",
        message: "the signature of the operation ticket is wrong; request a new ticket from POST /v1/operations",
        statusCode: 400,
    };
}

/** The answer is the same whether or not the other customer used the ticket. */
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
        message: `VM ${vm}, which owns the operation, did not answer: ${reason}`,
        statusCode: 503,
    };
}

export function storeFull(verdict: core.Verdict): OperationRefusal {
    return {
        verdict,
        kind: "store-full",
        message: "the store of operations is full; it has room again when earlier operations expire",
        statusCode: 503,
    };
}

export function failedExecution(reason: string): OperationRefusal {
    return { verdict: "may-have-run", kind: "failed", message: reason, statusCode: 502 };
}

/** Resends of an operation whose answer did not fit; the first caller received it. */
export function answerNotStored(): OperationRefusal {
    return {
        verdict: "ran",
        kind: "failed",
        message: "the operation ran; its answer was too large to store",
        statusCode: 502,
    };
}
