import { StatsD } from "hot-shots";
import { parseAddress } from "./Settings.js";

/** Names and units of the metrics, all under the prefix `peridotloft.`. */
export const metricNames = {
    /** Counter of finished requests; tags `status` (HTTP status code) and `verdict`. */
    requests: "requests",
    /** Counter of refused or failed requests; tag `code` (kind of failure). */
    failures: "failures",
    /** Counter of attempts at upstreams; tags `upstream` and `outcome`. */
    attempts: "attempts",
    /** Counter of attempts after the first one of a request. */
    retries: "retries",
    /** Counter of cost units settled; tag `customer`. */
    cost: "cost",
    /** Histogram of the time from the request to the end of the response, in ms. */
    requestMs: "request_ms",
    /** Histogram of the wait for a slot, in ms; tag `pool`. */
    queueMs: "queue_ms",
    /** Histogram of the time from writing the request to the first byte, in ms; tag `upstream`. */
    firstByteMs: "first_byte_ms",
    /** Counter of requests aborted because their key was withdrawn. */
    withdrawn: "withdrawn",
} as const;

export type MetricName = (typeof metricNames)[keyof typeof metricNames];
export type MetricTags = Readonly<Record<string, string>>;

/** Records counters and histograms. Never throws and never blocks. */
export interface Metrics {
    count(name: MetricName, value?: number, tags?: MetricTags): void;
    histogram(name: MetricName, value: number, tags?: MetricTags): void;
    dispose(): void;
}

// Fits into one Ethernet frame together with the UDP and IP headers.
const maxPacketBytes = 1_400;
const flushPeriodMs = 1_000;

/** Sends metrics as StatsD over UDP, several per packet. Without an address, metrics are dropped. */
export function createMetrics(statsd: string | undefined): Metrics {
    if (statsd === undefined) {
        return { count: () => undefined, histogram: () => undefined, dispose: () => undefined };
    }
    const { host, port } = parseAddress(statsd);
    const client = new StatsD({
        host,
        port,
        prefix: "peridotloft.",
        maxBufferSize: maxPacketBytes,
        bufferFlushInterval: flushPeriodMs,
        // Errors in sending metrics must not affect requests.
        errorHandler: () => undefined,
    });
    return {
        count: (name, value = 1, tags = {}) => client.increment(name, value, { ...tags }),
        histogram: (name, value, tags = {}) => client.histogram(name, value, { ...tags }),
        dispose: () => client.close(() => undefined),
    };
}
