import * as protobuf from "@bufbuild/protobuf";
import { createHmac, type Hmac, timingSafeEqual } from "node:crypto";
import { type Envelope, EnvelopeSchema, type Reply, ReplySchema } from "./gen/peering_pb.js";

// Domain separation: distinct labels prevent the MAC of an envelope from being valid for a reply.
const envelopeLabel = "peridotloft-envelope-1";
const replyLabel = "peridotloft-reply-1";

export type EnvelopeFields = Pick<
    Envelope,
    "sender" | "incarnation" | "receiver" | "receiverIncarnation" | "counter" | "slice" | "payload"
>;
export type ReplyFields = Pick<Reply, "outcome" | "error" | "payload" | "incarnation">;

/** Creates an envelope with its MAC. */
export function signEnvelope(secret: string, fields: EnvelopeFields): Envelope {
    return protobuf.create(EnvelopeSchema, { ...fields, mac: macOfEnvelope(secret, fields) });
}

/** Whether the MAC is valid: the sender has the secret and the envelope is unmodified. */
export function isAuthenticEnvelope(secret: string, envelope: Envelope): boolean {
    return equalMacs(envelope.mac, macOfEnvelope(secret, envelope));
}

/**
 * Creates the reply to the request with the given MAC. Its own MAC is valid only for that request and that VM, so that a
 * copy of the request sent to another VM cannot produce a valid refusal of a request that was handled.
 */
export function signReply(secret: string, replier: string, requestMac: Uint8Array, fields: ReplyFields): Reply {
    return protobuf.create(ReplySchema, { ...fields, mac: macOfReply(secret, replier, requestMac, fields) });
}

export function isAuthenticReply(secret: string, request: Envelope, reply: Reply): boolean {
    return equalMacs(reply.mac, macOfReply(secret, request.receiver, request.mac, reply));
}

function macOfEnvelope(secret: string, fields: EnvelopeFields): Uint8Array {
    const hmac = createHmac("sha256", secret);
    addField(hmac, envelopeLabel);
    addField(hmac, fields.sender);
    addField(hmac, fields.incarnation.toString());
    addField(hmac, fields.receiver);
    addField(hmac, fields.receiverIncarnation.toString());
    addField(hmac, fields.counter.toString());
    addField(hmac, fields.slice);
    addField(hmac, fields.payload);
    return hmac.digest();
}

function macOfReply(secret: string, replier: string, requestMac: Uint8Array, fields: ReplyFields): Uint8Array {
    const hmac = createHmac("sha256", secret);
    addField(hmac, replyLabel);
    addField(hmac, replier);
    addField(hmac, requestMac);
    addField(hmac, fields.outcome.toString());
    addField(hmac, fields.incarnation.toString());
    addField(hmac, fields.error);
    addField(hmac, fields.payload);
    return hmac.digest();
}

// Each field is prefixed with its length, so that bytes cannot be shifted between adjacent fields.
function addField(hmac: Hmac, value: string | Uint8Array): void {
    const bytes = typeof value === "string" ? Buffer.from(value) : value;
    const length = Buffer.alloc(4);
    length.writeUInt32BE(bytes.length);
    hmac.update(length);
    hmac.update(bytes);
}

function equalMacs(left: Uint8Array, right: Uint8Array): boolean {
    return left.length === right.length && timingSafeEqual(left, right);
}
