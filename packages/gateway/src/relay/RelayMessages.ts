import type { AcceptWait } from "../CallerConnections.js";

/** What a VM knows of the catalog that the platform publishes. */
export interface CatalogState {
    /** Version of the configuration that is in force at the VM; 0 if it knows none. */
    readonly configVersion: number;
    /** Age in ms of its copy of the catalog. */
    readonly catalogAgeMs: number;
}

/** What a VM asks of another one as it connects to the port for relayed connections. */
export type RelayRequest =
    /** To serve the caller whose bytes follow once the request has been accepted. */
    | ConnectionRequest
    /** To end the connections that it serves for the sender, which drains. */
    | { readonly kind: "drain"; };

/** States for how long the connection has waited, up to 65 s. */
export interface ConnectionRequest extends CatalogState, AcceptWait {
    readonly kind: "connection";
}

/** The answer to the request to serve a caller. */
export interface RelayAnswer {
    readonly isAccepted: boolean;
    /** Processor time in cores that the VM can spare now. */
    readonly spareCores: number;
}

export const relayRequestBytes = 20;
export const relayAnswerBytes = 4;

/** First byte of all messages, and the version of this protocol: from 2 on, what the serving VM sends is framed. */
const protocolByte = 0xe7;
const version = 2;
const kindBytes = { connection: 1, drain: 2 } as const;
const maxUint16 = 0xffff;
const maxUint32 = 0xffff_ffff;

export function encodeRelayRequest(request: RelayRequest): Buffer {
    const bytes = Buffer.alloc(relayRequestBytes);
    bytes.set([protocolByte, version, kindBytes[request.kind]]);
    if (request.kind === "connection") {
        bytes.writeUInt16BE(toUint16(request.waitMs), 4);
        bytes.writeUInt16BE(toUint16(request.minWaitMs), 6);
        bytes.writeUInt32BE(toUint32(request.catalogAgeMs), 8);
        bytes.writeDoubleBE(request.configVersion, 12);
    }
    return bytes;
}

const toUint16 = (value: number): number => Math.min(maxUint16, Math.max(0, Math.round(value)));
const toUint32 = (value: number): number => Math.min(maxUint32, Math.max(0, Math.round(value)));

/** Decodes the first `relayRequestBytes` of a connection; undefined if they are no request of this version. */
export function decodeRelayRequest(bytes: Buffer): RelayRequest | undefined {
    if (bytes.length < relayRequestBytes || bytes[0] !== protocolByte || bytes[1] !== version) {
        return undefined;
    }
    switch (bytes[2]) {
        case kindBytes.connection:
            return {
                kind: "connection",
                waitMs: bytes.readUInt16BE(4),
                minWaitMs: bytes.readUInt16BE(6),
                catalogAgeMs: bytes.readUInt32BE(8),
                configVersion: bytes.readDoubleBE(12),
            };
        case kindBytes.drain:
            return { kind: "drain" };
        default:
            return undefined;
    }
}

export function encodeRelayAnswer({ isAccepted, spareCores }: RelayAnswer): Buffer {
    const bytes = Buffer.alloc(relayAnswerBytes);
    bytes.set([protocolByte, isAccepted ? 1 : 0]);
    bytes.writeUInt16BE(toUint16(spareCores * 1_000), 2);
    return bytes;
}

/** Decodes the first `relayAnswerBytes` of the response; undefined if they are no answer. */
export function decodeRelayAnswer(bytes: Buffer): RelayAnswer | undefined {
    if (bytes.length < relayAnswerBytes || bytes[0] !== protocolByte) {
        return undefined;
    }
    return { isAccepted: bytes[1] === 1, spareCores: bytes.readUInt16BE(2) / 1_000 };
}
