/** Headers in the order in which they were received. */
export type HeaderList = readonly (readonly [name: string, value: string])[];

const hopByHopNames = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

// `authorization`, `x-api-key` and `cookie` can carry the caller's key. `accept-encoding` is dropped because responses
// must arrive uncompressed for their events to be counted.
const droppedFromCallers = new Set([
    "authorization",
    "x-api-key",
    "cookie",
    "host",
    "content-length",
    "expect",
    "accept-encoding",
    "operation-ticket",
    "x-request-id",
]);

const droppedFromUpstreams = new Set(["x-not-run", "x-request-id", "x-peridotloft-verdict"]);

/** Converts Node's `rawHeaders` into name and value pairs. */
export function pairHeaders(rawHeaders: readonly string[]): HeaderList {
    return rawHeaders.flatMap((name, index) => index % 2 === 0 ? [[name, rawHeaders[index + 1] ?? ""] as const] : []);
}

export function findHeader(headers: HeaderList, wanted: string): string | undefined {
    return headers.find(([name]) => name.toLowerCase() === wanted)?.[1];
}

/** The caller's headers that are forwarded: neither its credentials nor hop-by-hop headers. */
export function headersForUpstream(headers: HeaderList): HeaderList {
    return withoutNames(headers, droppedFromCallers);
}

/** The headers of an upstream's response that are forwarded to the caller. */
export function headersForCaller(headers: HeaderList): HeaderList {
    return withoutNames(headers, droppedFromUpstreams);
}

function withoutNames(headers: HeaderList, dropped: ReadonlySet<string>): HeaderList {
    const named = new Set(
        headers
            .filter(([name]) => name.toLowerCase() === "connection")
            .flatMap(([, value]) => value.split(",").map(name => name.trim().toLowerCase())),
    );
    return headers.filter(([name]) => {
        const lower = name.toLowerCase();
        return !hopByHopNames.has(lower) && !dropped.has(lower) && !named.has(lower);
    });
}

/** Groups repeated headers, in the form that Node's `setHeader` expects. */
export function groupHeaders(headers: HeaderList): Record<string, string | string[]> {
    const groups = new Map<string, string[]>();
    headers.forEach(([name, value]) => {
        const lower = name.toLowerCase();
        groups.set(lower, [...(groups.get(lower) ?? []), value]);
    });
    return Object.fromEntries(
        [...groups].map(([name, values]) => [name, values.length === 1 ? (values[0] ?? "") : values]),
    );
}
