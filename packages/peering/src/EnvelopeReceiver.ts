import * as protobuf from "@bufbuild/protobuf";
import type * as core from "@peridotloft/core";
import { vmId } from "@peridotloft/core";
import { isAuthenticEnvelope, type ReplyFields, signReply } from "./EnvelopeCodec.js";
import { type Envelope, Outcome, type Reply, ReplySchema } from "./gen/peering_pb.js";
import type { PeerCounters } from "./PeerCounters.js";
import * as constants from "./PeeringConstants.js";
import type { ReplayGuard } from "./ReplayGuard.js";

export interface EnvelopeReceiverOptions {
    readonly self: core.VmId;
    readonly incarnation: bigint;
    readonly secret: string;
    readonly counters: PeerCounters;
    readonly replayGuard: ReplayGuard;
    readonly handlerOf: (slice: string) => core.SliceHandler | undefined;
}

interface Refusal {
    readonly counter: keyof PeerCounters;
    readonly outcome: Outcome;
    readonly reason: string;
}

/** Verifies each envelope and passes its payload to the handler of its slice. Never rejects. */
export function createEnvelopeReceiver(options: EnvelopeReceiverOptions): (envelope: Envelope) => Promise<Reply> {
    const { self, secret, counters } = options;
    return async envelope => {
        counters.received++;
        if (!isAuthenticEnvelope(secret, envelope)) {
            counters.refusedMac++;
            // Not signed: the MAC may be copied from another request, for which a signed reply would be a valid refusal.
            return protobuf.create(ReplySchema, emptyReply(Outcome.REFUSED, "wrong MAC"));
        }
        const refusal = checkEnvelope(options, envelope);
        if (refusal) {
            counters[refusal.counter]++;
            return signReply(secret, self, envelope.mac, emptyReply(refusal.outcome, refusal.reason));
        }
        if (envelope.receiverIncarnation === 0n) {
            return signReply(secret, self, envelope.mac, {
                ...emptyReply(Outcome.GREETED, ""),
                incarnation: options.incarnation,
            });
        }
        counters.handled++;
        return signReply(secret, self, envelope.mac, await runHandler(options, envelope));
    };
}

function checkEnvelope(options: EnvelopeReceiverOptions, envelope: Envelope): Refusal | undefined {
    const outcome = Outcome.REFUSED;
    const sizeBytes = envelope.payload.length;
    if (sizeBytes > constants.maxPayloadBytes) {
        const reason = `payload of ${sizeBytes} bytes is above the limit of ${constants.maxPayloadBytes}`;
        return { counter: "refusedSize", outcome, reason };
    }
    if (envelope.receiver !== options.self) {
        const reason = `addressed to ${envelope.receiver}, received by ${options.self}`;
        return { counter: "refusedReceiver", outcome, reason };
    }
    const replayRefusal = checkReceiverIncarnation(options.incarnation, envelope)
        ?? checkReplay(options.replayGuard, envelope);
    if (replayRefusal || envelope.receiverIncarnation === 0n) {
        return replayRefusal;
    }
    return options.handlerOf(envelope.slice)
        ? undefined
        : { counter: "refusedSlice", outcome, reason: `slice '${envelope.slice}' is unknown` };
}

function checkReceiverIncarnation(incarnation: bigint, envelope: Envelope): Refusal | undefined {
    const receiverIncarnation = envelope.receiverIncarnation;
    return receiverIncarnation === 0n || receiverIncarnation === incarnation ? undefined : {
        counter: "refusedOtherRun",
        outcome: Outcome.REPEATED,
        reason: `addressed to run ${receiverIncarnation}, received by run ${incarnation}`,
    };
}

function checkReplay(replayGuard: ReplayGuard, envelope: Envelope): Refusal | undefined {
    const { sender, incarnation, counter } = envelope;
    const fault = replayGuard.check(sender, incarnation, counter);
    const outcome = Outcome.REPEATED;
    if (fault === "old-incarnation") {
        const reason = `incarnation ${incarnation} of ${sender} has been replaced by a newer one`;
        return { counter: "refusedOldIncarnation", outcome, reason };
    }
    return fault && { counter: "refusedReplay", outcome, reason: `counter ${counter} was used or is too old` };
}

async function runHandler(options: EnvelopeReceiverOptions, envelope: Envelope): Promise<ReplyFields> {
    try {
        const handler = options.handlerOf(envelope.slice);
        const result = await handler?.(vmId(envelope.sender), envelope.payload);
        return result?.match(
            payload => ({ outcome: Outcome.OK, error: "", payload, incarnation: 0n }),
            error => emptyReply(Outcome.FAILED, error),
        ) ?? emptyReply(Outcome.REFUSED, `slice '${envelope.slice}' is unknown`);
    }
    catch (error) {
        return emptyReply(Outcome.FAILED, `handler of slice '${envelope.slice}' threw: ${String(error)}`);
    }
}

function emptyReply(outcome: Outcome, error: string): ReplyFields {
    return { outcome, error, payload: new Uint8Array(), incarnation: 0n };
}
