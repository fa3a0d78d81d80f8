import * as protobuf from "@bufbuild/protobuf";
import * as core from "@peridotloft/core";
import { err, ok, type Result } from "neverthrow";
import { createHmac, timingSafeEqual } from "node:crypto";
import { TicketSchema } from "./gen/operations_pb.js";
import * as constants from "./OperationConstants.js";
import * as refusals from "./OperationRefusals.js";
import type { OperationRefusal } from "./OperationStore.js";

/** The contents of a ticket. Only the incarnation that issued it can compare `expiresMs` with its clock. */
export interface TicketContents {
    readonly vm: core.VmId;
    readonly incarnation: number;
    readonly customer: core.CustomerId;
    /** Random id in hex. */
    readonly operationId: string;
    /** Time in ms on the issuing incarnation's own clock. */
    readonly expiresMs: number;
}

// Distinguishes signatures of tickets from other uses of the same secret.
const signatureContext = "peridotloft operation ticket v1\n";

/** Encodes and signs a ticket: base64url of the protobuf message followed by its HMAC-SHA256. */
export function signTicket(contents: TicketContents, secret: string): string {
    const message = protobuf.create(TicketSchema, {
        vm: contents.vm,
        incarnation: BigInt(contents.incarnation),
        customer: contents.customer,
        operationId: Buffer.from(contents.operationId, "hex"),
        expiresMs: contents.expiresMs,
    });
    const payload = protobuf.toBinary(TicketSchema, message);
    return Buffer.concat([payload, signatureOf(payload, secret)]).toString("base64url");
}

/** Checks the form of a ticket and, in constant time, its signature. Does not check its expiry. */
export function verifyTicket(ticket: string, secret: string): Result<TicketContents, OperationRefusal> {
    if (ticket.length > constants.maxTicketLength) {
        return err(
            refusals.malformedToken(`the operation ticket is longer than ${constants.maxTicketLength} characters`),
        );
    }
    const bytes = Buffer.from(ticket, "base64url");
    if (bytes.length <= constants.signatureBytes) {
        return err(refusals.malformedToken("the operation ticket is too short"));
    }
    const payload = bytes.subarray(0, -constants.signatureBytes);
    const signature = bytes.subarray(-constants.signatureBytes);
    return timingSafeEqual(signature, signatureOf(payload, secret))
        ? decodeContents(payload)
        : err(refusals.wrongSignature());
}

function signatureOf(payload: Uint8Array, secret: string): Buffer {
    return createHmac("sha256", secret).update(signatureContext).update(payload).digest();
}

function decodeContents(payload: Uint8Array): Result<TicketContents, OperationRefusal> {
    try {
        const message = protobuf.fromBinary(TicketSchema, payload);
        return ok({
            vm: core.vmId(message.vm),
            incarnation: Number(message.incarnation),
            customer: core.customerId(message.customer),
            operationId: Buffer.from(message.operationId).toString("hex"),
            expiresMs: message.expiresMs,
        });
    }
    catch {
        return err(refusals.malformedToken("the operation ticket cannot be decoded"));
    }
}
