import type * as catalog from "@peridotloft/catalog";
import type * as core from "@peridotloft/core";
import type * as dispatch from "@peridotloft/dispatch";

/** Alternating header names and values, as in Node.js's `rawHeaders`. */
export type RawHeaders = readonly string[];

/** The decoded head of a caller's request. */
export interface CallerRequest {
    /** Undefined if it is missing or invalid. */
    readonly requestId: core.RequestId | undefined;
    readonly host: string;
    /** Time in ms for which the caller will wait from now on; undefined if not stated. */
    readonly callerTimeoutMs: number | undefined;
    readonly key: string | undefined;
    readonly prompt: dispatch.Prompt | undefined;
    /** Last event that the caller of a resumed stream has received; undefined for a new stream. */
    readonly lastEventId: string | undefined;
    /** The caller's attempt that received the first event of that stream; undefined if it is missing or invalid. */
    readonly resumes: core.RequestId | undefined;
}

/** Values that this VM adds to the headers of a request to an upstream. */
export interface UpstreamFields {
    readonly upstream: catalog.Upstream;
    readonly customer: core.CustomerId | undefined;
    /** Time in ms that the upstream has for the request. */
    readonly remainingMs: number;
    readonly bodyBytes: number;
    /** Event after which a stream is resumed; undefined for a new stream. */
    readonly lastEventId: string | undefined;
}

/** The decoded head of an upstream's response. */
export interface ResponseHead {
    /** Request to which the response belongs; undefined if not stated. */
    readonly requestId: string | undefined;
    /** Whether the upstream guarantees that it has not run the request and never will. */
    readonly notRun: boolean;
    /** Whether the address belongs to an upstream other than the expected one. */
    readonly misdirected: boolean;
    /** What the upstream states about itself. */
    readonly statements: dispatch.ResponseStatements;
}

/** Translates the headers of callers and upstreams. */
export interface WireCodec {
    readRequestHead(headers: RawHeaders): CallerRequest;
    /**
     * Reads only the id from the text of a request head, at a small part of the cost of decoding the head. Undefined if it is
     * missing or invalid.
     */
    readRequestId(head: string): core.RequestId | undefined;
    /** Headers of the request to the upstream. Drops hop-by-hop headers and the caller's values of headers set here. */
    upstreamHeaders(headers: RawHeaders, fields: UpstreamFields): string[];
    readResponseHead(statusCode: number, headers: RawHeaders): ResponseHead;
    /** Path at which an upstream states what it is, without running a request. */
    readonly runStatementPath: string;
    /** Start in Unix ms of the run that a statement describes; undefined if it is not stated. */
    readRunStart(statement: Buffer): number | undefined;
    /** Headers of the response to the caller, without framing and hop-by-hop headers. */
    callerHeaders(headers: RawHeaders): string[];
    /** Headers of a response that this VM generates itself. */
    refusalHeaders(requestId: core.RequestId | undefined, retryAfterMs: number | undefined): string[];
}
