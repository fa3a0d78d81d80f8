import { exitCodes } from "./CliConstants.js";

/** What a command prints and exits with. */
export interface CommandOutput {
    readonly exitCode: number;
    /** Text for standard output, without the last line break; empty for none. */
    readonly text: string;
    /** Lines for standard error. */
    readonly errors: readonly string[];
}

export const succeed = (text: string): CommandOutput => ({ exitCode: exitCodes.ok, text, errors: [] });

export const fail = (exitCode: number, errors: readonly string[]): CommandOutput => ({ exitCode, text: "", errors });

/** Prints the output and sets the exit code; the process ends when its streams are written. */
export function writeOutput(output: CommandOutput): void {
    if (output.text !== "") {
        process.stdout.write(`${output.text}\n`);
    }
    output.errors.forEach(line => process.stderr.write(`${line}\n`));
    process.exitCode = output.exitCode;
}
