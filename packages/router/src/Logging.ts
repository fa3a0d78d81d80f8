import { type ConsolaInstance, createConsola, type LogObject } from "consola";

export type Logger = Pick<ConsolaInstance, "info" | "warn" | "error">;

/** Logs JSON lines to stdout, or formatted lines on a terminal. The last argument of a call may be an object of fields. */
export function createLogger(fields: Readonly<Record<string, unknown>>): Logger {
    if (process.stdout.isTTY) {
        return createConsola({ fancy: true });
    }
    return createConsola({
        reporters: [{ log: entry => void process.stdout.write(`${formatLine(entry, fields)}\n`) }],
    });
}

function formatLine(entry: LogObject, fields: Readonly<Record<string, unknown>>): string {
    const parts: unknown[] = entry.args;
    const objects = parts.filter(part => typeof part === "object");
    return JSON.stringify({
        time: entry.date.toISOString(),
        level: entry.type,
        ...fields,
        message: parts.filter(part => typeof part !== "object").join(" "),
        ...Object.assign({}, ...objects),
    });
}
