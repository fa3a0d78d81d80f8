import * as protobuf from "@bufbuild/protobuf";
import { type Heartbeat, type HeartbeatAck, HeartbeatAckSchema, HeartbeatSchema } from "./gen/membership_pb.js";
import type { LivenessBits } from "./LivenessDigest.js";
import type { EncodedSection } from "./SectionSet.js";

/** A VM's own status as sent in heartbeats and acknowledgements. */
export interface VmStatus {
    readonly incarnation: number;
    readonly documentVersion: number;
    /** SHA-256 of the document's text in hex, or its first 16 digits. */
    readonly documentDigest: string;
}

export interface HeartbeatFields extends VmStatus {
    readonly sections: readonly EncodedSection[];
    readonly heard: LivenessBits | undefined;
}

const digestBytes = 8;

function toWire(status: VmStatus): { incarnation: bigint; documentVersion: bigint; documentDigest: Uint8Array; } {
    return {
        incarnation: BigInt(status.incarnation),
        documentVersion: BigInt(status.documentVersion),
        documentDigest: Buffer.from(status.documentDigest.slice(0, digestBytes * 2), "hex"),
    };
}

function fromWire(message: Heartbeat | HeartbeatAck): VmStatus {
    return {
        incarnation: Number(message.incarnation),
        documentVersion: Number(message.documentVersion),
        documentDigest: Buffer.from(message.documentDigest).toString("hex"),
    };
}

export function encodeHeartbeat(fields: HeartbeatFields): Uint8Array {
    const { sections, heard } = fields;
    const message = protobuf.create(HeartbeatSchema, {
        ...toWire(fields),
        sections: sections.map(({ name, payload }) => ({ name, payload })),
        ...(heard && { heard: { ...heard } }),
    });
    return protobuf.toBinary(HeartbeatSchema, message);
}

/** Decodes a heartbeat; undefined if malformed. */
export function decodeHeartbeat(bytes: Uint8Array): HeartbeatFields | undefined {
    const message = decode(HeartbeatSchema, bytes);
    return message && { ...fromWire(message), sections: message.sections, heard: message.heard };
}

export function encodeAck(status: VmStatus): Uint8Array {
    return protobuf.toBinary(HeartbeatAckSchema, protobuf.create(HeartbeatAckSchema, toWire(status)));
}

/** Decodes an acknowledgement; undefined if malformed. */
export function decodeAck(bytes: Uint8Array): VmStatus | undefined {
    const message = decode(HeartbeatAckSchema, bytes);
    return message && fromWire(message);
}

function decode<Schema extends protobuf.DescMessage>(
    schema: Schema,
    bytes: Uint8Array,
): protobuf.MessageShape<Schema> | undefined {
    try {
        return protobuf.fromBinary(schema, bytes);
    }
    catch {
        return undefined;
    }
}
