import type * as http from "node:http";

const token = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

/**
 * Whether headers can be passed on.
 *
 * @param rawHeaders names and values in turn. The parser of Node.js accepts names, such as `a b`, that it refuses to write.
 */
export function areHeaderNamesValid(rawHeaders: readonly string[]): boolean {
    return rawHeaders.every((text, index) => index % 2 === 1 || token.test(text));
}

/** Whether Node.js writes a value in a header: it refuses control characters, and characters that latin1 lacks. */
export function isHeaderValueValid(value: string): boolean {
    return !/[^\t\x20-\x7e\x80-\xff]/.test(value);
}

/** Why the head of a response cannot be passed on. */
export type ResponseHeadFault =
    | "invalid-version"
    | "invalid-status"
    | "invalid-header-name"
    | "unsupported-encoding";

/**
 * Why the head of a response cannot be passed on; undefined if it can. The parser of Node.js accepts such heads, but its servers
 * refuse to write them, and it leaves all encodings of a transfer but `chunked` as they are.
 */
export function findResponseHeadFault(response: http.IncomingMessage): ResponseHeadFault | undefined {
    const { httpVersionMajor, statusCode = 0, rawHeaders, headers } = response;
    if (httpVersionMajor !== 1) {
        return "invalid-version";
    }
    if (statusCode < 200 || statusCode > 599) {
        return "invalid-status";
    }
    if (!areHeaderNamesValid(rawHeaders)) {
        return "invalid-header-name";
    }
    const encoding = headers["transfer-encoding"];
    return encoding === undefined || isChunked(encoding) || /^identity$/i.test(encoding)
        ? undefined
        : "unsupported-encoding";
}

/** Whether the end of a response's body is known without the end of its connection. */
export function hasFramedBody(response: http.IncomingMessage): boolean {
    const { headers, statusCode } = response;
    // Node.js sets `req` on responses; its types lack it.
    const { req: request } = response as { readonly req?: http.ClientRequest; };
    return hasNoBody(statusCode, request?.method) || headers["content-length"] !== undefined
        || isChunked(headers["transfer-encoding"] ?? "");
}

/** Whether a response has no body, so that a length in its head is not that of what follows. */
export function hasNoBody(statusCode: number | undefined, method: string | undefined): boolean {
    return statusCode === 204 || statusCode === 304 || method === "HEAD";
}

/** A body whose last encoding is another one ends with its connection. */
const isChunked = (transferEncoding: string): boolean => /^chunked$/i.test(transferEncoding);
