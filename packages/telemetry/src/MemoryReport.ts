import * as core from "@peridotloft/core";
import type { EventLog, LogFields } from "./EventLog.js";
import type { Metrics } from "./Metrics.js";

/** Memory of a process in bytes, as Node.js counts it. */
export type MemoryUsage = Pick<NodeJS.MemoryUsage, "rss" | "heapUsed" | "external">;

export interface MemoryReportOptions {
    readonly clock: core.Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Memory in bytes that the process may use. */
    readonly maxBytes: number;
    readonly readUsage: () => MemoryUsage;
    /** Returns what the parts of the process hold, for the log line. */
    readonly readHolders: () => LogFields;
}

/** Interval in ms at which the memory is checked. */
const checkIntervalMs = 5_000;
/** Share of the memory from which on it is logged. */
const reportedShare = 0.7;

/** Registers the memory of the process as metrics, and logs what holds it while much is used. Returns a function that stops this. */
export function startMemoryReport(options: MemoryReportOptions): () => void {
    const { clock, log, metrics, maxBytes, readUsage, readHolders } = options;
    const removeGauges = [
        metrics.registerGauge("memory_resident_bytes", "Resident memory of the process.", () => readUsage().rss),
        metrics.registerGauge("memory_heap_bytes", "Bytes of the heap in use.", () => readUsage().heapUsed),
        metrics.registerGauge(
            "memory_external_bytes",
            "Bytes outside the heap, including buffers that have not been collected yet.",
            () => readUsage().external,
        ),
        metrics.registerGauge("memory_limit_bytes", "Memory that the process may use.", () => maxBytes),
    ];
    const stop = core.setRepeatingTimer(clock, checkIntervalMs, () => {
        const { rss, heapUsed, external } = readUsage();
        if (rss >= reportedShare * maxBytes) {
            log.state("memory", {
                residentBytes: rss,
                heapBytes: heapUsed,
                externalBytes: external,
                maxBytes,
                ...readHolders(),
            });
        }
    });
    return () => {
        stop();
        removeGauges.forEach(remove => remove());
    };
}
