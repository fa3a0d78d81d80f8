import type * as core from "@peridotloft/core";
import type { EventLog } from "./EventLog.js";
import type { Metrics } from "./Metrics.js";

/** The exceptions and rejections of this process that no code has handled. */
export interface UncaughtErrors {
    /** Resolves with the first one. The process then drains and exits. */
    readonly first: Promise<void>;
    count(): number;
}

export interface UncaughtErrorsOptions {
    /** The process, which emits `uncaughtException` also for rejections that nothing handles. */
    readonly source: {
        on(event: "uncaughtException", listener: (error: unknown, origin: string) => void): unknown;
    };
    readonly clock: core.Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Time in ms from the first error until the process is ended if its drain has not ended by then. */
    readonly maxDrainMs: number;
    /** Ends the process at once. */
    readonly exit: () => void;
}

/**
 * Number of errors at which the process is ended at once. A timer that fails ten times a second does not cut the drain
 * short; code that fails on every turn of the event loop does.
 */
const maxErrors = 100;
/** Maximum length of an error's message, and number and length of the lines of its stack, in a log line. */
const maxMessageLength = 300;
const maxStackLines = 6;
const maxStackLineLength = 160;

/**
 * Logs and counts uncaught errors, which from now on no longer end the process by themselves.
 *
 * After one, the state of what it interrupted is unknown, so the process must not be given new work and must exit soon. The
 * requests in flight are independent of each other, so they may end first.
 */
export function watchUncaughtErrors(options: UncaughtErrorsOptions): UncaughtErrors {
    const { source, clock, log, metrics, maxDrainMs, exit } = options;
    let count = 0;
    const first = new Promise<void>(resolve => {
        source.on("uncaughtException", (error, origin) => {
            count++;
            const kind = origin === "unhandledRejection" ? "rejection" : "exception";
            metrics.count("uncaughtErrors", { kind });
            log.state("uncaught-error", { kind, count, ...describe(error) });
            if (count === 1) {
                clock.setTimer(maxDrainMs, () => endAtOnce("drain-too-long"));
                resolve();
            }
            if (count >= maxErrors) {
                endAtOnce("too-many");
            }
        });
    });

    function endAtOnce(reason: "drain-too-long" | "too-many"): void {
        log.state("uncaught-errors-end-process", { reason, count });
        exit();
    }

    return { first, count: () => count };
}

function describe(error: unknown): { readonly message: string; readonly stack: string | undefined; } {
    // Any value can be thrown, also one that cannot be converted to text; an exception here would end the process.
    try {
        const stack = error instanceof Error ? error.stack : undefined;
        return {
            message: String(error).slice(0, maxMessageLength),
            stack: stack?.split("\n").filter(line => /^\s+at /.test(line)).slice(0, maxStackLines)
                .map(line => line.trim().slice(0, maxStackLineLength)).join(" | "),
        };
    }
    catch {
        return { message: `a value of type ${typeof error} that has no text`, stack: undefined };
    }
}
