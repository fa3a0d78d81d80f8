import * as fs from "node:fs";
import { exitCodes } from "./CliConstants.js";
import { type CommandOutput, fail, succeed } from "./CommandOutput.js";

/** A structured log line of a gateway. */
export interface LogLine {
    readonly timeMs: number;
    readonly event: string;
    readonly vm?: string;
    readonly requestId?: string;
    readonly [field: string]: unknown;
}

/** Time in ms before a request within which state changes are shown, since they may explain its outcome. */
const stateChangeWindowMs = 6_000;
/** Limit on the state changes that are shown; the latest ones are kept. */
const maxStateChanges = 12;

/** Prints the log lines of a request from one or more VMs, and the likely cause of its outcome. */
export function explain(files: readonly string[], requestId: string): CommandOutput {
    const texts = files.map(file => {
        try {
            return fs.readFileSync(file, "utf8");
        }
        catch (error) {
            return error as Error;
        }
    });
    const readError = texts.find(text => text instanceof Error);
    return readError instanceof Error
        ? fail(exitCodes.invalid, [readError.message])
        : explainLines(texts.flatMap(text => readLines(text as string)), requestId);
}

/** Parses the structured lines of a text. Ignores text before the JSON of a line, and lines without valid JSON. */
export function readLines(text: string): LogLine[] {
    return text.split("\n").flatMap(line => {
        const start = line.indexOf("{\"timeMs\"");
        if (start < 0) {
            return [];
        }
        try {
            return [JSON.parse(line.slice(start)) as LogLine];
        }
        catch {
            // The line is truncated because its process exited.
            return [];
        }
    });
}

export function explainLines(lines: readonly LogLine[], requestId: string): CommandOutput {
    const requestLines = lines.filter(line => line.requestId === requestId).sort((left, right) =>
        left.timeMs - right.timeMs
    );
    const first = requestLines[0];
    if (!first) {
        return fail(exitCodes.failed, [
            `no log line names request ${requestId}: it was served on time and its lines were omitted, or it reached none `
            + "of these VMs",
        ]);
    }
    const last = requestLines.at(-1) as LogLine;
    const stateChanges = lines
        .filter(line => line.requestId === undefined && line.vm === first.vm && line.event !== "log-lines-omitted")
        .filter(({ timeMs }) => timeMs >= first.timeMs - stateChangeWindowMs && timeMs <= last.timeMs)
        .sort((left, right) => right.timeMs - left.timeMs)
        .slice(0, maxStateChanges)
        .reverse();
    return succeed([
        ...stateChanges.map(line => `state    ${formatLine(line, first.timeMs)}`),
        ...requestLines.map(line => `request  ${formatLine(line, first.timeMs)}`),
        "",
        `cause: ${describeCause(requestLines)}`,
    ].join("\n"));
}

function formatLine({ timeMs, event, vm, requestId: _, level: __, ...fields }: LogLine, startMs: number): string {
    const values = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`).join(" ");
    return `${String(timeMs - startMs).padStart(7)} ms  ${vm ?? ""}  ${event}  ${values}`;
}

/** Describes the reason for the final outcome of a request. */
function describeCause(requestLines: readonly LogLine[]): string {
    const findLastEvent = (event: string): LogLine | undefined => requestLines.findLast(line => line.event === event);
    const refusal = findLastEvent("request-refused");
    const admissionRefusal = findLastEvent("admission-refused");
    const brokenAttempt = findLastEvent("stream-broken") ?? findLastEvent("answer-broken")
        ?? findLastEvent("attempt-failed");
    const lateResponse = findLastEvent("answer-late");
    const pause = findLastEvent("upstreams-paused");
    const unknownOrigin = findLastEvent("stream-origin-unknown");
    if (unknownOrigin) {
        return `refused without being run: the stream that began with ${
            unknownOrigin["resumes"] ?? "an unstated attempt"
        } `
            + `could not go on, since ${describeOriginSource(unknownOrigin)}; versions seen: ${unknownOrigin["seen"]}.`;
    }
    if (pause) {
        return `refused without being run: the upstreams that were left in pool ${
            pause["pool"]
        } had asked this VM for a pause `
            + `(${pause["paused"]}: ${pause["upstreams"]}); the first pause ends ${pause["pauseMs"]} ms later.`;
    }
    if (admissionRefusal) {
        return `refused without being run: the best engine (${admissionRefusal["upstream"]}) had a wait of ${
            admissionRefusal["waitMs"]
        } ms against an `
            + `objective of ${admissionRefusal["objectiveMs"]} ms, and the usage of the customer was ${
                formatPercent(admissionRefusal["relativeUsage"])
            } `
            + `of that of the largest customer.`;
    }
    if (refusal) {
        return `${describeRefusal(refusal)}${
            brokenAttempt ? ` The previous attempt failed with ${brokenAttempt["cause"] ?? brokenAttempt.event}.` : ""
        }`;
    }
    const abortedResponse = findLastEvent("response-aborted");
    if (abortedResponse?.["closedBy"] === "caller") {
        return `the caller closed the connection (${abortedResponse["cause"]}) ${
            abortedResponse["heldMs"]
        } ms after its `
            + `request, at the stage ${abortedResponse["stage"]}; ${abortedResponse["sentBytes"]} bytes had been sent.`;
    }
    if (abortedResponse) {
        return `this VM closed the connection (${abortedResponse["cause"]}) after ${
            abortedResponse["heldMs"]
        } ms, at the `
            + `stage ${abortedResponse["stage"]}; ${abortedResponse["sentBytes"]} bytes had been sent.`;
    }
    if (brokenAttempt) {
        return `the response of ${brokenAttempt["upstream"]} was interrupted (${
            brokenAttempt["cause"] ?? brokenAttempt.event
        }).`;
    }
    if (lateResponse) {
        const dispatched = findLastEvent("placed");
        const expected = dispatched ? `, ${dispatched["expectedMs"]} ms were expected when it was dispatched` : "";
        return `late: the first event arrived ${lateResponse["firstEventMs"]} ms after the request, the objective is `
            + `${lateResponse["objectiveMs"]} ms${expected}.`;
    }
    return "the log lines show no failure.";
}

function describeOriginSource({ source, answers }: LogLine): string {
    return source === "unknown"
        ? `no VM knew which software version began it (${answers} answers)`
        : "the software version that began it serves its route no longer";
}

function describeRefusal(refusal: LogLine): string {
    const configuration = `configuration ${refusal["configVersion"]}, ${refusal["configAgeMs"]} ms old`;
    switch (refusal["reason"]) {
        case "unknown-key":
            return `refused with 401: no customer of the ${configuration}, has the key.`;
        case "unknown-route":
            return `refused with 404: the ${configuration}, has no such route.`;
        case "stale-configuration":
            return `refused without being run: the ${configuration}, was too old to accept keys.`;
        case "upstream-timeout":
            return `ended after ${
                refusal["heldMs"]
            } ms: the upstream had not responded within the timeout of the route or caller.`;
        case "drain-ended":
            return `ended after ${refusal["heldMs"]} ms: the upstream had not responded before this VM had to stop.`;
        default:
            return `ended by this VM: ${refusal["reason"]}, status ${refusal["statusCode"]} after ${
                refusal["heldMs"]
            } ms.`;
    }
}

function formatPercent(share: unknown): string {
    return typeof share === "number" ? `${Math.round(share * 100)}%` : "an unknown share";
}
