import * as protobuf from "@bufbuild/protobuf";
import * as core from "@peridotloft/core";
import { err, ok, type Result } from "neverthrow";
import * as gen from "./gen/operations_pb.js";
import type { OperationRefusal, OperationRequest, OperationResponse, OperationToken } from "./OperationStore.js";
import type { OperationOutcome } from "./OperationTable.js";

/** A reading of the owner's clock. A message that carries it was sent after the reading. */
export interface Stamp {
    readonly incarnation: number;
    readonly timeMs: number;
}

/** One attempt of an operation that is forwarded to the owner. */
export interface ForwardedAttempt {
    readonly stamp: Stamp;
    /** Time in ms since the attempt arrived at the sender, on the sender's clock. */
    readonly ageMs: number;
    readonly customer: core.CustomerId;
    readonly token: OperationToken;
    readonly request: OperationRequest;
}

export type OwnerRequest =
    | { readonly kind: "stamp"; }
    | { readonly kind: "forward"; readonly attempt: ForwardedAttempt; };

export type OwnerReply =
    | { readonly kind: "stamp"; readonly stamp: Stamp; }
    | { readonly kind: "outcome"; readonly outcome: OperationOutcome; }
    | { readonly kind: "redirect"; readonly owner: core.VmId; };

export function encodeStampRequest(): Uint8Array {
    return encodeRequest({ case: "stamp", value: protobuf.create(gen.StampRequestSchema) });
}

export function encodeForward(attempt: ForwardedAttempt): Uint8Array {
    const token = attempt.token.kind === "key"
        ? { case: "key" as const, value: attempt.token.key }
        : { case: "ticket" as const, value: attempt.token.ticket };
    const forward = protobuf.create(gen.ForwardSchema, {
        stamp: stampMessage(attempt.stamp),
        ageMs: attempt.ageMs,
        customer: attempt.customer,
        token,
        request: { ...attempt.request, headers: headerMessages(attempt.request.headers) },
    });
    return encodeRequest({ case: "forward", value: forward });
}

/** Decodes a message to the owner; undefined when it is malformed. */
export function decodeRequest(payload: Uint8Array): OwnerRequest | undefined {
    const { kind } = decode(gen.PeerRequestSchema, payload) ?? {};
    if (kind?.case === "stamp") {
        return { kind: "stamp" };
    }
    const attempt = kind?.case === "forward" ? attemptOf(kind.value) : undefined;
    return attempt && { kind: "forward", attempt };
}

export function encodeReply(reply: OwnerReply): Uint8Array {
    return protobuf.toBinary(gen.PeerAnswerSchema, protobuf.create(gen.PeerAnswerSchema, { kind: replyKind(reply) }));
}

/** Decodes the owner's reply; undefined when it is malformed. */
export function decodeReply(payload: Uint8Array): OwnerReply | undefined {
    const { kind } = decode(gen.PeerAnswerSchema, payload) ?? {};
    switch (kind?.case) {
        case "stamp":
            return { kind: "stamp", stamp: stampOf(kind.value) };
        case "redirect":
            return { kind: "redirect", owner: core.vmId(kind.value.vm) };
        case "response":
            return { kind: "outcome", outcome: ok({ ...kind.value, headers: headersOf(kind.value.headers) }) };
        case "refusal":
            return { kind: "outcome", outcome: err(refusalOf(kind.value)) };
        default:
            return undefined;
    }
}

function encodeRequest(kind: gen.PeerRequest["kind"]): Uint8Array {
    return protobuf.toBinary(gen.PeerRequestSchema, protobuf.create(gen.PeerRequestSchema, { kind }));
}

function decode<S extends protobuf.DescMessage>(schema: S, payload: Uint8Array): protobuf.MessageShape<S> | undefined {
    try {
        return protobuf.fromBinary(schema, payload);
    }
    catch {
        return undefined;
    }
}

function replyKind(reply: OwnerReply): gen.PeerAnswer["kind"] {
    switch (reply.kind) {
        case "stamp":
            return { case: "stamp", value: stampMessage(reply.stamp) };
        case "redirect":
            return { case: "redirect", value: protobuf.create(gen.RedirectSchema, { vm: reply.owner }) };
        case "outcome":
            return outcomeKind(reply.outcome);
    }
}

function outcomeKind(outcome: Result<OperationResponse, OperationRefusal>): gen.PeerAnswer["kind"] {
    if (outcome.isErr()) {
        return { case: "refusal", value: protobuf.create(gen.RefusalSchema, outcome.error) };
    }
    const response = { ...outcome.value, headers: headerMessages(outcome.value.headers) };
    return { case: "response", value: protobuf.create(gen.ResponseSchema, response) };
}

function stampMessage(stamp: Stamp): gen.Stamp {
    return protobuf.create(gen.StampSchema, { incarnation: BigInt(stamp.incarnation), timeMs: stamp.timeMs });
}

function stampOf(message: gen.Stamp): Stamp {
    return { incarnation: Number(message.incarnation), timeMs: message.timeMs };
}

function headerMessages(headers: OperationRequest["headers"]): { name: string; value: string; }[] {
    return headers.map(([name, value]) => ({ name, value }));
}

function headersOf(headers: readonly gen.Header[]): (readonly [string, string])[] {
    return headers.map(({ name, value }) => [name, value] as const);
}

function attemptOf(message: gen.Forward): ForwardedAttempt | undefined {
    const { stamp, token, request } = message;
    if (!stamp || !request || token.case === undefined) {
        return undefined;
    }
    return {
        stamp: stampOf(stamp),
        ageMs: message.ageMs,
        customer: core.customerId(message.customer),
        token: token.case === "key" ? { kind: "key", key: token.value } : { kind: "ticket", ticket: token.value },
        request: {
            route: core.routeId(request.route),
            method: request.method,
            target: request.target,
            headers: headersOf(request.headers),
            body: request.body,
        },
    };
}

function refusalOf(message: gen.Refusal): OperationRefusal {
    return {
        // The sender is authenticated and runs the same code, so the texts are values of these types.
        verdict: message.verdict as core.Verdict,
        kind: message.kind as OperationRefusal["kind"],
        message: message.message,
        statusCode: message.statusCode,
    };
}
