/** A recorded log line. */
export interface RecordedLine {
    readonly event: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** An event log that records its lines, for tests. */
export function createRecordingLog() {
    const lines: RecordedLine[] = [];
    const record = (event: string, fields: Readonly<Record<string, unknown>>): void =>
        void lines.push({ event, fields });
    return {
        lines,
        state: record,
        failure: record,
        decision: record,
        omitted: () => 0,
        count: (event: string): number => lines.filter(line => line.event === event).length,
    };
}

/** Metrics that discard all values, for tests. */
export function createNoopMetrics() {
    return {
        count: () => undefined,
        observeMs: () => undefined,
        registerGauge: () => () => undefined,
        render: () => Promise.resolve(""),
    };
}
