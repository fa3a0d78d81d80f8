import * as core from "@peridotloft/core";
import { err, ok, type Result } from "neverthrow";
import * as constants from "./OperationConstants.js";
import * as refusals from "./OperationRefusals.js";
import type { OperationRefusal, OperationToken } from "./OperationStore.js";
import { type TicketContents, verifyTicket } from "./OperationTicket.js";

/** The operation that a token names. Operations are scoped by customer. */
export type OperationIdentity =
    | { readonly kind: "key"; readonly id: string; readonly resource: string; }
    | { readonly kind: "ticket"; readonly id: string; readonly ticket: TicketContents; };

/** Identifies the operation of a token. Refuses a token that is malformed, forged or of another customer. */
export function identifyOperation(
    token: OperationToken,
    customer: core.CustomerId,
    secret: string,
): Result<OperationIdentity, OperationRefusal> {
    return token.kind === "key"
        ? identifyByKey(token.key, customer)
        : verifyTicket(token.ticket, secret).andThen(ticket => identifyByTicket(ticket, customer));
}

function identifyByKey(key: string, customer: core.CustomerId): Result<OperationIdentity, OperationRefusal> {
    const bytes = Buffer.byteLength(key);
    if (bytes === 0 || bytes > constants.maxKeyBytes) {
        const limit = constants.maxKeyBytes;
        return err(refusals.malformedToken(`the idempotency key has ${bytes} bytes; 1 to ${limit} are allowed`));
    }
    // Customer ids contain no slash, so keys of different customers yield different names.
    const resource = `operation/${customer}/${key}`;
    return ok({ kind: "key", id: `key/${customer}/${key}`, resource });
}

function identifyByTicket(
    ticket: TicketContents,
    customer: core.CustomerId,
): Result<OperationIdentity, OperationRefusal> {
    return ticket.customer === customer
        ? ok({ kind: "ticket", id: `ticket/${customer}/${ticket.operationId}`, ticket })
        : err(refusals.otherCustomer());
}
