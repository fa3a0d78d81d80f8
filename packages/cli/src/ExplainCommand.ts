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

/** Time in ms around a request in which changes of state may explain what happened to it. */
const stateWindowMs = 6_000;
/** Changes of state that are shown at most, the nearest first. */
const maxStates = 12;

/** Prints the path of a request through the logs of one or more VMs, and its likely cause in a sentence. */
export function explain(files: readonly string[], requestId: string): CommandOutput {
    const texts = files.map(file => {
        try {
            return fs.readFileSync(file, "utf8");
        }
        catch (error) {
            return error as Error;
        }
    });
    const failed = texts.find(text => text instanceof Error);
    return failed instanceof Error
        ? fail(exitCodes.invalid, [failed.message])
        : explainLines(texts.flatMap(text => readLines(text as string)), requestId);
}

/** Reads the structured lines of a text; whatever stands before the JSON of a line, or is no JSON, is passed over. */
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
            // A line that was cut when its process ended.
            return [];
        }
    });
}

export function explainLines(lines: readonly LogLine[], requestId: string): CommandOutput {
    const own = lines.filter(line => line.requestId === requestId).sort((left, right) => left.timeMs - right.timeMs);
    const first = own[0];
    if (!first) {
        return fail(exitCodes.failed, [
            `no line names request ${requestId}: it was served on time and its lines were sampled out, or it reached none `
            + "of these VMs",
        ]);
    }
    const last = own.at(-1) as LogLine;
    const states = lines
        .filter(line => line.requestId === undefined && line.vm === first.vm && line.event !== "log-lines-omitted")
        .filter(({ timeMs }) => timeMs >= first.timeMs - stateWindowMs && timeMs <= last.timeMs)
        .sort((left, right) => right.timeMs - left.timeMs)
        .slice(0, maxStates)
        .reverse();
    return succeed([
        ...states.map(line => `state    ${format(line, first.timeMs)}`),
        ...own.map(line => `request  ${format(line, first.timeMs)}`),
        "",
        `cause: ${causeOf(own)}`,
    ].join("\n"));
}

function format({ timeMs, event, vm, requestId: _, level: __, ...fields }: LogLine, startMs: number): string {
    const values = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`).join(" ");
    return `${String(timeMs - startMs).padStart(7)} ms  ${vm ?? ""}  ${event}  ${values}`;
}

/** Says what the last decision on a request rests on. */
function causeOf(own: readonly LogLine[]): string {
    const find = (event: string): LogLine | undefined => own.findLast(line => line.event === event);
    const refused = find("request-refused");
    const admission = find("admission-refused");
    const broken = find("stream-broken") ?? find("answer-broken") ?? find("attempt-failed");
    const late = find("answer-late");
    if (admission) {
        return `refused unrun: the best engine (${admission["upstream"]}) had a wait of ${
            admission["waitMs"]
        } ms against an `
            + `objective of ${admission["objectiveMs"]} ms, and the customer used ${
                percent(admission["relativeUsage"])
            } `
            + `of what the largest one used.`;
    }
    if (refused) {
        return `${refusalSentence(refused)}${
            broken ? ` The attempt before failed with ${broken["cause"] ?? broken.event}.` : ""
        }`;
    }
    if (broken) {
        return `the answer of ${broken["upstream"]} broke off (${broken["cause"] ?? broken.event}).`;
    }
    if (late) {
        const placed = find("placed");
        const expected = placed ? `, ${placed["expectedMs"]} ms were expected when it was placed` : "";
        return `late: the first event came ${late["firstEventMs"]} ms after the request, the objective is `
            + `${late["objectiveMs"]} ms${expected}.`;
    }
    return "the lines name no failure.";
}

function refusalSentence(refused: LogLine): string {
    const configuration = `configuration ${refused["configVersion"]}, ${refused["configAgeMs"]} ms old`;
    switch (refused["reason"]) {
        case "unknown-key":
            return `refused with 401: no customer of the ${configuration}, has the key.`;
        case "unknown-route":
            return `refused with 404: the ${configuration}, has no such route.`;
        case "stale-configuration":
            return `refused unrun: the ${configuration}, was too old to accept keys.`;
        case "upstream-timeout":
            return `ended after ${
                refused["heldMs"]
            } ms: the upstream had not answered in the time of the route or caller.`;
        default:
            return `ended by this VM: ${refused["reason"]}, status ${refused["statusCode"]} after ${
                refused["heldMs"]
            } ms.`;
    }
}

function percent(share: unknown): string {
    return typeof share === "number" ? `${Math.round(share * 100)}%` : "an unknown part";
}
