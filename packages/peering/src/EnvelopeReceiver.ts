import * as protobuf from "@bufbuild/protobuf";
import type * as core from "@peridotloft/core";
import { vmId } from "@peridotloft/core";
import { isAuthenticEnvelope, type ReplyFields, sealReply } from "./EnvelopeCodec.js";
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

/** Checks each envelope and passes it to the handler of its slice. Never rejects. */
export function createEnvelopeReceiver(options: EnvelopeReceiverOptions): (envelope: Envelope) => Promise<Reply> {
    const { self, secret, counters } = options;
    return async envelope => {
        counters.received++;
        if (!isAuthenticEnvelope(secret, envelope)) {
            counters.refusedMac++;
            // Not sealed: with the MAC of another request, the reply would pass for a refusal of that request.
            return protobuf.create(ReplySchema, withoutPayload(Outcome.REFUSED, "wrong MAC"));
        }
        const refusal = checkEnvelope(options, envelope);
        if (refusal) {
            counters[refusal.counter]++;
            return sealReply(secret, self, envelope.mac, withoutPayload(refusal.outcome, refusal.reason));
        }
        if (envelope.receiverIncarnation === 0n) {
            return sealReply(secret, self, envelope.mac, {
                ...withoutPayload(Outcome.GREETED, ""),
                incarnation: options.incarnation,
            });
        }
        counters.handled++;
        return sealReply(secret, self, envelope.mac, await runHandler(options, envelope));
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
        const reason = `meant for ${envelope.receiver}, received by ${options.self}`;
        return { counter: "refusedReceiver", outcome, reason };
    }
    const repeated = checkRun(options.incarnation, envelope) ?? checkRepeated(options.replayGuard, envelope);
    if (repeated || envelope.receiverIncarnation === 0n) {
        return repeated;
    }
    return options.handlerOf(envelope.slice)
        ? undefined
        : { counter: "refusedSlice", outcome, reason: `slice '${envelope.slice}' is unknown` };
}

function checkRun(incarnation: bigint, envelope: Envelope): Refusal | undefined {
    const meantFor = envelope.receiverIncarnation;
    return meantFor === 0n || meantFor === incarnation ? undefined : {
        counter: "refusedOtherRun",
        outcome: Outcome.REPEATED,
        reason: `meant for run ${meantFor}, received by run ${incarnation}`,
    };
}

function checkRepeated(replayGuard: ReplayGuard, envelope: Envelope): Refusal | undefined {
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
            error => withoutPayload(Outcome.FAILED, error),
        ) ?? withoutPayload(Outcome.REFUSED, `slice '${envelope.slice}' is unknown`);
    }
    catch (error) {
        return withoutPayload(Outcome.FAILED, `handler of slice '${envelope.slice}' threw: ${String(error)}`);
    }
}

function withoutPayload(outcome: Outcome, error: string): ReplyFields {
    return { outcome, error, payload: new Uint8Array(), incarnation: 0n };
}
