/** A line that a test can look at. */
export interface RecordedLine {
    readonly event: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** A log that keeps its lines, for tests. */
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

/** Metrics that go nowhere, for tests. */
export function createNoMetrics() {
    return {
        count: () => undefined,
        observeMs: () => undefined,
        registerGauge: () => () => undefined,
        render: () => Promise.resolve(""),
    };
}
