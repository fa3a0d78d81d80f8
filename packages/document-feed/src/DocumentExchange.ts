import * as protobuf from "@bufbuild/protobuf";
import type * as core from "@peridotloft/core";
import * as documents from "@peridotloft/document";
import { err, ok, type Result } from "neverthrow";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { DocumentInForce } from "./DocumentFeed.js";
import type { DocumentStore, OfferedText } from "./DocumentStore.js";
import {
    type DocumentAnswer,
    DocumentAnswerSchema,
    type DocumentRequest,
    DocumentRequestSchema,
} from "./gen/platform_pb.js";
import { applySteps, type PatchStep } from "./PatchHistory.js";
import * as constants from "./PlatformConstants.js";

/** What a peer says it has in force; version 0 while it has nothing. */
export interface PeerVersion {
    readonly version: number;
    readonly digest: string;
}

/** Exchanges the document with other VMs. */
export interface DocumentExchange {
    /** Answers the questions of a peer. */
    readonly handler: core.SliceHandler;
    askVersion(peer: core.VmId): Promise<Result<PeerVersion, string>>;
    /** Fetches the peer's document if it is newer than `known`; ok with undefined when it is not. */
    fetch(peer: core.VmId, known: DocumentInForce | undefined): Promise<Result<OfferedText | undefined, string>>;
}

type AnswerFields = Partial<Pick<DocumentAnswer, "version" | "digest" | "whole" | "patches">>;
type RequestFields = Partial<Pick<DocumentRequest, "knownVersion" | "knownDigest" | "versionOnly">>;

// Level 1 compresses 1 MB in a few ms; the event loop waits for it.
const compressionLevel = 1;

export function createDocumentExchange(endpoint: core.PeerTransport, store: DocumentStore): DocumentExchange {
    let compressed: { readonly digest: string; readonly bytes: Uint8Array; } | undefined;

    const wholeOf = ({ text, digest }: DocumentInForce): Uint8Array => {
        if (compressed?.digest !== digest) {
            compressed = { digest, bytes: deflateRawSync(text, { level: compressionLevel }) };
        }
        return compressed.bytes;
    };
    const contentFor = (request: DocumentRequest, current: DocumentInForce): AnswerFields => {
        if (request.versionOnly || Number(request.knownVersion) >= current.document.version) {
            return {};
        }
        const steps = store.history.stepsFrom(toHex(request.knownDigest));
        return steps ? { patches: deflateRawSync(JSON.stringify(steps)) } : { whole: wholeOf(current) };
    };
    const answerTo = (request: DocumentRequest): AnswerFields => {
        const current = store.inForce.read();
        return current === undefined ? {} : {
            version: BigInt(current.document.version),
            digest: Buffer.from(current.digest, "hex"),
            ...contentFor(request, current),
        };
    };
    const call = async (peer: core.VmId, fields: RequestFields): Promise<Result<DocumentAnswer, string>> => {
        const bytes = protobuf.toBinary(DocumentRequestSchema, protobuf.create(DocumentRequestSchema, fields));
        const answer = await endpoint.call(peer, constants.platformSlice, bytes, constants.peerTimeoutMs);
        return answer.mapErr(error => error.message).andThen(payload =>
            decode(DocumentAnswerSchema, payload, `${peer} sent a malformed answer`)
        );
    };

    return {
        async handler(_from, payload) {
            return decode(DocumentRequestSchema, payload, "malformed request").map(request =>
                protobuf.toBinary(DocumentAnswerSchema, protobuf.create(DocumentAnswerSchema, answerTo(request)))
            );
        },
        async askVersion(peer) {
            const answer = await call(peer, { versionOnly: true });
            return answer.map(({ version, digest }) => ({ version: Number(version), digest: toHex(digest) }));
        },
        async fetch(peer, known) {
            const answer = await call(peer, {
                knownVersion: BigInt(known?.document.version ?? 0),
                knownDigest: Buffer.from(known?.digest ?? "", "hex"),
            });
            const read = answer.andThen(value => readAnswer(value, peer, known));
            if (read.isOk() || !answer.isOk() || answer.value.patches.length === 0) {
                return read;
            }
            // The steps did not give the announced text, so the whole is asked for.
            const whole = await call(peer, { knownVersion: BigInt(known?.document.version ?? 0) });
            return whole.andThen(value => readAnswer(value, peer, undefined));
        },
    };
}

function readAnswer(
    answer: DocumentAnswer,
    peer: core.VmId,
    known: DocumentInForce | undefined,
): Result<OfferedText | undefined, string> {
    const digest = toHex(answer.digest);
    const source = `peer ${peer}`;
    try {
        if (answer.patches.length > 0 && known) {
            const steps = JSON.parse(inflate(answer.patches)) as PatchStep[];
            const text = applySteps(known.text, steps, digest);
            return text === undefined ? err(`steps from ${peer} do not fit`) : ok({ text, source, steps });
        }
        if (answer.whole.length === 0) {
            return ok(undefined);
        }
        const text = inflate(answer.whole);
        return documents.digestOf(text) === digest ? ok({ text, source }) : err(`${peer} sent a damaged document`);
    }
    catch (error) {
        return err(`${peer} sent a damaged document: ${(error as Error).message}`);
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
    fault: string,
): Result<protobuf.MessageShape<Schema>, string> {
    try {
        return ok(protobuf.fromBinary(schema, bytes));
    }
    catch {
        return err(fault);
    }
}
