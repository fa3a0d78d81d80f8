import * as prom from "prom-client";

/** Counters, gauges and histograms of one process, as Prometheus text. */
export interface Metrics {
    count(name: CounterName, labels?: Readonly<Record<string, string>>, value?: number): void;
    /** Records a duration in ms. */
    observeMs(name: HistogramName, valueMs: number, labels?: Readonly<Record<string, string>>): void;
    /** Registers a gauge whose value is read on each scrape; returns a function that removes it. */
    registerGauge(name: string, help: string, read: () => number): () => void;
    /** Renders the metrics in the Prometheus text exposition format. */
    render(): Promise<string>;
}

/** Upper bounds of the histogram buckets in s: fine steps for objectives of 0.1 to 0.6 s, up to timeouts of 15 s. */
const bucketsS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1, 1.5, 2, 3, 5, 10, 15];

const counters = {
    requests: ["requests_total", "Requests by kind and outcome.", ["kind", "outcome"]],
    connections: ["connections_total", "Connections of callers, by outcome.", ["outcome"]],
    relayedConnections: ["relayed_connections_total", "Connections passed on to other VMs, by what became of them.", [
        "outcome",
    ]],
    movedConnections: [
        "moved_connections_total",
        "Open connections that were closed after a response, so that other VMs serve their callers.",
        [],
    ],
    relayedBytes: ["relayed_bytes_total", "Bytes copied on relayed connections, in both directions.", []],
    relayRequests: ["relay_requests_total", "Connections that other VMs passed on to this one, by outcome.", [
        "outcome",
    ]],
    connectionsEnded: ["connections_ended_total", "Connections closed for what they hold, by port and bound.", [
        "door",
        "bound",
    ]],
    refusals: ["refusals_total", "Requests refused or failed here, by reason.", ["reason"]],
    attempts: ["upstream_attempts_total", "Requests sent to upstreams, by outcome.", ["outcome"]],
    brokenResponses: ["upstream_broken_responses_total", "Responses of upstreams that are not passed on, by cause.", [
        "cause",
    ]],
    ejections: ["upstream_ejections_total", "Upstreams ejected because of their responses.", []],
    quarantines: ["quarantines_total", "Requests and parts of prompts found to crash upstreams.", []],
    statements: ["upstream_statements_total", "Changes of what upstreams state about themselves, by statement.", [
        "statement",
    ]],
    streamsResumed: ["streams_resumed_total", "Streams that callers resume, by how their version is known.", [
        "source",
    ]],
    storeCalls: ["store_calls_total", "Calls to the platform's store, by outcome.", ["outcome"]],
    storeRestores: ["store_restores_total", "Restores of the platform's store from a copy, as seen by this VM.", []],
    catalogChanges: ["catalog_changes_total", "Changes of the catalog that the platform publishes, by kind.", ["kind"]],
    trackerQuestions: ["tracker_questions_total", "Questions to the trackers of upstreams, by outcome.", [
        "outcome",
    ]],
    trackerReports: [
        "tracker_reports_total",
        "Reports of attempts to this VM as a tracker, by whether it admitted the attempt.",
        ["admission"],
    ],
    engineSpeedChanges: ["engine_speed_changes_total", "Changes of the learned speed of an engine by a step.", []],
    balancedPrompts: [
        "balanced_prompts_total",
        "Offers of prompts to the engine with the soonest first event, by whether it is the primary one.",
        ["offered"],
    ],
    peerRestarts: ["peer_restarts_total", "Restarts of other VMs, by whether they had been draining before.", [
        "drained",
    ]],
    usageCollectorChanges: [
        "usage_collector_changes_total",
        "Changes of the VM that adds up the usage of customers.",
        [],
    ],
    peerMessages: ["peer_messages_total", "Messages between VMs, by direction.", ["direction"]],
    uncaughtErrors: ["uncaught_errors_total", "Exceptions and rejections that no code handled, by kind.", ["kind"]],
} as const;

const histograms = {
    requestMs: ["request_seconds", "Time from the head of a request to the end of its response.", ["kind"]],
    firstEventMs: ["first_event_seconds", "Time from the head of a request to the first byte of its response.", [
        "kind",
    ]],
    queueMs: ["queue_seconds", "Time that a request was queued for an upstream.", ["kind"]],
} as const;

export type CounterName = keyof typeof counters;
export type HistogramName = keyof typeof histograms;

const prefix = "peridotloft_";

export function createMetrics(): Metrics {
    const registry = new prom.Registry();
    const counterOf = mapValues(
        counters,
        ([name, help, labelNames]) =>
            new prom.Counter({ name: prefix + name, help, labelNames: [...labelNames], registers: [registry] }),
    );
    const histogramOf = mapValues(histograms, ([name, help, labelNames]) =>
        new prom.Histogram({
            name: prefix + name,
            help,
            labelNames: [...labelNames],
            buckets: bucketsS,
            registers: [registry],
        }));
    return {
        count: (name, labels = {}, value = 1) => counterOf[name].inc(labels, value),
        observeMs: (name, valueMs, labels = {}) => histogramOf[name].observe(labels, valueMs / 1_000),
        registerGauge(name, help, read) {
            const fullName = prefix + name;
            new prom.Gauge({
                name: fullName,
                help,
                registers: [registry],
                collect() {
                    this.set(read());
                },
            });
            return () => registry.removeSingleMetric(fullName);
        },
        render: () => registry.metrics(),
    };
}

function mapValues<K extends string, V, R>(record: Readonly<Record<K, V>>, convert: (value: V) => R): Record<K, R> {
    return Object.fromEntries(
        (Object.entries(record) as [K, V][]).map(([key, value]) => [key, convert(value)]),
    ) as Record<K, R>;
}
