import * as protobuf from "@bufbuild/protobuf";
import type * as core from "@peridotloft/core";
import * as documents from "@peridotloft/document";
import { err, ok, type Result } from "neverthrow";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { ActiveDocument } from "./DocumentFeed.js";
import type { DocumentStore, ReceivedText } from "./DocumentStore.js";
import {
    type DocumentAnswer,
    DocumentAnswerSchema,
    type DocumentRequest,
    DocumentRequestSchema,
} from "./gen/platform_pb.js";
import { applyPatches, type DocumentPatch } from "./PatchHistory.js";
import * as constants from "./PlatformConstants.js";

/** Version and digest of a peer's active document; version 0 while it has none. */
export interface PeerVersion {
    readonly version: number;
    readonly digest: string;
}

/** Exchanges the document with other VMs. */
export interface DocumentExchange {
    /** Handles requests from peers. */
    readonly handler: core.SliceHandler;
    requestVersion(peer: core.VmId): Promise<Result<PeerVersion, string>>;
    /** Fetches the peer's document if it is newer than `known`; otherwise the result is ok with undefined. */
    fetch(peer: core.VmId, known: ActiveDocument | undefined): Promise<Result<ReceivedText | undefined, string>>;
}

type ReplyFields = Partial<Pick<DocumentAnswer, "version" | "digest" | "whole" | "patches">>;
type RequestFields = Partial<Pick<DocumentRequest, "knownVersion" | "knownDigest" | "versionOnly">>;

// Compression blocks the event loop; level 1 takes a few ms for 1 MB.
const compressionLevel = 1;

export function createDocumentExchange(endpoint: core.PeerTransport, store: DocumentStore): DocumentExchange {
    let compressed: { readonly digest: string; readonly bytes: Uint8Array; } | undefined;

    const compressedTextOf = ({ text, digest }: ActiveDocument): Uint8Array => {
        if (compressed?.digest !== digest) {
            compressed = { digest, bytes: deflateRawSync(text, { level: compressionLevel }) };
        }
        return compressed.bytes;
    };
    const contentFor = (request: DocumentRequest, current: ActiveDocument): ReplyFields => {
        if (request.versionOnly || Number(request.knownVersion) >= current.document.version) {
            return {};
        }
        const patches = store.history.patchesFrom(toHex(request.knownDigest));
        return patches ? { patches: deflateRawSync(JSON.stringify(patches)) } : { whole: compressedTextOf(current) };
    };
    const replyTo = (request: DocumentRequest): ReplyFields => {
        const current = store.activeDocument.read();
        return current === undefined ? {} : {
            version: BigInt(current.document.version),
            digest: Buffer.from(current.digest, "hex"),
            ...contentFor(request, current),
        };
    };
    const call = async (peer: core.VmId, fields: RequestFields): Promise<Result<DocumentAnswer, string>> => {
        const bytes = protobuf.toBinary(DocumentRequestSchema, protobuf.create(DocumentRequestSchema, fields));
        const reply = await endpoint.call(peer, constants.platformSlice, bytes, constants.peerTimeoutMs);
        return reply.mapErr(error => error.message).andThen(payload =>
            decode(DocumentAnswerSchema, payload, `malformed reply from ${peer}`)
        );
    };

    return {
        async handler(_from, payload) {
            return decode(DocumentRequestSchema, payload, "malformed request").map(request =>
                protobuf.toBinary(DocumentAnswerSchema, protobuf.create(DocumentAnswerSchema, replyTo(request)))
            );
        },
        async requestVersion(peer) {
            const reply = await call(peer, { versionOnly: true });
            return reply.map(({ version, digest }) => ({ version: Number(version), digest: toHex(digest) }));
        },
        async fetch(peer, known) {
            const reply = await call(peer, {
                knownVersion: BigInt(known?.document.version ?? 0),
                knownDigest: Buffer.from(known?.digest ?? "", "hex"),
            });
            const result = reply.andThen(value => decodeReply(value, peer, known));
            if (result.isOk() || !reply.isOk() || reply.value.patches.length === 0) {
                return result;
            }
            // The patches did not produce the announced text. The peer sends the full text if the request has no digest.
            const fullReply = await call(peer, { knownVersion: BigInt(known?.document.version ?? 0) });
            return fullReply.andThen(value => decodeReply(value, peer, undefined));
        },
    };
}

function decodeReply(
    reply: DocumentAnswer,
    peer: core.VmId,
    known: ActiveDocument | undefined,
): Result<ReceivedText | undefined, string> {
    const digest = toHex(reply.digest);
    const source = `peer ${peer}`;
    try {
        if (reply.patches.length > 0 && known) {
            const patches = JSON.parse(inflate(reply.patches)) as DocumentPatch[];
            const text = applyPatches(known.text, patches, digest);
            return text === undefined
                ? err(`patches from ${peer} do not produce the announced document`)
                : ok({ text, source, patches });
        }
        if (reply.whole.length === 0) {
            return ok(undefined);
        }
        const text = inflate(reply.whole);
        return documents.digestOf(text) === digest
            ? ok({ text, source })
            : err(`document from ${peer} does not match its digest`);
    }
    catch (error) {
        return err(`cannot decode the document from ${peer}: ${(error as Error).message}`);
    }
}

function inflate(bytes: Uint8Array): string {
    return inflateRawSync(bytes, { maxOutputLength: documents.maxDocumentBytes }).toString();
}

function toHex(bytes: Uint8Array): string {
    return Buffer.from(bytes).toString("hex");
}

function decode<Schema extends protobuf.DescMessage>(
    schema: Schema,
    bytes: Uint8Array,
    errorMessage: string,
): Result<protobuf.MessageShape<Schema>, string> {
    try {
        return ok(protobuf.fromBinary(schema, bytes));
    }
    catch {
        return err(errorMessage);
    }
}
