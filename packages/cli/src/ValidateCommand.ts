import { exitCodes } from "./CliConstants.js";
import { type CommandOutput, fail, succeed } from "./CommandOutput.js";
import { readDocumentFile } from "./DocumentFile.js";

/** Validates a document file and prints every error with its path. */
export function validate(file: string): CommandOutput {
    return readDocumentFile(file).match(
        document => succeed(`${file}: version ${document.version} is valid`),
        errors => fail(exitCodes.invalid, errors),
    );
}
