import { create, type DescMessage, fromBinary, type MessageShape, toBinary } from "@bufbuild/protobuf";
import type * as core from "@peridotloft/core";
import { err, ok, type Result } from "neverthrow";
import * as gen from "./gen/scheduling_pb.js";
import * as constants from "./SchedulingConstants.js";

export type RequestKind = Exclude<gen.SchedulingRequest["kind"], { case: undefined; }>;

/** Decodes a message from another VM; returns a description of the error if the bytes are malformed. */
export function decode<T extends DescMessage>(schema: T, payload: Uint8Array): Result<MessageShape<T>, string> {
    try {
        return ok(fromBinary(schema, payload));
    }
    catch (error) {
        return err(`malformed ${schema.typeName}: ${String(error)}`);
    }
}

/** Sends messages to the schedulers of other VMs. */
export interface MessageSender {
    call(to: core.VmId, kind: RequestKind): Promise<Result<Uint8Array, core.PeerError>>;
}

export function createMessageSender(transport: core.PeerTransport, incarnation: number): MessageSender {
    return {
        call: (to, kind) =>
            transport.call(
                to,
                constants.sliceName,
                toBinary(gen.SchedulingRequestSchema, create(gen.SchedulingRequestSchema, { incarnation, kind })),
                constants.callTimeoutMs,
            ),
    };
}
