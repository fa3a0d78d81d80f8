import * as protobuf from "@bufbuild/protobuf";
import { type Heartbeat, type HeartbeatAck, HeartbeatAckSchema, HeartbeatSchema } from "./gen/membership_pb.js";
import type { HeardBits } from "./HeardDigest.js";
import type { EncodedSection } from "./SectionSet.js";

/** What a VM says of itself in heartbeats and their acknowledgements. */
export interface SelfNews {
    readonly incarnation: number;
    readonly documentVersion: number;
    /** SHA-256 of the document's text in hex, or its first 16 digits. */
    readonly documentDigest: string;
}

export interface HeartbeatFields extends SelfNews {
    readonly sections: readonly EncodedSection[];
    readonly heard: HeardBits | undefined;
}

const digestBytes = 8;

function toWire(news: SelfNews): { incarnation: bigint; documentVersion: bigint; documentDigest: Uint8Array; } {
    return {
        incarnation: BigInt(news.incarnation),
        documentVersion: BigInt(news.documentVersion),
        documentDigest: Buffer.from(news.documentDigest.slice(0, digestBytes * 2), "hex"),
    };
}

function fromWire(message: Heartbeat | HeartbeatAck): SelfNews {
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

/** Returns undefined for bytes that are not a heartbeat. */
export function decodeHeartbeat(bytes: Uint8Array): HeartbeatFields | undefined {
    const message = decode(HeartbeatSchema, bytes);
    return message && { ...fromWire(message), sections: message.sections, heard: message.heard };
}

export function encodeAck(news: SelfNews): Uint8Array {
    return protobuf.toBinary(HeartbeatAckSchema, protobuf.create(HeartbeatAckSchema, toWire(news)));
}

/** Returns undefined for bytes that are not an acknowledgement. */
export function decodeAck(bytes: Uint8Array): SelfNews | undefined {
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
