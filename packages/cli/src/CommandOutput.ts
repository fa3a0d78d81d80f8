import { exitCodes } from "./CliConstants.js";

/** Output and exit code of a command. */
export interface CommandOutput {
    readonly exitCode: number;
    /** Text for standard output without a trailing newline; empty for none. */
    readonly text: string;
    /** Lines for standard error. */
    readonly errors: readonly string[];
}

export const succeed = (text: string): CommandOutput => ({ exitCode: exitCodes.ok, text, errors: [] });

export const fail = (exitCode: number, errors: readonly string[]): CommandOutput => ({ exitCode, text: "", errors });

/** Prints the output and sets the exit code. Does not exit, so that buffered output is flushed first. */
export function writeOutput(output: CommandOutput): void {
    if (output.text !== "") {
        process.stdout.write(`${output.text}\n`);
    }
    output.errors.forEach(line => process.stderr.write(`${line}\n`));
    process.exitCode = output.exitCode;
}
